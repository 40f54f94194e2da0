package junipercourse.engine;

import static junipercourse.SocketTestSupport.CANCELLED;
import static junipercourse.SocketTestSupport.OK;
import static junipercourse.SocketTestSupport.RUNNING;
import static junipercourse.SocketTestSupport.query;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;
import junipercourse.Client;
import junipercourse.SocketTestSupport;
import junipercourse.StubEngine;
import junipercourse.core.Counters.Count;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A cancelled attempt counts as running until its end is proven, and a response that it still
 * receives reaches no client.
 */
class CancellationTest {
    private static final String CANCELLED = "E(57014 canceling statement due to user request)";
    private static final double QUERY_EXPIRY_NANOS = 2.0e9;
    private final SocketTestSupport support;

    CancellationTest() throws Exception {
        support =
                new SocketTestSupport(
                        SocketTestSupport.CONFIG.replace(
                                "\"goal_time_s\":3.0", "\"goal_time_s\":15.0"),
                        512);
    }

    @AfterEach
    void close() throws Exception {
        support.close();
    }

    /**
     * The engine reads each DELETE but does not answer it, answers without proof of the deletion or
     * breaks the connection: the query may still be running.
     */
    @ParameterizedTest
    @CsvSource({
        "silence",
        "break",
        "HTTP/1.1 500 Failed~Content-Length: 0~~",
        "HTTP/1.1 202 Accepted~Content-Length: 0~~",
        "HTTP/1.1 200 OK~X-Fetches: 1~Content-Length: 0~~",
        "HTTP/1.1 204 No"
    })
    void unconfirmedDeleteBlocksIdempotencyKeyUntilQueryExpires(String deleteResponse)
            throws Exception {
        AtomicLong lastPollNanos = new AtomicLong();
        AtomicLong secondPostNanos = new AtomicLong();
        StubEngine engine =
                support.startEngine(
                        1,
                        call -> {
                            if (call.startsWith("DELETE")) {
                                return deleteResponse.replace("~", "\r\n");
                            }
                            if (call.contains("0000000000000002")) {
                                secondPostNanos.compareAndSet(0, System.nanoTime());
                                return OK;
                            }
                            lastPollNanos.set(System.nanoTime());
                            SocketTestSupport.sleepMillis(call.startsWith("GET") ? 240 : 0);
                            return RUNNING;
                        });
        Client firstClient = support.connectClient().startSession();
        firstClient.write(Client.queryMessage(query("load", 1, 9000)));
        SocketTestSupport.await(() -> engine.countCalls("GET") >= 1);
        Client secondClient = support.connectClient().startSession();
        secondClient.write(Client.queryMessage(query("load", 2, 19_000)));
        firstClient.cancel();
        assertEquals(CANCELLED, firstClient.readAnswer());
        assertEquals("T D(a b c) C(SELECT 1)", secondClient.readAnswer());
        assertTrue(
                secondPostNanos.get() - lastPollNanos.get() >= QUERY_EXPIRY_NANOS,
                "after " + (secondPostNanos.get() - lastPollNanos.get()));
        assertTrue(engine.countCalls("DELETE") >= 2, "DELETE was not retried: " + engine.calls);
        assertEquals(1, engine.countCalls("POST /fetch 0000000000000001"));
    }

    /**
     * The final response of a query crosses its DELETE, in either order, after its client has
     * received the cancellation.
     */
    @ParameterizedTest
    @CsvSource({"true", "false"})
    void responseCrossingDeleteIsDiscarded(boolean deleteFirst) throws Exception {
        CountDownLatch deleteAnswered = new CountDownLatch(1);
        CountDownLatch deleteReceived = new CountDownLatch(1);
        StubEngine engine =
                support.startEngine(
                        1,
                        call -> {
                            if (call.contains("0000000000000002")) {
                                return OK.replace("a\tb", "x\ty");
                            }
                            if (call.startsWith("DELETE")) {
                                if (deleteFirst) {
                                    deleteAnswered.countDown();
                                } else {
                                    deleteReceived.countDown();
                                    SocketTestSupport.sleepMillis(
                                            50); // the response is sent on its own connection
                                }
                                return CANCELLED;
                            }
                            if (call.startsWith("GET")) { // held until the DELETE has arrived
                                SocketTestSupport.await(
                                        () ->
                                                (deleteFirst ? deleteAnswered : deleteReceived)
                                                                .getCount()
                                                        == 0);
                                SocketTestSupport.sleepMillis(deleteFirst ? 50 : 0);
                                return OK;
                            }
                            return RUNNING;
                        });
        Client client = support.connectClient().startSession();
        client.write(Client.queryMessage(query("check", 1, 7000)));
        SocketTestSupport.await(() -> engine.countCalls("GET") >= 1);
        client.cancel();
        assertEquals(CANCELLED, client.readAnswer());
        assertEquals("T D(x y c) C(SELECT 1)", client.query(query("check", 2, 7000)));
        SocketTestSupport.await(() -> support.counters.get(Count.ENDS_CANCELLED) == 1);
        assertEquals(1, support.counters.get(Count.QUERIES_SERVED));
        assertEquals(0, support.counters.get(Count.INTERNAL_ERRORS));
    }

    /** Neither a held poll nor an unanswered DELETE leaves a connection or a descriptor open. */
    @Test
    void cancelledAttemptClosesAllConnections() throws Exception {
        CountDownLatch attemptCompleted = new CountDownLatch(1);
        StubEngine engine =
                support.startEngine(
                        1,
                        call -> {
                            if (call.startsWith("POST")) {
                                return RUNNING;
                            }
                            SocketTestSupport.await(() -> attemptCompleted.getCount() == 0, 20_000);
                            return SocketTestSupport.NO_RESPONSE;
                        });
        Client client = support.connectClient().startSession();
        client.write(Client.queryMessage(query("check", 1, 7000)));
        SocketTestSupport.await(() -> engine.countCalls("GET") >= 1);
        client.cancel();
        SocketTestSupport.await(() -> support.counters.get(Count.ENDS_CANCELLED) == 1);
        assertTrue(engine.countCalls("DELETE") >= 2, "DELETE was not retried: " + engine.calls);
        attemptCompleted.countDown();
        SocketTestSupport.await(
                () ->
                        engine.closedConnections.get()
                                == support.counters.get(Count.ENGINES_CONNECTED));
    }
}
