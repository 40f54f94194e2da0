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
import junipercourse.Client;
import junipercourse.SocketTestSupport;
import junipercourse.StubEngine;
import junipercourse.core.Counters.Count;
import junipercourse.decision.api.EngineStage;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Outcomes that by PROTOCOL prove that an attempt never ran, and others, for each effect: which
 * attempts are repeated, and that two attempts never overlap.
 */
class AttemptRetryTest {
    /** Repeatable always, by idempotency key for 12 s, by key for 0.5 s, and never. */
    private static final List<String> CLASSES = List.of("check", "load", "soon", "move");

    private static final double SHORT_WINDOW_SECONDS = 0.5;
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
                            "goal_time_s\":15.0") // latency objectives are not tested here
                    .replace("\"deadline_s\":7.5", "\"deadline_s\":20.0");
    private static final String NEVER_RAN = "X-Unrun: 1\r\nContent-Length: 0\r\n\r\n";
    private static final String NO_BODY = "Content-Length: 0\r\n\r\n";
    private static final String NOT_HTTP = "SSH-2.0 hello\r\n";
    private static final String TRUNCATED =
            "HTTP/1.1 200 OK\r\nX-Fetches: 1\r\nContent-Length: 60\r\n\r\na\tb\t";

    /** Responses to the calls of the first attempt, by name of the fault. */
    private static final Map<String, Function<String, String>> FAULTS =
            Map.ofEntries(
                    Map.entry("full", call -> AT_CAPACITY),
                    Map.entry("expired", call -> "HTTP/1.1 504 Late\r\n" + NEVER_RAN),
                    Map.entry("full without proof", call -> "HTTP/1.1 503 Full\r\n" + NO_BODY),
                    Map.entry("expired without proof", call -> "HTTP/1.1 504 Late\r\n" + NO_BODY),
                    Map.entry(
                            "full, proof 0",
                            call -> "HTTP/1.1 503 Full\r\nX-Unrun: 0\r\n" + NO_BODY),
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
                            "malformed always",
                            call -> call.startsWith("DELETE") ? CANCELLED : NOT_HTTP),
                    Map.entry(
                            "truncated always",
                            call -> call.startsWith("DELETE") ? CANCELLED : TRUNCATED),
                    Map.entry(
                            "delete unanswered",
                            call -> call.startsWith("DELETE") ? NO_RESPONSE : NOT_HTTP),
                    Map.entry("silent", call -> NO_RESPONSE),
                    Map.entry(
                            "hangs while running",
                            call -> call.startsWith("POST") ? RUNNING : NO_RESPONSE));

    /** The observed result of one query class. */
    private record Observation(
            String queryClass,
            String answer,
            AttemptOverlapChecker overlapChecker,
            boolean wasRepeated) {}

    private static Observation observe(
            String queryClass, Function<String, String> fault, long timeoutMillis)
            throws IOException {
        AttemptOverlapChecker overlapChecker = new AttemptOverlapChecker(fault);
        try (SocketTestSupport support = new SocketTestSupport(CONFIG, 512)) {
            support.startEngine(1, overlapChecker::respond);
            support.startEngine(2, overlapChecker::respond);
            String answer =
                    support.connectClient()
                            .startSession()
                            .query(query(queryClass, 1, timeoutMillis));
            return new Observation(
                    queryClass, answer, overlapChecker, overlapChecker.postCount() > 1);
        }
    }

    /**
     * {@code expectedRepeats} is y or n for each class, or ? where timing decides: the window of
     * 0.5 s has an assertion of its own, and a query that hangs after the engine has responded is
     * awaited beyond the timeout of some clients.
     */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "full | yyyy", "expired | nnnn", "full without proof | yy?n",
                        "expired without proof | yy?n",
                "full, proof 0 | yy?n", "error | yy?n", "reset, then unknown | yy?n",
                        "reset always | yy?n",
                "malformed always | yy?n", "truncated always | yynn", "delete unanswered | yynn",
                        "silent | yynn",
                "hangs while running | ??nn"
            })
    void attemptIsRepeatedOnlyIfEffectOrProofAllows(String fault, String expectedRepeats)
            throws Exception {
        ExecutorService executor = Executors.newFixedThreadPool(CLASSES.size());
        List<Future<Observation>> observations = new ArrayList<>();
        for (String queryClass : CLASSES) {
            Callable<Observation> task =
                    () ->
                            observe(
                                    queryClass,
                                    FAULTS.get(fault),
                                    fault.startsWith("hangs") ? 7000 : 15_000);
            observations.add(executor.submit(task));
        }
        executor.shutdown();
        for (int i = 0; i < observations.size(); i++) {
            Observation observation = observations.get(i).get();
            String description = fault + ": " + observation;
            assertFalse(observation.overlapChecker.hasOverlap(), description);
            boolean mayRepeat = expectedRepeats.charAt(i) != 'n';
            assertTrue(mayRepeat || !observation.wasRepeated, description);
            assertTrue(
                    expectedRepeats.charAt(i) != 'y'
                            || observation.wasRepeated
                                    && observation.answer.startsWith("T D(a b c)"),
                    description);
            assertTrue(
                    !observation.queryClass.equals("soon")
                            || fault.equals("full")
                            || observation.overlapChecker.secondsBetweenPosts()
                                    < SHORT_WINDOW_SECONDS,
                    description);
            boolean reportsNeverRan = observation.answer.startsWith("E(53");
            assertTrue(
                    !reportsNeverRan
                            || fault.equals("expired")
                            || !observation.queryClass.equals("move"),
                    description);
        }
    }

    /**
     * No byte was written, as the connection was refused or never established: queries of every
     * effect go to another engine.
     */
    @ParameterizedTest
    @CsvSource({
        "check,refused",
        "load,refused",
        "move,refused",
        "check,never established",
        "load,never established",
        "move,never established"
    })
    void unwrittenAttemptMovesToAnotherEngine(String queryClass, String fault) throws Exception {
        StubEngine closedEngine = new StubEngine(call -> OK);
        closedEngine.close();
        try (SocketTestSupport support = new SocketTestSupport(CONFIG, 512);
                FullAcceptQueue unreachableEngine = new FullAcceptQueue()) {
            support.updateEndpointAndWait(
                    1,
                    fault.equals("refused") ? closedEngine : unreachableEngine.endpoint(),
                    EngineStage.READY);
            Client client = support.connectClient().startSession();
            client.write(Client.queryMessage(query(queryClass, 1, 7000)));
            SocketTestSupport.await(() -> support.counters.get(Count.ENDS_UNREACHABLE) >= 1);
            StubEngine workingEngine = support.startEngine(2, call -> OK);
            assertEquals("T D(a b c) C(SELECT 1)", client.readAnswer());
            assertEquals(1, workingEngine.countCalls("POST"));
        }
    }
}
