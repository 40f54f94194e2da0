package junipercourse.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import junipercourse.SocketTestSupport;
import junipercourse.SocketTestSupport.Client;
import junipercourse.core.Counters.Count;
import junipercourse.decision.api.EngineStage;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Engines that send answers twice: no answer, page or proof is taken from the wrong call. */
class DuplicateResponseTest {
    private static final String UNRUN = "X-Unrun: 1\r\nContent-Length: 0\r\n\r\n";
    private static final int PAGES = 3;
    private final SocketTestSupport bench;
    private final Set<String> running = ConcurrentHashMap.newKeySet();
    private final List<String> faults = new CopyOnWriteArrayList<>();

    DuplicateResponseTest() throws Exception {
        bench = new SocketTestSupport();
    }

    @AfterEach
    void close() throws Exception {
        bench.close();
    }

    private static String id(String call) {
        return call.startsWith("POST") ? call.substring(call.length() - 16) : call.split("/")[2];
    }

    private static String page(String id, int n) {
        String row = id + "\t" + n + "\tc\n";
        return "HTTP/1.1 200 OK\r\n"
                + (n == 0 ? "X-Fetches: " + PAGES : "X-Fetch: " + n)
                + "\r\nContent-Length: "
                + row.length()
                + "\r\n\r\n"
                + row;
    }

    private static String rows(int number) {
        String id = "%016x".formatted(number);
        return "T D(" + id + " 0 c) D(" + id + " 1 c) D(" + id + " 2 c) C(SELECT 3)";
    }

    /**
     * What an engine that runs each query until {@code news} is no 202 answers; it knows the truth.
     */
    private String answer(String call, String news) {
        String id = id(call);
        if (call.startsWith("DELETE")) {
            running.remove(id);
            return SocketTestSupport.CANCELLED;
        }
        if (call.startsWith("GET") && !call.endsWith("/0")) {
            return page(id, call.charAt(call.length() - 1) - '0');
        }
        if (call.startsWith("POST") && !running.add(id)) {
            faults.add("two attempts at once: " + id);
        }
        if (!news.equals(SocketTestSupport.RUNNING)) {
            running.remove(id);
        }
        return news.isEmpty() ? page(id, 0) : news;
    }

    /** By kind of the first answer, a copy of which meets the next call, whoever's it is. */
    @ParameterizedTest
    @CsvSource({
        "200,100", "202,100", "500,100", "503,100", "504,100", "204,100", "200,3", "202,3", "500,3",
        "503,3", "504,3", "204,3"
    })
    void eachClientGetsItsOwnRows(int kind, long echoMs) throws Exception {
        AtomicInteger posts = new AtomicInteger();
        DuplicatingEngine e =
                new DuplicatingEngine(
                        call -> {
                            boolean first = call.startsWith("POST") && posts.incrementAndGet() == 1;
                            boolean held = call.endsWith("/0");
                            SocketTestSupport.sleepMillis(held ? 20 : 0);
                            return answer(
                                    call,
                                    kind == 204 && id(call).endsWith("1")
                                            ? SocketTestSupport.RUNNING
                                            : !first
                                                    ? ""
                                                    : switch (kind) {
                                                        case 202 -> SocketTestSupport.RUNNING;
                                                        case 500 -> SocketTestSupport.FAILED;
                                                        case 503 -> "HTTP/1.1 503 Full\r\n" + UNRUN;
                                                        case 504 -> "HTTP/1.1 504 Late\r\n" + UNRUN;
                                                        default -> "";
                                                    });
                        },
                        call -> echoMs);
        try (e;
                Client one = bench.connectClient().startSession();
                Client two = bench.connectClient().startSession()) {
            bench.updateEndpointAndWait(1, e, EngineStage.READY);
            one.write(Client.queryMessage(SocketTestSupport.query("check", 1, 3000)));
            SocketTestSupport.await(() -> e.countCalls("POST") > 0);
            if (kind == 204) {
                SocketTestSupport.await(() -> e.countCalls("GET") > 0);
                one.cancel();
                SocketTestSupport.await(() -> e.countCalls("DELETE") > 0);
            }
            String answer = one.readAnswer();
            assertTrue(answer.equals(rows(1)) || kind >= 204 && answer.startsWith("E("), answer);
            assertEquals(rows(2), two.query(SocketTestSupport.query("check", 2, 5000)));
            assertEquals(List.of(), faults);
        }
    }

    /**
     * Random copies, delays, ends, cancels: rows are the query's, and no attempt has another beside
     * it.
     */
    @Test
    void whateverComesTwiceEachClientGetsItsOwnRows() throws Exception {
        long seed = 20261202;
        Map<String, Long> until = new ConcurrentHashMap<>();
        Random random = new Random(seed);
        List<DuplicatingEngine> engines = new ArrayList<>();
        for (int i = 1; i <= 2; i++) {
            DuplicatingEngine e =
                    new DuplicatingEngine(
                            call -> {
                                if (call.startsWith("DELETE")
                                        || call.startsWith("GET") && !call.endsWith("/0")) {
                                    return answer(call, "");
                                }
                                long now = System.nanoTime();
                                long end =
                                        until.computeIfAbsent(
                                                id(call),
                                                k -> now + random.nextInt(400) * 1_000_000L);
                                long left = Math.max(0, (end - now) / 1_000_000);
                                if (call.startsWith("POST") && random.nextInt(5) == 0) {
                                    until.remove(id(call));
                                    return answer(
                                            call,
                                            random.nextBoolean()
                                                    ? SocketTestSupport.AT_CAPACITY
                                                    : SocketTestSupport.FAILED);
                                }
                                SocketTestSupport.sleepMillis(Math.min(left, 250));
                                return answer(call, left >= 250 ? SocketTestSupport.RUNNING : "");
                            },
                            call -> random.nextBoolean() ? random.nextInt(251) : -1);
            engines.add(e);
            bench.updateEndpointAndWait(i, e, EngineStage.READY);
        }
        List<Thread> threads = new ArrayList<>();
        AtomicInteger served = new AtomicInteger();
        for (int c = 0; c < 8; c++) {
            int base = 100 * (c + 1);
            Thread t =
                    new Thread(
                            () -> {
                                try (Client client = bench.connectClient().startSession()) {
                                    for (int n = base; n < base + 10; n++) {
                                        client.write(
                                                Client.queryMessage(
                                                        SocketTestSupport.query("check", n, 4000)));
                                        if (n % 5 == 4) {
                                            SocketTestSupport.sleepMillis(random.nextInt(200));
                                            client.cancel();
                                        }
                                        String answer = client.readAnswer();
                                        served.addAndGet(answer.equals(rows(n)) ? 1 : 0);
                                        if (!answer.equals(rows(n)) && !answer.startsWith("E(")) {
                                            faults.add(n + " got " + answer);
                                        }
                                    }
                                } catch (java.io.IOException e) {
                                    faults.add(e.toString());
                                }
                            });
            threads.add(t);
            t.start();
        }
        for (Thread t : threads) {
            t.join(9000);
        }
        System.out.println(
                "connections="
                        + bench.counters.get(Count.ENGINES_CONNECTED)
                        + " attempts="
                        + bench.counters.get(Count.ATTEMPTS_SENT)
                        + " served="
                        + served);
        assertEquals(List.of(), faults, "seed " + seed);
        assertTrue(served.get() >= 30, "seed " + seed + ": served " + served);
        for (DuplicatingEngine e : engines) {
            e.close();
        }
    }
}
