package junipercourse.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import junipercourse.Client;
import junipercourse.DispatcherProcess;
import junipercourse.SocketTestSupport;
import junipercourse.StubEngines;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Checks what clients see of a process that shuts down; its engines never answer, and its longest
 * deadline is 1.5 s.
 */
class ShutdownTest {
    private static final double KILL_SECONDS = 1.5 + 0.7;
    private static final String SHUTDOWN_ANSWER =
            "E(57P03 the dispatcher is shutting down) closed=true";
    @TempDir private Path folder;
    private StubEngines engines;
    private DispatcherProcess process;
    private InetSocketAddress frontAddress;

    @BeforeEach
    void start() throws IOException {
        engines =
                new StubEngines(
                        1,
                        call -> {
                            SocketTestSupport.sleepMillis(100);
                            return call.startsWith("DELETE")
                                    ? SocketTestSupport.CANCELLED
                                    : SocketTestSupport.RUNNING;
                        });
        java.nio.file.Files.writeString(
                folder.resolve("config.json"),
                engines.dispatcherConfig()
                        .replace(
                                "\"goal_time_s\":1.5,\"deadline_s\":7.5",
                                "\"goal_time_s\":0.5,\"deadline_s\":1.5")
                        .replace(
                                "\"goal_time_s\":3.0,\"deadline_s\":20.0",
                                "\"goal_time_s\":1.0,\"deadline_s\":1.5"));
        process = new DispatcherProcess(folder, 1024);
        frontAddress = process.address();
    }

    @AfterEach
    void tearDown() throws Exception {
        process.close();
        engines.close();
    }

    /**
     * SIGKILL follows SIGTERM after 0.7 s and the longest deadline; every query is answered before
     * it.
     */
    @Test
    void shortDeadlineQueriesAreAnsweredBeforeSigkill() throws Exception {
        try (Client client = new Client(frontAddress)) {
            client.startSession();
            process.signal("TERM");
            long startNanos = System.nanoTime();
            SocketTestSupport.await(() -> process.log().contains("shutdown requested"));
            SocketTestSupport.sleepMillis(450); // the last moment at which a query is admitted
            client.write(Client.queryMessage(SocketTestSupport.query("check", 1, 1500)));
            assertEquals("E(53300 the dispatcher is shutting down)", client.readAnswer());
            double elapsedSeconds = (System.nanoTime() - startNanos) / 1e9;
            assertTrue(elapsedSeconds < KILL_SECONDS, elapsedSeconds + " s");
            assertTrue(process.exitsWithin(1), process.log());
        }
    }

    /**
     * An idle session, one without a query, and one with a partial message get an error and an
     * orderly close.
     */
    @Test
    void sessionsWithoutOpenQueryAreClosedOnShutdown() throws Exception {
        try (Client idle = new Client(frontAddress);
                Client silent = new Client(frontAddress);
                Client partial = new Client(frontAddress)) {
            assertEquals("I", idle.startSession().query(" "));
            silent.startSession();
            partial.startSession().write(new byte[] {'Q', 0, 0, 0, 99, 'S'});
            process.signal("TERM");
            assertEquals(SHUTDOWN_ANSWER, idle.readAnswer());
            assertEquals(SHUTDOWN_ANSWER, silent.readAnswer());
            assertEquals(SHUTDOWN_ANSWER, partial.readAnswer());
            assertTrue(process.exitsWithin(1), process.log());
        }
    }

    /**
     * Bytes that a client sends while its query is open must not cut its answer short by a reset.
     */
    @Test
    void clientThatSendsMoreDuringItsQueryIsNotReset() throws Exception {
        try (Client busy = new Client(frontAddress)) {
            busy.startSession()
                    .write(Client.queryMessage(SocketTestSupport.query("check", 1, 1500)));
            SocketTestSupport.await(() -> engines.countAttempts("") == 1);
            process.signal("TERM");
            SocketTestSupport.await(() -> process.log().contains("shutdown requested"));
            SocketTestSupport.sleepMillis(450);
            busy.write(
                    Client.queryMessage(SocketTestSupport.query("check", 2, 1500)),
                    new byte[30_000]);
            String first = busy.readAnswer();
            assertTrue(first.startsWith("E(5"), first);
            String next = busy.readAnswer(); // the second query, rejected before any row
            assertEquals("E(57P03 the dispatcher is shutting down)", next);
            String last = busy.readAnswer();
            assertTrue(last.endsWith("closed=true"), last);
            assertTrue(process.exitsWithin(1), process.log());
        }
    }
}
