package junipercourse.pg;

import static junipercourse.SocketTestSupport.query;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import junipercourse.SocketTestSupport;
import junipercourse.SocketTestSupport.Client;
import junipercourse.SocketTestSupport.StubEngine;
import junipercourse.core.Counters;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Closes by either side that cross something else; the dispatcher's thread is held to force it. */
class ConnectionCloseTest {
    private static final String SERVED = "T D(a b c) C(SELECT 1)";
    private static final String ENDING = "E(57P03 the dispatcher is shutting down)";
    private static final String CANCELLED = "E(57014 canceling statement due to user request)";

    /** A client that has left is given this long to be noticed, on a busy machine. */
    private static final long NOTICED_MS = 1000;

    private final SocketTestSupport bench;
    private StubEngine engine;
    private volatile String answer = SocketTestSupport.OK;

    ConnectionCloseTest() throws Exception {
        bench = new SocketTestSupport();
    }

    @BeforeEach
    void start() throws Exception {
        engine =
                bench.startEngine(
                        1,
                        call -> {
                            SocketTestSupport.sleepMillis(20);
                            return call.startsWith("DELETE") ? SocketTestSupport.CANCELLED : answer;
                        });
    }

    @AfterEach
    void close() throws Exception {
        bench.close();
    }

    // ---- the listening socket ----

    /**
     * Those that the system let in before the listening socket closed are ours: refused, not reset.
     */
    @Test
    void whoWaitsAtTheSocketThatIsClosedIsAnswered() throws Exception {
        Runnable release = bench.blockLoop();
        bench.executeOnLoop(front -> front.beginShutdown(() -> {}));
        List<Client> waiting = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            Client late = bench.connectClient();
            late.write(Client.startupMessage(), Client.queryMessage(query("check", i, 5000)));
            waiting.add(late);
        }
        release.run();
        for (Client late : waiting) {
            assertEquals("", late.readAnswer());
            assertEquals(ENDING, late.readAnswer());
        }
        assertEquals(0, engine.countCalls("POST"));
    }

    /** At the end all sessions are ended in order, after a look for what came on them meanwhile. */
    @Test
    void aQueryThatCrossesTheLastCloseIsRefused() throws Exception {
        Client asks = bench.connectClient().startSession();
        Client rests = bench.connectClient().startSession();
        assertEquals("I", rests.query(" "));
        Runnable release = bench.blockLoop();
        bench.executeOnLoop(
                front -> {
                    front.beginShutdown(() -> {});
                    front.closeSessions();
                });
        asks.write(Client.queryMessage(query("check", 1, 5000)));
        release.run();
        assertEquals(ENDING, asks.readAnswer());
        assertEquals(ENDING + " closed=true", asks.readAnswer());
        assertEquals(ENDING + " closed=true", rests.readAnswer());
        assertEquals(0, engine.countCalls("POST"));
    }

    // ---- closes of ours ----

    /**
     * No message, an over-long one, one of a kind that is not spoken, from a client that only
     * writes.
     */
    @ParameterizedTest
    @CsvSource({
        "start 51ffffffff, 08P01 a message of 4294967295 bytes",
        "start 0000000000, 08P01 a message of 0 bytes",
        "start 5000000004, '0A000 only simple queries are taken here, no message of type 80'",
        "7fffffff00030000, 08P01 a message of 2147483647 bytes",
        "474554202f20485454502f312e31, 08P01 a message of 1195725856 bytes"
    })
    void whoSendsMuchThatIsNoMessageReadsWhyAndAnEnd(String hex, String why) throws Exception {
        Client client = bench.connectClient();
        if (hex.startsWith("start")) {
            client.startSession();
        }
        Runnable release = bench.blockLoop();
        SocketTestSupport.startDaemon(
                () ->
                        client.write(
                                HexFormat.of().parseHex(hex.replace("start ", "")),
                                new byte[300_000]));
        SocketTestSupport.sleepMillis(50); // more than one read's worth lies there
        release.run();
        assertEquals("E(" + why + ") closed=true", client.readAnswer());
        assertEquals(SERVED, bench.connectClient().startSession().query(query("check", 1, 5000)));
    }

    /**
     * What comes after our end of the connection is thrown away, and holds one descriptor for a
     * second.
     */
    @Test
    void whatIsSentAfterOurCloseReachesNoEngine() throws Exception {
        int before = bench.descriptorBudget.used();
        Client client = bench.connectClient().startSession();
        client.write(HexFormat.of().parseHex("5000000004"));
        assertTrue(client.readAnswer().endsWith("closed=true"));
        client.write(Client.queryMessage(query("check", 1, 5000)));
        assertEquals(
                before + 1,
                bench.descriptorBudget.used(),
                "it counts as a client's until it is closed");
        assertEquals(-1, client.socket.getInputStream().read(), "no reset");
        SocketTestSupport.await(() -> bench.descriptorBudget.used() == before, 3000);
        assertEquals(0, engine.countCalls("POST"));
    }

    /**
     * An end without a word of ours is told at once, too: of three, none waits for the bound of a
     * second.
     */
    @Test
    void aCancelRequestIsClosedAtOnce() throws Exception {
        Client client = bench.connectClient().startSession();
        long from = System.nanoTime();
        for (int i = 0; i < 3; i++) {
            client.cancel();
        }
        assertTrue(System.nanoTime() - from < 2_500_000_000L);
    }

    /** One that sends on and on costs bounded bytes: it is cut off. */
    @Test
    void whoNeverStopsSendingIsCutOff() throws Exception {
        int before = bench.descriptorBudget.used();
        Client client = bench.connectClient().startSession();
        client.write(HexFormat.of().parseHex("51ffffffff"));
        SocketTestSupport.startDaemon(
                () -> {
                    while (true) {
                        client.write(new byte[100_000]);
                    }
                });
        SocketTestSupport.await(() -> bench.descriptorBudget.used() == before);
    }

    /** Connections that we have ended and their clients keep open leave room for those that ask. */
    @Test
    void connectionsOnTheirWayOutMakeRoom() throws Exception {
        for (int i = 0; i < SocketTestSupport.MAX_CLIENTS * 2; i++) {
            Client bad = bench.connectClient();
            bad.write(HexFormat.of().parseHex("7fffffff00030000"));
            if (i % 40 == 39) {
                assertEquals(
                        SERVED,
                        bench.connectClient().startSession().query(query("check", i, 5000)));
            }
        }
        assertEquals(0, bench.counters.get(Counters.Count.CLIENTS_TURNED_AWAY));
        assertTrue(
                bench.descriptorBudget.shares().stream()
                        .filter(s -> s.name().equals("clients"))
                        .allMatch(s -> s.peak() <= s.maxOpen()),
                bench.descriptorBudget.toString());
    }

    // ---- closes of the client's ----

    /**
     * A client that sends much while its query is open and goes is seen to go: its query ends with
     * it.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void whoSendsMuchAndGoesIsSeenToGo(boolean reset) throws Exception {
        answer = SocketTestSupport.RUNNING;
        Client client = bench.connectClient().startSession();
        client.write(Client.queryMessage(query("check", 1, 7000)));
        SocketTestSupport.await(() -> engine.countCalls("POST") == 1);
        client.write(new byte[64 * 1024]);
        if (reset) {
            client.socket.setSoLinger(true, 0);
        }
        client.close();
        SocketTestSupport.await(() -> engine.countCalls("DELETE") == 1, NOTICED_MS);
        assertEquals(1, engine.countCalls("POST"));
    }

    /** What lies whole before the overrun is answered, then the session ends with an error. */
    @Test
    void whoSendsMuchAndStaysIsAnsweredFirst() throws Exception {
        answer = SocketTestSupport.RUNNING;
        Client client = bench.connectClient().startSession();
        client.write(Client.queryMessage(query("check", 1, 7000)));
        SocketTestSupport.await(() -> engine.countCalls("POST") == 1);
        client.write(
                Client.queryMessage(query("check", 2, 7000)),
                Client.queryMessage(" ".repeat(40_000)));
        answer = SocketTestSupport.OK;
        assertEquals(SERVED, client.readAnswer());
        assertEquals(SERVED, client.readAnswer());
        assertEquals(
                "E(08P01 too much was sent ahead of an answer) closed=true", client.readAnswer());
    }

    /** One that never stops sending loses its query, and is told why. */
    @Test
    void whoSendsOnAndOnWhileItsQueryIsOpenIsClosed() throws Exception {
        answer = SocketTestSupport.RUNNING;
        int before = bench.descriptorBudget.used();
        Client client = bench.connectClient().startSession();
        client.write(Client.queryMessage(query("check", 1, 7000)));
        SocketTestSupport.await(() -> engine.countCalls("POST") == 1);
        SocketTestSupport.startDaemon(
                () -> {
                    while (true) {
                        client.write(new byte[100_000]);
                    }
                });
        SocketTestSupport.await(() -> engine.countCalls("DELETE") == 1, NOTICED_MS);
        SocketTestSupport.await(
                () -> bench.descriptorBudget.used() <= before + 1); // the engine's stays
    }

    // ---- cancels ----

    /** The cancel is read first, while the query that it is for still lies unread. */
    @Test
    void aCancelThatIsReadBeforeItsQueryCancelsIt() throws Exception {
        answer = SocketTestSupport.RUNNING;
        Client client = bench.connectClient().startSession();
        Runnable release = bench.blockLoop();
        bench.executeOnLoop(
                front -> front.cancel(client.cancelKey().getInt(), client.cancelKey().getInt(4)));
        client.write(Client.queryMessage(query("check", 1, 1000)));
        release.run();
        assertEquals(CANCELLED, client.readAnswer());
        nothingGoesOn(engine.countCalls("POST"));
    }

    /**
     * An open or an unread query, its cancel and its client's close, in each order and in one pass.
     */
    @ParameterizedTest
    @CsvSource({
        "open cancel close",
        "open close cancel",
        "open cancel",
        "open close",
        "query cancel close",
        "query close cancel",
        "query close"
    })
    void whateverOrderAClientLeavesInNothingIsBegunAfterwards(String order) throws Exception {
        answer = SocketTestSupport.RUNNING;
        Client client = bench.connectClient().startSession();
        byte[] query = Client.queryMessage(query("check", 1, 7000));
        Socket other = new Socket(client.socket.getInetAddress(), client.socket.getPort());
        if (order.startsWith("open")) {
            client.write(query);
            SocketTestSupport.await(() -> engine.countCalls("POST") == 1);
        }
        Runnable release = bench.blockLoop();
        for (String event : order.split(" ")) {
            switch (event) {
                case "query" -> client.write(query);
                case "cancel" -> other.getOutputStream().write(client.cancelRequest());
                case "close" -> client.close();
                default -> {}
            }
        }
        release.run();
        if (order.endsWith("cancel") && !order.contains("close")) {
            assertEquals(CANCELLED, client.readAnswer());
        }
        SocketTestSupport.sleepMillis(100);
        nothingGoesOn(engine.countCalls("POST"));
        other.close();
    }

    /** Each attempt that there was is taken back, and none follows. */
    private void nothingGoesOn(long begun) throws IOException {
        SocketTestSupport.await(() -> engine.countCalls("DELETE") >= begun, NOTICED_MS);
        SocketTestSupport.sleepMillis(300);
        assertEquals(begun, engine.countCalls("POST"));
    }
}
