package junipercourse.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import junipercourse.Client;
import junipercourse.ListeningSocketHolder;
import junipercourse.ListeningSocketHolder.InheritingProcess;
import junipercourse.QueryStream;
import junipercourse.SocketTestSupport;
import junipercourse.StubEngines;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * One process replaces another on a listening socket that the platform holds, under a steady stream
 * of queries.
 */
class ReplacementTest {
    private static final int REPLACEMENTS = Integer.getInteger("replacements", 8);

    /** Maximum of queries that one replacement may lose before they are admitted. */
    private static final int MAX_NOT_ADMITTED = 2;

    private static final int QUERIES = 10;
    private static final int FAST_ANSWER_MILLIS = 20;
    private static final int SLOW_ANSWER_MILLIS = 250;
    @TempDir private Path folder;
    private ListeningSocketHolder listener;
    private QueryStream stream;
    private StubEngines engines;

    @BeforeEach
    void start() throws IOException {
        listener = new ListeningSocketHolder(folder);
        stream = new QueryStream(listener.address());
        engines = new StubEngines(3, stream.detectDuplicates(ReplacementTest::answer));
        listener.writeConfig(engines.dispatcherConfig());
    }

    /**
     * Some queries are open at any time, and some for longer than a client allows for a query that
     * crosses a close.
     */
    private static String answer(String call) {
        if (call.startsWith("DELETE")) {
            return SocketTestSupport.CANCELLED;
        }
        SocketTestSupport.sleepMillis(
                call.matches(".*[0-9ab]") ? FAST_ANSWER_MILLIS : SLOW_ANSWER_MILLIS);
        return SocketTestSupport.OK;
    }

    @AfterEach
    void tearDown() throws IOException {
        stream.close();
        listener.close();
        engines.close();
    }

    /**
     * Each query is answered once and runs once, whichever process accepts it; the old process
     * exits on its own.
     */
    @Test
    void consecutiveReplacementsLoseNoQuery() throws Exception {
        InheritingProcess oldProcess = listener.start().awaitReady();
        stream.start();
        int lostBefore = 0;
        for (int i = 0; i < REPLACEMENTS; i++) {
            InheritingProcess newProcess = listener.start().awaitReady();
            stream.awaitServed(QUERIES);
            oldProcess.signal("TERM");
            assertEquals(128 + 15, oldProcess.awaitExitCode(), oldProcess.log());
            assertTrue(
                    oldProcess.log().contains("n1 ends: ") && !oldProcess.log().contains("ERROR"),
                    oldProcess.log());
            stream.awaitServed(QUERIES);
            int lost = stream.notAdmitted.size();
            assertTrue(lost - lostBefore <= MAX_NOT_ADMITTED, () -> "lost: " + stream.notAdmitted);
            lostBefore = lost;
            oldProcess = newProcess;
        }
        stream.close();
        assertEquals(List.of(), stream.duplicateAttempts);
        assertEquals(
                List.of(),
                stream.unexpectedAnswers,
                () -> "engine calls: " + engines.callsFor(stream.unexpectedAnswers));
        System.out.println(
                REPLACEMENTS
                        + " replacements: "
                        + stream.served
                        + " served, "
                        + stream.redirected
                        + " redirected, not admitted "
                        + stream.notAdmitted.size());
    }

    /**
     * A new process that cannot listen at its second address accepts no connection before it exits.
     */
    @Test
    void failedReplacementLeavesOldProcessServing() throws Exception {
        InheritingProcess oldProcess = listener.start().awaitReady();
        stream.start();
        try (ServerSocket occupied = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            String address = "127.0.0.1:" + occupied.getLocalPort();
            InheritingProcess newProcess = listener.start("", Map.of("RELAY_ADMIN", address));
            assertEquals(1, newProcess.awaitExitCode(), newProcess.log());
            assertTrue(newProcess.log().contains(address), newProcess.log());
        }
        stream.awaitServed(QUERIES);
        assertEquals(200, oldProcess.callAdmin("GET /ops/readiness").status());
        stream.close();
        assertEquals(List.of(), stream.notAdmitted);
        assertEquals(List.of(), stream.duplicateAttempts);
        assertEquals(List.of(), stream.unexpectedAnswers);
    }

    /** Queries that the killed process had accepted are lost; all later ones are served. */
    @Test
    void newProcessServesAfterOldProcessIsKilled() throws Exception {
        InheritingProcess oldProcess = listener.start().awaitReady();
        stream.start();
        InheritingProcess newProcess = listener.start().awaitReady();
        stream.awaitServed(QUERIES);
        oldProcess.signal("KILL");
        assertEquals(128 + 9, oldProcess.awaitExitCode(), oldProcess.log());
        for (int i = 0; i < QUERIES; i++) {
            assertEquals(
                    QueryStream.EXPECTED_ANSWER,
                    QueryStream.queryOnce(listener.address(), QueryStream.query("load")));
        }
        stream.awaitServed(QUERIES);
        assertEquals(200, newProcess.callAdmin("GET /ops/readiness").status());
        stream.close(); // queries resent after the kill may have run twice, which nobody can know
        assertEquals(List.of(), stream.unexpectedAnswers);
    }

    /**
     * A process is not ready without an endpoint list, and while it shuts down with an open query.
     */
    @Test
    void processThatCannotServeIsNotReady() throws Exception {
        listener.writeConfig(SocketTestSupport.CONFIG);
        InheritingProcess withoutEngines = listener.start();
        withoutEngines.awaitAnswer(
                "GET /ops/readiness",
                answer -> answer.status() == 503 && answer.body().contains("no list"));
        withoutEngines.signal("KILL");
        withoutEngines.awaitExitCode();
        try (StubEngines silent =
                        new StubEngines(
                                1,
                                call ->
                                        call.startsWith("DELETE")
                                                ? SocketTestSupport.CANCELLED
                                                : SocketTestSupport.NO_RESPONSE);
                Client client = new Client(listener.address())) {
            listener.writeConfig(silent.dispatcherConfig());
            InheritingProcess process = listener.start().awaitReady();
            client.startSession().write(Client.queryMessage(QueryStream.query("load")));
            SocketTestSupport.await(() -> silent.countAttempts("") == 1);
            process.signal("TERM");
            process.awaitAnswer(
                    "GET /ops/readiness",
                    answer -> answer.status() == 503 && answer.body().contains("ending"));
            assertTrue(process.isAlive(), process.log());
        }
    }

    /** Any invalid descriptor gives exit code 2 and a line that names RELAY_FD and the fault. */
    @Test
    void invalidListenDescriptorIsReported() throws Exception {
        try (ListeningSocketHolder bound = new ListeningSocketHolder(folder.resolve("bound"), 0)) {
            bound.writeConfig(engines.dispatcherConfig());
            Map<InheritingProcess, String> faults =
                    Map.of(
                            listener.start("exec </dev/null; ", Map.of()),
                                    "descriptor 0 is no TCP socket",
                            listener.start("", Map.of("RELAY_LISTEN", "127.0.0.1:1")),
                                    "not to /127.0.0.1:1",
                            listener.start("", Map.of("RELAY_FD", "3")),
                                    "only descriptor 0 can be taken over, not 3",
                            bound.start(), "descriptor 0 does not listen on");
            for (Map.Entry<InheritingProcess, String> fault : faults.entrySet()) {
                InheritingProcess process = fault.getKey();
                assertEquals(2, process.awaitExitCode(), process.log());
                assertTrue(process.log().contains("configuration: RELAY_FD: "), process.log());
                assertTrue(process.log().contains(fault.getValue()), process.log());
            }
        }
    }
}
