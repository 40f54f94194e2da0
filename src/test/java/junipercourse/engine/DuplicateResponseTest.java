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
import junipercourse.Client;
import junipercourse.SocketTestSupport;
import junipercourse.core.Counters.Count;
import junipercourse.decision.api.EngineStage;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Engines that send responses twice: a duplicate is never taken for the response to another call.
 */
class DuplicateResponseTest {
    private static final String NEVER_RAN = "X-Unrun: 1\r\nContent-Length: 0\r\n\r\n";
    private static final int PAGE_COUNT = 3;
    private final SocketTestSupport support;
    private final Set<String> runningQueries = ConcurrentHashMap.newKeySet();
    private final List<String> violations = new CopyOnWriteArrayList<>();

    DuplicateResponseTest() throws Exception {
        support = new SocketTestSupport();
    }

    @AfterEach
    void close() throws Exception {
        support.close();
    }

    private static String queryId(String call) {
        return call.startsWith("POST") ? call.substring(call.length() - 16) : call.split("/")[2];
    }

    private static String page(String id, int number) {
        String row = id + "\t" + number + "\tc\n";
        return "HTTP/1.1 200 OK\r\n"
                + (number == 0 ? "X-Fetches: " + PAGE_COUNT : "X-Fetch: " + number)
                + "\r\nContent-Length: "
                + row.length()
                + "\r\n\r\n"
                + row;
    }

    private static String rows(int queryNumber) {
        String id = "%016x".formatted(queryNumber);
        return "T D(" + id + " 0 c) D(" + id + " 1 c) D(" + id + " 2 c) C(SELECT 3)";
    }

    /**
     * The response of an engine that runs each query until {@code stateResponse} is not a 202;
     * records attempts that overlap.
     */
    private String respond(String call, String stateResponse) {
        String id = queryId(call);
        if (call.startsWith("DELETE")) {
            runningQueries.remove(id);
            return SocketTestSupport.CANCELLED;
        }
        if (call.startsWith("GET") && !call.endsWith("/0")) {
            return page(id, call.charAt(call.length() - 1) - '0');
        }
        if (call.startsWith("POST") && !runningQueries.add(id)) {
            violations.add("two attempts at once: " + id);
        }
        if (!stateResponse.equals(SocketTestSupport.RUNNING)) {
            runningQueries.remove(id);
        }
        return stateResponse.isEmpty() ? page(id, 0) : stateResponse;
    }

    /** A duplicate of the first response, of each status, meets the next call of any query. */
    @ParameterizedTest
    @CsvSource({
        "200,100", "202,100", "500,100", "503,100", "504,100", "204,100", "200,3", "202,3", "500,3",
        "503,3", "504,3", "204,3"
    })
    void duplicateOfFirstResponseLeavesRowsUnchanged(int status, long duplicateDelayMillis)
            throws Exception {
        AtomicInteger postCount = new AtomicInteger();
        DuplicatingEngine engine =
                new DuplicatingEngine(
                        call -> {
                            boolean isFirstPost =
                                    call.startsWith("POST") && postCount.incrementAndGet() == 1;
                            boolean isPoll = call.endsWith("/0");
                            SocketTestSupport.sleepMillis(isPoll ? 20 : 0);
                            return respond(
                                    call,
                                    status == 204 && queryId(call).endsWith("1")
                                            ? SocketTestSupport.RUNNING
                                            : !isFirstPost
                                                    ? ""
                                                    : switch (status) {
                                                        case 202 -> SocketTestSupport.RUNNING;
                                                        case 500 -> SocketTestSupport.FAILED;
                                                        case 503 ->
                                                                "HTTP/1.1 503 Full\r\n" + NEVER_RAN;
                                                        case 504 ->
                                                                "HTTP/1.1 504 Late\r\n" + NEVER_RAN;
                                                        default -> "";
                                                    });
                        },
                        call -> duplicateDelayMillis);
        try (engine;
                Client firstClient = support.connectClient().startSession();
                Client secondClient = support.connectClient().startSession()) {
            support.updateEndpointAndWait(1, engine, EngineStage.READY);
            firstClient.write(Client.queryMessage(SocketTestSupport.query("check", 1, 3000)));
            SocketTestSupport.await(() -> engine.countCalls("POST") > 0);
            if (status == 204) {
                SocketTestSupport.await(() -> engine.countCalls("GET") > 0);
                firstClient.cancel();
                SocketTestSupport.await(() -> engine.countCalls("DELETE") > 0);
            }
            String answer = firstClient.readAnswer();
            assertTrue(answer.equals(rows(1)) || status >= 204 && answer.startsWith("E("), answer);
            assertEquals(rows(2), secondClient.query(SocketTestSupport.query("check", 2, 5000)));
            assertEquals(List.of(), violations);
        }
    }

    /**
     * Random duplicates, delays, outcomes and cancellations: each client gets the rows of its own
     * query, and no two attempts of a query overlap.
     */
    @Test
    void randomDuplicatesLeaveRowsUnchanged() throws Exception {
        long seed = 20261202;
        Map<String, Long> completionTimes = new ConcurrentHashMap<>();
        Random random = new Random(seed);
        List<DuplicatingEngine> engines = new ArrayList<>();
        for (int i = 1; i <= 2; i++) {
            DuplicatingEngine engine =
                    new DuplicatingEngine(
                            call -> {
                                if (call.startsWith("DELETE")
                                        || call.startsWith("GET") && !call.endsWith("/0")) {
                                    return respond(call, "");
                                }
                                long nowNanos = System.nanoTime();
                                long completionNanos =
                                        completionTimes.computeIfAbsent(
                                                queryId(call),
                                                k -> nowNanos + random.nextInt(400) * 1_000_000L);
                                long remainingMillis =
                                        Math.max(0, (completionNanos - nowNanos) / 1_000_000);
                                if (call.startsWith("POST") && random.nextInt(5) == 0) {
                                    completionTimes.remove(queryId(call));
                                    return respond(
                                            call,
                                            random.nextBoolean()
                                                    ? SocketTestSupport.AT_CAPACITY
                                                    : SocketTestSupport.FAILED);
                                }
                                SocketTestSupport.sleepMillis(Math.min(remainingMillis, 250));
                                return respond(
                                        call,
                                        remainingMillis >= 250 ? SocketTestSupport.RUNNING : "");
                            },
                            call -> random.nextBoolean() ? random.nextInt(251) : -1);
            engines.add(engine);
            support.updateEndpointAndWait(i, engine, EngineStage.READY);
        }
        List<Thread> threads = new ArrayList<>();
        AtomicInteger served = new AtomicInteger();
        for (int c = 0; c < 8; c++) {
            int firstNumber = 100 * (c + 1);
            Thread thread =
                    new Thread(
                            () -> {
                                try (Client client = support.connectClient().startSession()) {
                                    for (int number = firstNumber;
                                            number < firstNumber + 10;
                                            number++) {
                                        client.write(
                                                Client.queryMessage(
                                                        SocketTestSupport.query(
                                                                "check", number, 4000)));
                                        if (number % 5 == 4) {
                                            SocketTestSupport.sleepMillis(random.nextInt(200));
                                            client.cancel();
                                        }
                                        String answer = client.readAnswer();
                                        served.addAndGet(answer.equals(rows(number)) ? 1 : 0);
                                        if (!answer.equals(rows(number))
                                                && !answer.startsWith("E(")) {
                                            violations.add(number + " got " + answer);
                                        }
                                    }
                                } catch (java.io.IOException e) {
                                    violations.add(e.toString());
                                }
                            });
            threads.add(thread);
            thread.start();
        }
        for (Thread thread : threads) {
            thread.join(9000);
        }
        System.out.println(
                "connections="
                        + support.counters.get(Count.ENGINES_CONNECTED)
                        + " attempts="
                        + support.counters.get(Count.ATTEMPTS_SENT)
                        + " served="
                        + served);
        assertEquals(List.of(), violations, "seed " + seed);
        assertTrue(served.get() >= 30, "seed " + seed + ": served " + served);
        for (DuplicatingEngine engine : engines) {
            engine.close();
        }
    }
}
