package junipercourse.decision;

import static junipercourse.decision.DispatcherScenarios.IDEMPOTENT;
import static junipercourse.decision.DispatcherScenarios.NOT_IDEMPOTENT;
import static junipercourse.decision.DispatcherScenarios.trainCutoff;
import static junipercourse.decision.DispatcherScenarios.withFourEngines;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import junipercourse.decision.api.AttemptOutcome;
import junipercourse.decision.api.DeduplicationScope;
import junipercourse.decision.api.Idempotency;
import junipercourse.decision.api.QueryClass;
import junipercourse.decision.api.ServiceGuarantees;
import org.junit.jupiter.api.Test;

/** Which requests get a further attempt. */
class RetryTest {
    @Test
    void failsNonIdempotentRequestAfterAReset() {
        RecordingDispatcher dispatcher = withFourEngines(NOT_IDEMPOTENT);
        trainCutoff(dispatcher, 0);
        dispatcher.receiveRequest(1, 0, dispatcher.now + 10, 0);
        long engine = dispatcher.takeSentEngineId();
        dispatcher.advance(5);
        assertEquals(List.of(), dispatcher.takeActions());
        dispatcher.endAttempt(1, 0, engine, AttemptOutcome.RESET, false);
        assertEquals(
                List.of("log ejected engine " + engine + ": dead", "fail 1"),
                dispatcher.takeActions());
    }

    @Test
    void retriesNonIdempotentRequestThatNeverRan() {
        RecordingDispatcher dispatcher = withFourEngines(NOT_IDEMPOTENT);
        dispatcher.receiveRequest(1, 0, dispatcher.now + 10, 0);
        long engine = dispatcher.takeSentEngineId();
        dispatcher.endAttempt(1, 0, engine, AttemptOutcome.REJECTED, false);
        assertTrue(dispatcher.takeSentEngineId() != engine);
    }

    @Test
    void rejectsWhenTheRetryBudgetIsSpent() {
        ServiceGuarantees guarantees =
                new ServiceGuarantees(0.02, 0.5, 0.3, 10, 2.5, 3, 1, 10, 1, 0, 10);
        RecordingDispatcher dispatcher =
                new RecordingDispatcher(
                        RecordingDispatcher.settings(guarantees, false, IDEMPOTENT));
        dispatcher.listReadyEngines(4);
        dispatcher.receiveRequest(1, 0, dispatcher.now + 10, 0);
        dispatcher.receiveRequest(2, 0, dispatcher.now + 10, 0);
        List<String> sends = dispatcher.takeActions();
        dispatcher.endAttempt(
                1, 0, Long.parseLong(sends.get(0).split(" ")[2]), AttemptOutcome.REJECTED, false);
        assertEquals(
                1,
                dispatcher.takeActions().stream()
                        .filter(action -> action.startsWith("send 1"))
                        .count());
        dispatcher.endAttempt(
                2, 0, Long.parseLong(sends.get(1).split(" ")[2]), AttemptOutcome.REJECTED, false);
        assertEquals(List.of("reject 2 0.5"), dispatcher.takeActions());
    }

    @Test
    void retriesKeyedRequestOnlyInItsCellAndWindow() {
        QueryClass keyed =
                new QueryClassBuilder("k", Idempotency.IDEMPOTENT_WITH_KEY)
                        .deduplicationScope(DeduplicationScope.CELL)
                        .deadline(20)
                        .build();
        RecordingDispatcher dispatcher = withFourEngines(keyed);
        dispatcher.receiveRequest(1, 0, dispatcher.now + 20, 0);
        long engine = dispatcher.takeSentEngineId();
        dispatcher.endAttempt(1, 0, engine, AttemptOutcome.ERROR, false);
        assertEquals(engine, dispatcher.takeSentEngineId());
        dispatcher.advance(6);
        dispatcher.endAttempt(1, 1, engine, AttemptOutcome.ERROR, false);
        assertEquals(
                List.of("log ejected engine " + engine + ": failing", "fail 1"),
                dispatcher.takeActions());
    }
}
