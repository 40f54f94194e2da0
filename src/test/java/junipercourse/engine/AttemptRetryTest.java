package junipercourse.engine;

import static junipercourse.SocketTestSupport.AT_CAPACITY;
import static junipercourse.SocketTestSupport.CANCELLED;
import static junipercourse.SocketTestSupport.FAILED;
import static junipercourse.SocketTestSupport.NO_RESPONSE;
import static junipercourse.SocketTestSupport.OK;
import static junipercourse.SocketTestSupport.RUNNING;
import static junipercourse.SocketTestSupport.query;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Function;
import junipercourse.SocketTestSupport;
import junipercourse.SocketTestSupport.StubEngine;
import junipercourse.core.Counters.Count;
import junipercourse.decision.api.EngineStage;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * PROTOCOL's list of proofs that an attempt never ran, against what is none, for each effect: what
 * is sent again, and that there are never two out.
 */
class AttemptRetryTest {
    /** By what may be repeated: always, by key for 12 s and for half a second, and never. */
    private static final List<String> CLASSES = List.of("check", "load", "soon", "move");

    private static final double SOON_S = 0.5;
    private static final String CONFIG =
            SocketTestSupport.CONFIG
                    .replace(
                            "\"deadline_s\":20.0}]",
                            """
                            "deadline_s":20.0},
                            {"name":"soon","effect":"by_key","key_scope":"all",
                            "window_s":0.5,"goal_time_s":3.0,
                             "deadline_s":20.0},
                            {"name":"move","effect":"once","goal_time_s":3.0,"deadline_s":20.0}]\
                            """)
                    .replaceAll(
                            "goal_time_s\":[0-9.]+",
                            "goal_time_s\":15.0") // aims are not tested here
                    .replace("\"deadline_s\":7.5", "\"deadline_s\":20.0");
    private static final String UNRUN = "X-Unrun: 1\r\nContent-Length: 0\r\n\r\n";
    private static final String NONE = "Content-Length: 0\r\n\r\n";
    private static final String GARBLED = "SSH-2.0 hello\r\n";
    private static final String CUT =
            "HTTP/1.1 200 OK\r\nX-Fetches: 1\r\nContent-Length: 60\r\n\r\na\tb\t";

    /** What engines answer to the first attempt's calls, by row. */
    private static final Map<String, Function<String, String>> FAULTS =
            Map.ofEntries(
                    Map.entry("full", call -> AT_CAPACITY),
                    Map.entry("over", call -> "HTTP/1.1 504 Late\r\n" + UNRUN),
                    Map.entry("full without proof", call -> "HTTP/1.1 503 Full\r\n" + NONE),
                    Map.entry("over without proof", call -> "HTTP/1.1 504 Late\r\n" + NONE),
                    Map.entry(
                            "full, proof 0", call -> "HTTP/1.1 503 Full\r\nX-Unrun: 0\r\n" + NONE),
                    Map.entry("error", call -> FAILED),
                    Map.entry(
                            "reset, then unknown",
                            call ->
                                    call.startsWith("POST")
                                            ? SocketTestSupport.CLOSE_CONNECTION
                                            : FAILED),
                    Map.entry(
                            "reset always",
                            call ->
                                    call.startsWith("DELETE")
                                            ? CANCELLED
                                            : SocketTestSupport.CLOSE_CONNECTION),
                    Map.entry(
                            "garbled always",
                            call -> call.startsWith("DELETE") ? CANCELLED : GARBLED),
                    Map.entry("cut always", call -> call.startsWith("DELETE") ? CANCELLED : CUT),
                    Map.entry(
                            "delete unanswered",
                            call -> call.startsWith("DELETE") ? NO_RESPONSE : GARBLED),
                    Map.entry("silent", call -> NO_RESPONSE),
                    Map.entry(
                            "hangs in its work",
                            call -> call.startsWith("POST") ? RUNNING : NO_RESPONSE));

    /** What was seen of one class. */
    private record Observation(
            String kind, String answer, AttemptOverlapChecker judge, boolean again) {}

    private static Observation play(String kind, Function<String, String> fault, long timeoutMs)
            throws IOException {
        AttemptOverlapChecker judge = new AttemptOverlapChecker(fault);
        try (SocketTestSupport bench = new SocketTestSupport(CONFIG, 512)) {
            bench.startEngine(1, judge::answer);
            bench.startEngine(2, judge::answer);
            String answer = bench.connectClient().startSession().query(query(kind, 1, timeoutMs));
            return new Observation(kind, answer, judge, judge.posts() > 1);
        }
    }

    /**
     * {@code again}: y or n for each class, ? where its time decides: the half second's window is
     * judged by itself, and one that hangs in its work after it was heard is waited for, past some
     * clients' time.
     */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "full | yyyy", "over | nnnn", "full without proof | yy?n",
                        "over without proof | yy?n",
                "full, proof 0 | yy?n", "error | yy?n", "reset, then unknown | yy?n",
                        "reset always | yy?n",
                "garbled always | yy?n", "cut always | yynn", "delete unanswered | yynn",
                        "silent | yynn",
                "hangs in its work | ??nn"
            })
    void anAttemptIsRepeatedByItsEffectAndByProof(String row, String again) throws Exception {
        ExecutorService side = Executors.newFixedThreadPool(CLASSES.size());
        List<Future<Observation>> all = new ArrayList<>();
        for (String kind : CLASSES) {
            Callable<Observation> one =
                    () -> play(kind, FAULTS.get(row), row.startsWith("hangs") ? 7000 : 15_000);
            all.add(side.submit(one));
        }
        side.shutdown();
        for (int i = 0; i < all.size(); i++) {
            Observation seen = all.get(i).get();
            String what = row + ": " + seen;
            assertFalse(seen.judge.twoOut(), what);
            boolean may = again.charAt(i) != 'n';
            assertTrue(may || !seen.again, what);
            assertTrue(
                    again.charAt(i) != 'y' || seen.again && seen.answer.startsWith("T D(a b c)"),
                    what);
            assertTrue(
                    !seen.kind.equals("soon") || row.equals("full") || seen.judge.spread() < SOON_S,
                    what);
            boolean harmless = seen.answer.startsWith("E(53");
            assertTrue(!harmless || row.equals("over") || !seen.kind.equals("move"), what);
        }
    }

    /**
     * Proofs without a byte: a refused connection, and one that never comes up. Every effect goes
     * on.
     */
    @ParameterizedTest
    @CsvSource({
        "check,refused",
        "load,refused",
        "move,refused",
        "check,never up",
        "load,never up",
        "move,never up"
    })
    void whatWasNeverWrittenGoesElsewhere(String kind, String fault) throws Exception {
        StubEngine dead = new StubEngine(call -> OK);
        dead.close();
        try (SocketTestSupport bench = new SocketTestSupport(CONFIG, 512);
                FullAcceptQueue never = new FullAcceptQueue()) {
            bench.updateEndpointAndWait(
                    1, fault.equals("refused") ? dead : never.listed(), EngineStage.READY);
            SocketTestSupport.Client client = bench.connectClient().startSession();
            client.write(SocketTestSupport.Client.queryMessage(query(kind, 1, 7000)));
            SocketTestSupport.await(() -> bench.counters.get(Count.ENDS_UNREACHABLE) >= 1);
            StubEngine good = bench.startEngine(2, call -> OK);
            assertEquals("T D(a b c) C(SELECT 1)", client.readAnswer());
            assertEquals(1, good.countCalls("POST"));
        }
    }
}
