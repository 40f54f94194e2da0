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
import junipercourse.Client;
import junipercourse.SocketTestSupport;
import junipercourse.SocketTestSupport.LoopPause;
import junipercourse.StubEngine;
import junipercourse.core.Counters.Count;
import junipercourse.decision.api.EndpointUpdateKind;
import junipercourse.decision.api.EngineStage;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests events between the decision to send a request and its first byte. The loop iteration is
 * paused in between.
 */
class FirstByteTest {
    private static final String SERVED = "T D(a b c) C(SELECT 1)";

    /** The loop detects a pause of this length as a stall, but not a much shorter one. */
    private static final long STALL_MILLIS = 200;

    private final SocketTestSupport testSupport;

    FirstByteTest() throws Exception {
        testSupport =
                new SocketTestSupport(
                        SocketTestSupport.CONFIG
                                .replace("\"dial_timeout_s\":0.25", "\"dial_timeout_s\":1.5")
                                .replace("\"window_s\":12.0", "\"window_s\":1.0"),
                        512);
    }

    @AfterEach
    void close() throws Exception {
        testSupport.close();
    }

    private long count(Count counter) {
        return testSupport.counters.get(counter);
    }

    private static List<String> postCalls(StubEngine engine) {
        return engine.calls.stream().filter(call -> call.startsWith("POST")).toList();
    }

    private void awaitUnsentAttempts(int attempts) {
        SocketTestSupport.await(() -> count(Count.ENDS_UNSENT) == attempts);
    }

    /**
     * One pass over the sockets may report disconnected clients and the connections for their
     * queries in any order.
     */
    @ParameterizedTest
    @CsvSource({"0,false", "0,true", "200,false", "200,true"})
    void queriesAreNotSentIfTheirClientsLeftWhileConnectionsWereEstablished(
            long stallMillis, boolean reset) throws Exception {
        int clientCount = 8;
        List<StubEngine> engines = new ArrayList<>();
        for (int i = 1; i <= 4; i++) {
            engines.add(testSupport.startEngine(i, call -> OK));
        }
        List<Client> allClients = new ArrayList<>();
        for (int i = 0; i < clientCount; i++) {
            allClients.add(testSupport.connectClient().startSession());
        }
        LoopPause pauseBeforeRead = testSupport.pauseLoop();
        LoopPause pauseAfterDials = testSupport.pauseAfterDials(clientCount);
        for (int i = 0; i < clientCount; i++) {
            allClients.get(i).write(Client.queryMessage(query("check", i + 1, 7000)));
        }
        pauseBeforeRead.resume();
        pauseAfterDials.awaitPaused();
        for (Client client : allClients) {
            client.socket.setSoLinger(reset, 0);
            client.close();
        }
        SocketTestSupport.sleepMillis(stallMillis);
        pauseAfterDials.resume();
        awaitUnsentAttempts(clientCount);
        assertEquals(0, engines.stream().mapToLong(engine -> engine.countCalls("POST")).sum());
        assertEquals(clientCount, count(Count.CLIENTS_LEFT));
    }

    /**
     * After a stall a cancel request may still be in the accept queue. The next query of the key
     * must be served as if nothing had been sent.
     */
    @Test
    void cancelledQueryIsNotSentIfCancelRequestWasUnacceptedAndNextOfKeyIsServed()
            throws Exception {
        StubEngine engine =
                testSupport.startEngine(1, call -> call.startsWith("DELETE") ? CANCELLED : OK);
        Client first = testSupport.connectClient().startSession();
        Client next = testSupport.connectClient().startSession();
        LoopPause pause = testSupport.pauseAfterDials(1);
        first.write(Client.queryMessage(query("load", 1, 9000)));
        pause.awaitPaused();
        SocketTestSupport.startDaemon(first::cancel);
        next.write(Client.queryMessage(query("load", 2, 9000)));
        SocketTestSupport.sleepMillis(STALL_MILLIS);
        pause.resume();
        assertEquals("E(57014 canceling statement due to user request)", first.readAnswer());
        assertEquals(SERVED, next.readAnswer());
        assertEquals(List.of("POST /fetch 0000000000000002"), postCalls(engine));
        assertEquals(1, count(Count.ENDS_UNSENT));
        assertEquals(
                0,
                count(Count.ENDS_CANCELLED),
                "an attempt that was not written must not count as cancelled");
    }

    /**
     * During the dial the engine drains, disappears, restarts under its id or loses its address to
     * another engine.
     */
    @ParameterizedTest
    @CsvSource({"drains", "gone", "restarted", "replaced"})
    void nothingIsSentToEngineThatDrainedLeftOrWasReplacedDuringDial(String change)
            throws Exception {
        StubEngine engine = testSupport.startEngine(1, call -> OK);
        Client client = testSupport.connectClient().startSession();
        LoopPause pause = testSupport.pauseAfterDials(1);
        client.write(Client.queryMessage(query("load", 1, 7000)));
        pause.awaitPaused();
        StubEngine otherEngine = new StubEngine(call -> OK);
        double now = System.currentTimeMillis() / 1e3;
        switch (change) {
            case "drains" ->
                    testSupport.updateEndpoints(
                            EndpointUpdateKind.DELTA, 0, EngineStage.DRAINING, Map.of(1, engine));
            case "gone" ->
                    testSupport.updateEndpoints(
                            EndpointUpdateKind.DELTA, 0, EngineStage.GONE, Map.of(1, engine));
            case "restarted" ->
                    testSupport.updateEndpoints(
                            EndpointUpdateKind.DELTA, now, EngineStage.READY, Map.of(1, engine));
            default ->
                    testSupport.updateEndpoints(
                            EndpointUpdateKind.FULL, 0, EngineStage.READY, Map.of(2, engine));
        }
        boolean isAddressStillListed = change.equals("restarted") || change.equals("replaced");
        if (!isAddressStillListed) {
            testSupport.updateEndpoints(
                    EndpointUpdateKind.DELTA, 0, EngineStage.READY, Map.of(2, otherEngine));
        }
        pause.resume();
        assertEquals(SERVED, client.readAnswer());
        assertEquals(1, count(Count.ENDS_UNSENT), "the attempt at the old engine");
        assertEquals(isAddressStillListed ? 1 : 0, engine.countCalls("POST"));
        assertEquals(isAddressStillListed ? 0 : 1, otherEngine.countCalls("POST"));
        otherEngine.close();
    }

    /**
     * The first byte of a retry is sent within the deduplication window or not at all, whenever the
     * retry was decided.
     */
    @Test
    void retryIsNotSentIfItsWindowPassedBeforeConnectionWasEstablished() throws Exception {
        StubEngine firstEngine = testSupport.startEngine(1, call -> FAILED);
        StubEngine secondEngine = testSupport.startEngine(2, call -> FAILED);
        Client client = testSupport.connectClient().startSession();
        LoopPause pause = testSupport.pauseAfterDials(2);
        client.write(Client.queryMessage(query("load", 1, 9000)));
        pause.awaitPaused();
        SocketTestSupport.sleepMillis(1100);
        pause.resume();
        assertTrue(client.readAnswer().startsWith("E(53"));
        assertEquals(1, firstEngine.countCalls("POST") + secondEngine.countCalls("POST"));
        assertEquals(1, count(Count.ENDS_UNSENT));
    }

    /** The first byte of an attempt is sent while there is time for its answer, or not at all. */
    @Test
    void queryIsNotSentIfItsDeadlinePassedBeforeConnectionWasEstablished() throws Exception {
        StubEngine engine = testSupport.startEngine(1, call -> OK);
        Client client = testSupport.connectClient().startSession();
        LoopPause pause = testSupport.pauseAfterDials(1);
        client.write(Client.queryMessage(query("check", 1, 800)));
        pause.awaitPaused();
        SocketTestSupport.sleepMillis(900);
        pause.resume();
        assertTrue(client.readAnswer().startsWith("E(5"));
        awaitUnsentAttempts(1);
        assertEquals(0, engine.countCalls("POST"));
    }

    /**
     * The time limit sent to the engine counts from the first byte, not from the start of the dial.
     */
    @Test
    void timeLimitSentToEngineExcludesTimeOfDial() throws Exception {
        StubEngine engine = testSupport.startEngine(1, call -> OK);
        Client client = testSupport.connectClient().startSession();
        LoopPause pause = testSupport.pauseAfterDials(1);
        client.write(Client.queryMessage(query("check", 1, 7000)));
        pause.awaitPaused();
        SocketTestSupport.sleepMillis(600);
        pause.resume();
        assertEquals(SERVED, client.readAnswer());
        assertTrue(engine.limitsMillis.get(0) <= 6400, engine.limitsMillis::toString);
    }

    /**
     * A query that waits for a connection, or for an earlier query of its key, is not sent if its
     * client left meanwhile.
     */
    @ParameterizedTest
    @CsvSource({"check", "load"})
    void waitingQueryIsNotSentIfItsClientLeft(String queryClass) throws Exception {
        CountDownLatch answerReleased = new CountDownLatch(1);
        try (SocketTestSupport singleConnection = new SocketTestSupport(1)) {
            StubEngine engine =
                    singleConnection.startEngine(
                            1,
                            call -> {
                                SocketTestSupport.await(() -> answerReleased.getCount() == 0);
                                return OK;
                            });
            Client first = singleConnection.connectClient().startSession();
            Client second = singleConnection.connectClient().startSession();
            Client third = singleConnection.connectClient().startSession();
            first.write(Client.queryMessage(query(queryClass, 1, 7000)));
            SocketTestSupport.await(() -> engine.countCalls("POST") == 1);
            second.write(Client.queryMessage(query(queryClass, 2, 7000)));
            SocketTestSupport.await(() -> singleConnection.counters.get(Count.QUERIES_TAKEN) == 2);
            LoopPause pause = singleConnection.pauseLoop();
            answerReleased.countDown(); // one pass reads the answer and the client's disconnection
            second.close();
            pause.resume();
            assertEquals(SERVED, first.readAnswer());
            assertEquals(SERVED, third.query(query(queryClass, 3, 7000)));
            assertEquals(
                    List.of("POST /fetch 0000000000000001", "POST /fetch 0000000000000003"),
                    postCalls(engine));
        }
    }

    /**
     * A connection established within the configured timeout is used, even if that takes longer
     * than an answer may take.
     */
    @Test
    void queryIsSentOnConnectionEstablishedLate() throws Exception {
        AtomicInteger posts = new AtomicInteger();
        try (ServerSocket fullListener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            List<Socket> queuedSockets = new ArrayList<>();
            for (int i = 0; i < 2; i++) {
                queuedSockets.add(
                        new Socket(fullListener.getInetAddress(), fullListener.getLocalPort()));
            }
            testSupport.updateEndpointAndWait(
                    1, (InetSocketAddress) fullListener.getLocalSocketAddress(), EngineStage.READY);
            Client client = testSupport.connectClient().startSession();
            LoopPause pause = testSupport.pauseAfterDials(1);
            client.write(Client.queryMessage(query("check", 1, 7000)));
            pause.awaitPaused();
            pause.resume();
            // The first SYN is lost because the accept queue is full; the kernel resends it after 1
            // s.
            SocketTestSupport.sleepMillis(700);
            SocketTestSupport.startDaemon(
                    () -> {
                        while (true) {
                            Socket socket = fullListener.accept();
                            SocketTestSupport.startDaemon(
                                    () -> {
                                        if (socket.getInputStream().read() >= 0) {
                                            posts.incrementAndGet();
                                            socket.getOutputStream().write(OK.getBytes());
                                        }
                                    });
                        }
                    });
            assertEquals(SERVED, client.readAnswer());
            assertEquals(1, posts.get());
            assertEquals(1, count(Count.ATTEMPTS_SENT));
            for (Socket socket : queuedSockets) {
                socket.close();
            }
        }
    }
}
