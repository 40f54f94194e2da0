package junipercourse.core;

import static junipercourse.SocketTestSupport.CANCELLED;
import static junipercourse.SocketTestSupport.FAILED;
import static junipercourse.SocketTestSupport.OK;
import static junipercourse.SocketTestSupport.query;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import junipercourse.SocketTestSupport;
import junipercourse.SocketTestSupport.Client;
import junipercourse.SocketTestSupport.LoopPause;
import junipercourse.SocketTestSupport.StubEngine;
import junipercourse.core.Counters.Count;
import junipercourse.decision.api.EndpointUpdateKind;
import junipercourse.decision.api.EngineStage;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * What comes between the decision to send and the first byte; the loop's turn is held in between.
 */
class FirstByteTest {
    private static final String SERVED = "T D(a b c) C(SELECT 1)";

    /** A hold this long is a stall to the loop; one much shorter is none. */
    private static final long STALL_MS = 200;

    private final SocketTestSupport bench;

    FirstByteTest() throws Exception {
        bench =
                new SocketTestSupport(
                        SocketTestSupport.CONFIG
                                .replace("\"dial_timeout_s\":0.25", "\"dial_timeout_s\":1.5")
                                .replace("\"window_s\":12.0", "\"window_s\":1.0"),
                        512);
    }

    @AfterEach
    void close() throws Exception {
        bench.close();
    }

    private long count(Count what) {
        return bench.counters.get(what);
    }

    private static List<String> posts(StubEngine e) {
        return e.calls.stream().filter(c -> c.startsWith("POST")).toList();
    }

    private void awaitUnsent(int attempts) {
        SocketTestSupport.await(() -> count(Count.ENDS_UNSENT) == attempts);
    }

    /** In one pass, the ends of clients and the connections for their queries come in any order. */
    @ParameterizedTest
    @CsvSource({"0,false", "0,true", "200,false", "200,true"})
    void nothingIsSentForClientsThatLeftWhileTheirConnectionsCameUp(long heldMs, boolean reset)
            throws Exception {
        int clients = 8;
        List<StubEngine> engines = new ArrayList<>();
        for (int i = 1; i <= 4; i++) {
            engines.add(bench.startEngine(i, call -> OK));
        }
        List<Client> all = new ArrayList<>();
        for (int i = 0; i < clients; i++) {
            all.add(bench.connectClient().startSession());
        }
        LoopPause read = bench.pauseLoop();
        LoopPause stop = bench.pauseAfterDials(clients);
        for (int i = 0; i < clients; i++) {
            all.get(i).write(Client.queryMessage(query("check", i + 1, 7000)));
        }
        read.resume();
        stop.awaitPaused();
        for (Client c : all) {
            c.socket.setSoLinger(reset, 0);
            c.close();
        }
        SocketTestSupport.sleepMillis(heldMs);
        stop.resume();
        awaitUnsent(clients);
        assertEquals(0, engines.stream().mapToLong(e -> e.countCalls("POST")).sum());
        assertEquals(clients, count(Count.CLIENTS_LEFT));
    }

    /**
     * After a stall a cancel may lie in the accept queue; its key's next goes on, as after nothing.
     */
    @Test
    void nothingIsSentForACancelThatLiesUnacceptedAndItsKeysNextGoesOn() throws Exception {
        StubEngine e = bench.startEngine(1, call -> call.startsWith("DELETE") ? CANCELLED : OK);
        Client first = bench.connectClient().startSession();
        Client next = bench.connectClient().startSession();
        LoopPause stop = bench.pauseAfterDials(1);
        first.write(Client.queryMessage(query("load", 1, 9000)));
        stop.awaitPaused();
        SocketTestSupport.startDaemon(first::cancel);
        next.write(Client.queryMessage(query("load", 2, 9000)));
        SocketTestSupport.sleepMillis(STALL_MS);
        stop.resume();
        assertEquals("E(57014 canceling statement due to user request)", first.readAnswer());
        assertEquals(SERVED, next.readAnswer());
        assertEquals(List.of("POST /fetch 0000000000000002"), posts(e));
        assertEquals(1, count(Count.ENDS_UNSENT));
        assertEquals(0, count(Count.ENDS_CANCELLED), "what was not written did not run");
    }

    /**
     * An engine that drains, is gone, was started again under its id or lost its address to
     * another.
     */
    @ParameterizedTest
    @CsvSource({"drains", "gone", "restarted", "replaced"})
    void nothingIsSentToAnEngineThatIsNoLongerTheOneItWas(String how) throws Exception {
        StubEngine e = bench.startEngine(1, call -> OK);
        Client client = bench.connectClient().startSession();
        LoopPause stop = bench.pauseAfterDials(1);
        client.write(Client.queryMessage(query("load", 1, 7000)));
        stop.awaitPaused();
        StubEngine other = new StubEngine(call -> OK);
        double now = System.currentTimeMillis() / 1e3;
        switch (how) {
            case "drains" ->
                    bench.updateEndpoints(
                            EndpointUpdateKind.DELTA, 0, EngineStage.DRAINING, Map.of(1, e));
            case "gone" ->
                    bench.updateEndpoints(
                            EndpointUpdateKind.DELTA, 0, EngineStage.GONE, Map.of(1, e));
            case "restarted" ->
                    bench.updateEndpoints(
                            EndpointUpdateKind.DELTA, now, EngineStage.READY, Map.of(1, e));
            default ->
                    bench.updateEndpoints(
                            EndpointUpdateKind.FULL, 0, EngineStage.READY, Map.of(2, e));
        }
        boolean stays = how.equals("restarted") || how.equals("replaced");
        if (!stays) {
            bench.updateEndpoints(EndpointUpdateKind.DELTA, 0, EngineStage.READY, Map.of(2, other));
        }
        stop.resume();
        assertEquals(SERVED, client.readAnswer());
        assertEquals(1, count(Count.ENDS_UNSENT), "the attempt for the old one");
        assertEquals(stays ? 1 : 0, e.countCalls("POST"));
        assertEquals(stays ? 0 : 1, other.countCalls("POST"));
        other.close();
    }

    /**
     * A repeat's first byte leaves inside the window or not at all, whenever the repeat was
     * decided.
     */
    @Test
    void aRepeatWhoseConnectionCameUpTooLateForItsWindowIsNotSent() throws Exception {
        StubEngine one = bench.startEngine(1, call -> FAILED);
        StubEngine two = bench.startEngine(2, call -> FAILED);
        Client client = bench.connectClient().startSession();
        LoopPause stop = bench.pauseAfterDials(2);
        client.write(Client.queryMessage(query("load", 1, 9000)));
        stop.awaitPaused();
        SocketTestSupport.sleepMillis(1100);
        stop.resume();
        assertTrue(client.readAnswer().startsWith("E(53"));
        assertEquals(1, one.countCalls("POST") + two.countCalls("POST"));
        assertEquals(1, count(Count.ENDS_UNSENT));
    }

    /** An attempt's first byte leaves while there is time for its answer, or not at all. */
    @Test
    void aQueryWhoseTimeIsUpWhenItsConnectionIsUpIsNotSent() throws Exception {
        StubEngine e = bench.startEngine(1, call -> OK);
        Client client = bench.connectClient().startSession();
        LoopPause stop = bench.pauseAfterDials(1);
        client.write(Client.queryMessage(query("check", 1, 800)));
        stop.awaitPaused();
        SocketTestSupport.sleepMillis(900);
        stop.resume();
        assertTrue(client.readAnswer().startsWith("E(5"));
        awaitUnsent(1);
        assertEquals(0, e.countCalls("POST"));
    }

    /** The engine is told how long is left when the first byte leaves, not when the dial began. */
    @Test
    void theTimeThatADialTookIsNotToldToTheEngineAsLeft() throws Exception {
        StubEngine e = bench.startEngine(1, call -> OK);
        Client client = bench.connectClient().startSession();
        LoopPause stop = bench.pauseAfterDials(1);
        client.write(Client.queryMessage(query("check", 1, 7000)));
        stop.awaitPaused();
        SocketTestSupport.sleepMillis(600);
        stop.resume();
        assertEquals(SERVED, client.readAnswer());
        assertTrue(e.limitsMillis.get(0) <= 6400, e.limitsMillis::toString);
    }

    /**
     * A query that waits for room, or for its key's turn, is not sent for a client that left
     * meanwhile.
     */
    @ParameterizedTest
    @CsvSource({"check", "load"})
    void nothingIsSentForAClientThatLeftWhileItsQueryWaited(String kind) throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        try (SocketTestSupport narrow = new SocketTestSupport(1)) {
            StubEngine e =
                    narrow.startEngine(
                            1,
                            call -> {
                                SocketTestSupport.await(() -> answer.getCount() == 0);
                                return OK;
                            });
            Client first = narrow.connectClient().startSession();
            Client second = narrow.connectClient().startSession();
            Client third = narrow.connectClient().startSession();
            first.write(Client.queryMessage(query(kind, 1, 7000)));
            SocketTestSupport.await(() -> e.countCalls("POST") == 1);
            second.write(Client.queryMessage(query(kind, 2, 7000)));
            SocketTestSupport.await(() -> narrow.counters.get(Count.QUERIES_TAKEN) == 2);
            LoopPause stop = narrow.pauseLoop();
            answer.countDown(); // the answer and the client's end are found in one pass
            second.close();
            stop.resume();
            assertEquals(SERVED, first.readAnswer());
            assertEquals(SERVED, third.query(query(kind, 3, 7000)));
            assertEquals(
                    List.of("POST /fetch 0000000000000001", "POST /fetch 0000000000000003"),
                    posts(e));
        }
    }

    /**
     * A connection that comes up within the settings' time is used, later than an answer may take.
     */
    @Test
    void aQueryIsSentOnAConnectionThatCameUpLate() throws Exception {
        AtomicInteger posts = new AtomicInteger();
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            List<Socket> waiting = new ArrayList<>();
            for (int i = 0; i < 2; i++) {
                waiting.add(new Socket(full.getInetAddress(), full.getLocalPort()));
            }
            bench.updateEndpointAndWait(
                    1, (InetSocketAddress) full.getLocalSocketAddress(), EngineStage.READY);
            Client client = bench.connectClient().startSession();
            LoopPause stop = bench.pauseAfterDials(1);
            client.write(Client.queryMessage(query("check", 1, 7000)));
            stop.awaitPaused();
            stop.resume();
            SocketTestSupport.sleepMillis(
                    700); // its first SYN is lost in the full queue; the system's next is 1 s later
            SocketTestSupport.startDaemon(
                    () -> {
                        while (true) {
                            Socket s = full.accept();
                            SocketTestSupport.startDaemon(
                                    () -> {
                                        if (s.getInputStream().read() >= 0) {
                                            posts.incrementAndGet();
                                            s.getOutputStream().write(OK.getBytes());
                                        }
                                    });
                        }
                    });
            assertEquals(SERVED, client.readAnswer());
            assertEquals(1, posts.get());
            assertEquals(1, count(Count.ATTEMPTS_SENT));
            for (Socket s : waiting) {
                s.close();
            }
        }
    }
}
