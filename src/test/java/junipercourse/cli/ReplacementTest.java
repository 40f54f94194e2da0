package junipercourse.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
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
 * A process takes another's place at a socket that the platform holds, under a steady stream of
 * queries.
 */
class ReplacementTest {
    private static final int REPLACEMENTS = Integer.getInteger("replacements", 8);

    /** Queries of one replacement that may end at the door (DAYS). */
    private static final int FREE_AT_THE_DOOR = 2;

    private static final int SOME = 10;
    private static final int QUICK_MS = 20;
    private static final int SLOW_MS = 250;
    @TempDir private Path folder;
    private ListeningSocketHolder held;
    private QueryStream stream;
    private StubEngines engines;

    @BeforeEach
    void start() throws IOException {
        held = new ListeningSocketHolder(folder);
        stream = new QueryStream(held.address());
        engines = new StubEngines(3, stream.detectDuplicates(ReplacementTest::slowly));
        held.writeConfig(engines.dispatcherConfig());
    }

    /**
     * Some queries are out at any time, and some for longer than a client may take for a crossing.
     */
    private static String slowly(String call) {
        if (call.startsWith("DELETE")) {
            return SocketTestSupport.CANCELLED;
        }
        SocketTestSupport.sleepMillis(call.matches(".*[0-9ab]") ? QUICK_MS : SLOW_MS);
        return SocketTestSupport.OK;
    }

    @AfterEach
    void end() throws IOException {
        stream.close();
        held.close();
        engines.close();
    }

    /**
     * Each query is answered once and runs once, whichever of the two takes it; the old one goes
     * alone.
     */
    @Test
    void manyReplacementsInARowLoseNothing() throws Exception {
        InheritingProcess old = held.start().awaitReady();
        stream.start();
        int lostBefore = 0;
        for (int i = 0; i < REPLACEMENTS; i++) {
            InheritingProcess next = held.start().awaitReady();
            stream.awaitServed(SOME);
            old.signal("TERM");
            assertEquals(128 + 15, old.awaitExitCode(), old.log());
            assertTrue(old.log().contains("n1 ends: ") && !old.log().contains("ERROR"), old.log());
            stream.awaitServed(SOME);
            int lost = stream.notAdmitted.size();
            assertTrue(lost - lostBefore <= FREE_AT_THE_DOOR, () -> "lost: " + stream.notAdmitted);
            lostBefore = lost;
            old = next;
        }
        stream.close();
        assertEquals(List.of(), stream.duplicateAttempts);
        assertEquals(
                List.of(),
                stream.unexpectedAnswers,
                () -> "asked of engines: " + engines.callsFor(stream.unexpectedAnswers));
        System.out.println(
                REPLACEMENTS
                        + " replacements: "
                        + stream.served
                        + " served, "
                        + stream.redirected
                        + " sent on, at the door "
                        + stream.notAdmitted.size());
    }

    /** A new one that cannot have its second address takes no connection before it ends. */
    @Test
    void aNewOneThatNeverGetsReadyLeavesTheOldOneServing() throws Exception {
        InheritingProcess old = held.start().awaitReady();
        stream.start();
        try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            String address = "127.0.0.1:" + taken.getLocalPort();
            InheritingProcess next = held.start("", Map.of("RELAY_ADMIN", address));
            assertEquals(1, next.awaitExitCode(), next.log());
            assertTrue(next.log().contains(address), next.log());
        }
        stream.awaitServed(SOME);
        assertEquals(200, old.callAdmin("GET /ops/readiness").status());
        stream.close();
        assertEquals(List.of(), stream.notAdmitted);
        assertEquals(List.of(), stream.duplicateAttempts);
        assertEquals(List.of(), stream.unexpectedAnswers);
    }

    /** What the old one had accepted is lost with it; all that comes after is served. */
    @Test
    void theNewOneGoesOnWhenTheOldOneIsKilledBesideIt() throws Exception {
        InheritingProcess old = held.start().awaitReady();
        stream.start();
        InheritingProcess next = held.start().awaitReady();
        stream.awaitServed(SOME);
        old.signal("KILL");
        assertEquals(128 + 9, old.awaitExitCode(), old.log());
        for (int i = 0; i < SOME; i++) {
            assertEquals(
                    QueryStream.EXPECTED_ANSWER,
                    QueryStream.queryOnce(held.address(), QueryStream.query("load")));
        }
        stream.awaitServed(SOME);
        assertEquals(200, next.callAdmin("GET /ops/readiness").status());
        stream.close(); // what clients sent again then may have run twice: nobody could know
        assertEquals(List.of(), stream.unexpectedAnswers);
    }

    /** Without a list of engines, and on its way out with a query still open. */
    @Test
    void whoCannotTakeQueriesIsNotReady() throws Exception {
        held.writeConfig(SocketTestSupport.CONFIG);
        InheritingProcess without = held.start();
        without.awaitAnswer(
                "GET /ops/readiness", a -> a.status() == 503 && a.body().contains("no list"));
        without.signal("KILL");
        without.awaitExitCode();
        try (StubEngines silent =
                        new StubEngines(
                                1,
                                call ->
                                        call.startsWith("DELETE")
                                                ? SocketTestSupport.CANCELLED
                                                : SocketTestSupport.NO_RESPONSE);
                SocketTestSupport.Client client = new SocketTestSupport.Client(held.address())) {
            held.writeConfig(silent.dispatcherConfig());
            InheritingProcess p = held.start().awaitReady();
            client.startSession()
                    .write(SocketTestSupport.Client.queryMessage(QueryStream.query("load")));
            SocketTestSupport.await(() -> silent.countAttempts("") == 1);
            p.signal("TERM");
            p.awaitAnswer(
                    "GET /ops/readiness", a -> a.status() == 503 && a.body().contains("ending"));
            assertTrue(p.isAlive(), p.log());
        }
    }

    /**
     * Whatever is wrong with the descriptor: exit code 2 and a line that names RELAY_FD and the
     * fault.
     */
    @Test
    void aWrongDescriptorIsNamed() throws Exception {
        try (ListeningSocketHolder bound = new ListeningSocketHolder(folder.resolve("bound"), 0)) {
            bound.writeConfig(engines.dispatcherConfig());
            Map<InheritingProcess, String> faults =
                    Map.of(
                            held.start("exec </dev/null; ", Map.of()),
                                    "descriptor 0 is no TCP socket",
                            held.start("", Map.of("RELAY_LISTEN", "127.0.0.1:1")),
                                    "not to /127.0.0.1:1",
                            held.start("", Map.of("RELAY_FD", "3")),
                                    "only descriptor 0 can be taken over, not 3",
                            bound.start(), "descriptor 0 does not listen on");
            for (Map.Entry<InheritingProcess, String> fault : faults.entrySet()) {
                InheritingProcess p = fault.getKey();
                assertEquals(2, p.awaitExitCode(), p.log());
                assertTrue(p.log().contains("configuration: RELAY_FD: "), p.log());
                assertTrue(p.log().contains(fault.getValue()), p.log());
            }
        }
    }
}
