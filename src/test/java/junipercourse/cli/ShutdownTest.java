package junipercourse.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import junipercourse.DispatcherProcess;
import junipercourse.SocketTestSupport;
import junipercourse.SocketTestSupport.Client;
import junipercourse.StubEngines;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * What clients see of a whole process that ends; its engines never do, its longest deadline is 1.5
 * s.
 */
class ShutdownTest {
    private static final double KILL_S = 1.5 + 0.7;
    private static final String GONE = "E(57P03 the dispatcher is shutting down) closed=true";
    @TempDir private Path folder;
    private StubEngines engines;
    private DispatcherProcess process;
    private InetSocketAddress front;

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
        front = process.address();
    }

    @AfterEach
    void end() throws Exception {
        process.close();
        engines.close();
    }

    /**
     * SIGKILL comes 0.7 s and the longest deadline after SIGTERM: that much earlier all are
     * answered.
     */
    @Test
    void withShortDeadlinesAllIsAnsweredBeforeTheKill() throws Exception {
        try (Client late = new Client(front)) {
            late.startSession();
            process.signal("TERM");
            long from = System.nanoTime();
            SocketTestSupport.await(() -> process.log().contains("asked to end"));
            SocketTestSupport.sleepMillis(450); // a query in its last moments of being taken
            late.write(Client.queryMessage(SocketTestSupport.query("check", 1, 1500)));
            assertEquals("E(53300 the dispatcher is shutting down)", late.readAnswer());
            double took = (System.nanoTime() - from) / 1e9;
            assertTrue(took < KILL_S, took + " s");
            assertTrue(process.exitsWithin(1), process.log());
        }
    }

    /**
     * One that rests, one that never asked, and one in the middle of a query: told, and ended in
     * order.
     */
    @Test
    void sessionsWithoutAnOpenQueryAreEndedInOrder() throws Exception {
        try (Client rests = new Client(front);
                Client silent = new Client(front);
                Client half = new Client(front)) {
            assertEquals("I", rests.startSession().query(" "));
            silent.startSession();
            half.startSession().write(new byte[] {'Q', 0, 0, 0, 99, 'S'});
            process.signal("TERM");
            assertEquals(GONE, rests.readAnswer());
            assertEquals(GONE, silent.readAnswer());
            assertEquals(GONE, half.readAnswer());
            assertTrue(process.exitsWithin(1), process.log());
        }
    }

    /**
     * Bytes that a client sends while its query is open are no reason to cut its answer short by a
     * reset.
     */
    @Test
    void aClientThatSentMoreThanItsQueryReadsItsAnswerAndAnEnd() throws Exception {
        try (Client busy = new Client(front)) {
            busy.startSession()
                    .write(Client.queryMessage(SocketTestSupport.query("check", 1, 1500)));
            SocketTestSupport.await(() -> engines.countAttempts("") == 1);
            process.signal("TERM");
            SocketTestSupport.await(() -> process.log().contains("asked to end"));
            SocketTestSupport.sleepMillis(450);
            busy.write(
                    Client.queryMessage(SocketTestSupport.query("check", 2, 1500)),
                    new byte[30_000]);
            String first = busy.readAnswer();
            assertTrue(first.startsWith("E(5"), first);
            String next = busy.readAnswer(); // the second query, refused before any row
            assertEquals("E(57P03 the dispatcher is shutting down)", next);
            String last = busy.readAnswer();
            assertTrue(last.endsWith("closed=true"), last);
            assertTrue(process.exitsWithin(1), process.log());
        }
    }
}
