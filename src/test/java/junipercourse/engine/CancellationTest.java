package junipercourse.engine;

import static junipercourse.SocketTestSupport.CANCELLED;
import static junipercourse.SocketTestSupport.OK;
import static junipercourse.SocketTestSupport.RUNNING;
import static junipercourse.SocketTestSupport.query;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;
import junipercourse.SocketTestSupport;
import junipercourse.SocketTestSupport.Client;
import junipercourse.SocketTestSupport.StubEngine;
import junipercourse.core.Counters.Count;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * An attempt that is given up is out until that is proven, and what still comes of it goes to
 * nobody.
 */
class CancellationTest {
    private static final String CANCELLED = "E(57014 canceling statement due to user request)";
    private static final double FORGOTTEN_NS = 2.0e9;
    private final SocketTestSupport bench;

    CancellationTest() throws Exception {
        bench =
                new SocketTestSupport(
                        SocketTestSupport.CONFIG.replace(
                                "\"goal_time_s\":3.0", "\"goal_time_s\":15.0"),
                        512);
    }

    @AfterEach
    void close() throws Exception {
        bench.close();
    }

    /**
     * The engine reads each DELETE and says nothing, says what is no proof, or breaks: it may run
     * on.
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
    void aDeleteWithoutItsProofKeepsTheKeyUntilTheQueryIsForgotten(String answer) throws Exception {
        AtomicLong asked = new AtomicLong();
        AtomicLong second = new AtomicLong();
        StubEngine e =
                bench.startEngine(
                        1,
                        call -> {
                            if (call.startsWith("DELETE")) {
                                return answer.replace("~", "\r\n");
                            }
                            if (call.contains("0000000000000002")) {
                                second.compareAndSet(0, System.nanoTime());
                                return OK;
                            }
                            asked.set(System.nanoTime());
                            SocketTestSupport.sleepMillis(call.startsWith("GET") ? 240 : 0);
                            return RUNNING;
                        });
        Client first = bench.connectClient().startSession();
        first.write(Client.queryMessage(query("load", 1, 9000)));
        SocketTestSupport.await(() -> e.countCalls("GET") >= 1);
        Client next = bench.connectClient().startSession();
        next.write(Client.queryMessage(query("load", 2, 19_000)));
        first.cancel();
        assertEquals(CANCELLED, first.readAnswer());
        assertEquals("T D(a b c) C(SELECT 1)", next.readAnswer());
        assertTrue(
                second.get() - asked.get() >= FORGOTTEN_NS,
                "after " + (second.get() - asked.get()));
        assertTrue(e.countCalls("DELETE") >= 2, "tried again: " + e.calls);
        assertEquals(1, e.countCalls("POST /fetch 0000000000000001"));
    }

    /**
     * The last answer of a query crosses its DELETE, in either order: its client has had its one
     * answer.
     */
    @ParameterizedTest
    @CsvSource({"true", "false"})
    void anAnswerThatCrossesTheDeleteIsNobodys(boolean deleteFirst) throws Exception {
        CountDownLatch deleted = new CountDownLatch(1);
        CountDownLatch ended = new CountDownLatch(1);
        StubEngine e =
                bench.startEngine(
                        1,
                        call -> {
                            if (call.contains("0000000000000002")) {
                                return OK.replace("a\tb", "x\ty");
                            }
                            if (call.startsWith("DELETE")) {
                                if (deleteFirst) {
                                    deleted.countDown();
                                } else {
                                    ended.countDown();
                                    SocketTestSupport.sleepMillis(
                                            50); // the answer leaves on its own connection
                                    // meanwhile
                                }
                                return CANCELLED;
                            }
                            if (call.startsWith("GET")) { // held until the DELETE has come
                                SocketTestSupport.await(
                                        () -> (deleteFirst ? deleted : ended).getCount() == 0);
                                SocketTestSupport.sleepMillis(deleteFirst ? 50 : 0);
                                return OK;
                            }
                            return RUNNING;
                        });
        Client client = bench.connectClient().startSession();
        client.write(Client.queryMessage(query("check", 1, 7000)));
        SocketTestSupport.await(() -> e.countCalls("GET") >= 1);
        client.cancel();
        assertEquals(CANCELLED, client.readAnswer());
        assertEquals("T D(x y c) C(SELECT 1)", client.query(query("check", 2, 7000)));
        SocketTestSupport.await(() -> bench.counters.get(Count.ENDS_CANCELLED) == 1);
        assertEquals(1, bench.counters.get(Count.QUERIES_SERVED));
        assertEquals(0, bench.counters.get(Count.INTERNAL_ERRORS));
    }

    /**
     * Neither a held call nor a DELETE without an answer leaves a connection or a descriptor
     * behind.
     */
    @Test
    void everyConnectionOfAGivenUpAttemptIsClosed() throws Exception {
        CountDownLatch over = new CountDownLatch(1);
        StubEngine e =
                bench.startEngine(
                        1,
                        call -> {
                            if (call.startsWith("POST")) {
                                return RUNNING;
                            }
                            SocketTestSupport.await(() -> over.getCount() == 0, 20_000);
                            return SocketTestSupport.NO_RESPONSE;
                        });
        Client client = bench.connectClient().startSession();
        client.write(Client.queryMessage(query("check", 1, 7000)));
        SocketTestSupport.await(() -> e.countCalls("GET") >= 1);
        client.cancel();
        SocketTestSupport.await(() -> bench.counters.get(Count.ENDS_CANCELLED) == 1);
        assertTrue(e.countCalls("DELETE") >= 2, "tried again: " + e.calls);
        over.countDown();
        SocketTestSupport.await(
                () -> e.closedConnections.get() == bench.counters.get(Count.ENGINES_CONNECTED));
    }
}
