package junipercourse.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import junipercourse.decision.api.AttemptOutcome;
import junipercourse.decision.api.DeduplicationScope;
import junipercourse.decision.api.EndpointUpdateKind;
import junipercourse.decision.api.EngineId;
import junipercourse.decision.api.EngineKind;
import junipercourse.decision.api.EngineStage;
import junipercourse.decision.api.Idempotency;
import junipercourse.decision.api.QueryClass;
import junipercourse.decision.api.QueryRequest;
import junipercourse.decision.api.RequestId;
import junipercourse.decision.state.Attempt;
import junipercourse.decision.state.ClassStatistics;
import junipercourse.decision.state.EngineState;
import junipercourse.decision.state.PendingRequest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Permission to write the first byte of an attempt, and outcomes of attempts of which nothing was
 * written.
 */
class FirstBytePermissionTest {
    private static final RequestId FIRST_REQUEST = new RequestId(1);

    private static QueryClass queryClass(Idempotency idempotency, boolean orderedByKey) {
        return new QueryClass(
                "c",
                idempotency,
                DeduplicationScope.CELL,
                1.2,
                orderedByKey,
                0.5,
                0,
                4,
                1,
                0.5,
                1,
                false,
                false,
                Set.of(),
                Set.of());
    }

    private static RecordingDispatcher dispatcherWithOpenAttempt(
            Idempotency idempotency, double startedAt) {
        RecordingDispatcher dispatcher =
                new RecordingDispatcher(
                        RecordingDispatcher.settings(
                                RecordingDispatcher.GUARANTEES,
                                false,
                                queryClass(idempotency, true)));
        dispatcher.module.endpointsChanged(
                dispatcher.now,
                EndpointUpdateKind.FULL,
                List.of(RecordingDispatcher.listing(1, EngineStage.READY, startedAt)));
        dispatcher.receiveRequest(1, 0, dispatcher.now + 4, 5);
        assertEquals(1, dispatcher.takeSentEngineId());
        assertTrue(dispatcher.module.attemptMayStart(dispatcher.now, FIRST_REQUEST, 0));
        return dispatcher;
    }

    private static void updateEngine(
            RecordingDispatcher dispatcher, EngineStage stage, double startedAt) {
        dispatcher.module.endpointsChanged(
                dispatcher.now,
                EndpointUpdateKind.DELTA,
                List.of(RecordingDispatcher.listing(1, stage, startedAt)));
    }

    @Test
    void refusesFirstByteWhenAConditionNoLongerHolds() {
        RecordingDispatcher drained = dispatcherWithOpenAttempt(Idempotency.IDEMPOTENT, 0);
        updateEngine(drained, EngineStage.DRAINING, 0);
        assertFalse(drained.module.attemptMayStart(drained.now, FIRST_REQUEST, 0));
        RecordingDispatcher removed = dispatcherWithOpenAttempt(Idempotency.IDEMPOTENT, 0);
        updateEngine(removed, EngineStage.GONE, 0);
        assertFalse(removed.module.attemptMayStart(removed.now, FIRST_REQUEST, 0));
        // The attempt was sent to a warm engine that restarts before the first byte.
        RecordingDispatcher restarted = dispatcherWithOpenAttempt(Idempotency.IDEMPOTENT, 0);
        updateEngine(restarted, EngineStage.READY, restarted.now);
        assertFalse(restarted.module.attemptMayStart(restarted.now, FIRST_REQUEST, 0));
        RecordingDispatcher abandoned = dispatcherWithOpenAttempt(Idempotency.IDEMPOTENT, 0);
        abandoned.module.requestAbandoned(abandoned.now, FIRST_REQUEST);
        assertFalse(abandoned.module.attemptMayStart(abandoned.now, FIRST_REQUEST, 0));
        RecordingDispatcher nearDeadline = dispatcherWithOpenAttempt(Idempotency.IDEMPOTENT, 0);
        assertTrue(nearDeadline.module.attemptMayStart(nearDeadline.now + 3.9, FIRST_REQUEST, 0));
        assertFalse(nearDeadline.module.attemptMayStart(nearDeadline.now + 3.97, FIRST_REQUEST, 0));
        assertFalse(
                nearDeadline.module.attemptMayStart(nearDeadline.now, FIRST_REQUEST, 1),
                "no such attempt");
        // The engine is warming up and is listed again unchanged.
        RecordingDispatcher relisted = dispatcherWithOpenAttempt(Idempotency.IDEMPOTENT, 95);
        updateEngine(relisted, EngineStage.READY, 95);
        assertTrue(relisted.module.attemptMayStart(relisted.now, FIRST_REQUEST, 0));
    }

    /**
     * The first byte of a retry must be written within the deduplication window of its class. A
     * request that is not idempotent is not sent again after it may have run.
     */
    @Test
    void permitsFirstByteOfARetryOnlyWhenItsClassAllows() {
        RecordingDispatcher keyed = dispatcherWithOpenAttempt(Idempotency.IDEMPOTENT_WITH_KEY, 0);
        keyed.endAttempt(1, 0, 1, AttemptOutcome.ERROR, false);
        assertEquals(1, keyed.takeSentEngineId());
        assertTrue(keyed.module.attemptMayStart(keyed.now + 1.1, FIRST_REQUEST, 1));
        assertFalse(keyed.module.attemptMayStart(keyed.now + 1.2, FIRST_REQUEST, 1));
        RecordingDispatcher nonIdempotent =
                dispatcherWithOpenAttempt(Idempotency.NOT_IDEMPOTENT, 0);
        nonIdempotent.endAttempt(1, 0, 1, AttemptOutcome.NOT_SENT, false);
        assertEquals(1, nonIdempotent.takeSentEngineId());
        assertTrue(nonIdempotent.module.attemptMayStart(nonIdempotent.now + 3, FIRST_REQUEST, 1));
        nonIdempotent.endAttempt(1, 1, 1, AttemptOutcome.ERROR, false);
        assertEquals(List.of("fail 1"), nonIdempotent.takeActions());
        assertFalse(nonIdempotent.module.attemptMayStart(nonIdempotent.now, FIRST_REQUEST, 1));
    }

    /**
     * The next request of a key waits until the first has finished, and without a pause if the
     * first never ran.
     */
    @Test
    void startsNextRequestOfAKeyWhenThePreviousWasNotSent() {
        RecordingDispatcher dispatcher = dispatcherWithOpenAttempt(Idempotency.NOT_IDEMPOTENT, 0);
        dispatcher.receiveRequest(2, 0, dispatcher.now + 4, 5);
        dispatcher.module.requestAbandoned(dispatcher.now, FIRST_REQUEST);
        dispatcher.module.decide(dispatcher.now);
        assertEquals(List.of("cancel 1 0"), dispatcher.takeActions());
        dispatcher.endAttempt(1, 0, 1, AttemptOutcome.NOT_SENT, true);
        assertEquals(List.of("send 2 1"), dispatcher.takeActions());
        assertTrue(dispatcher.module.attemptMayStart(dispatcher.now, new RequestId(2), 0));
    }

    /**
     * Attempts of which nothing was written count against neither the attempt limit, the engine,
     * nor the slow start budget.
     */
    @ParameterizedTest
    @ValueSource(doubles = {0, 99.9})
    void countsNothingWhenAttemptsWereNotSent(double startedAt) {
        RecordingDispatcher dispatcher =
                dispatcherWithOpenAttempt(Idempotency.IDEMPOTENT, startedAt);
        for (int attempt = 0; attempt < 40; attempt++) {
            dispatcher.endAttempt(1, attempt, 1, AttemptOutcome.NOT_SENT, false);
            assertEquals(List.of("send 1 1"), dispatcher.takeActions());
        }
        assertEquals(List.of(), dispatcher.module.ejectedEngines());
        dispatcher.endAttempt(1, 40, 1, AttemptOutcome.OK, true);
    }

    /**
     * The charge to a slow start budget is refunded once, only if certainly nothing was written,
     * and not to the budget of a later start of the engine.
     */
    @ParameterizedTest
    @EnumSource(AttemptOutcome.class)
    void refundsTheChargeWhenNothingWasWritten(AttemptOutcome outcome) {
        boolean isUnwritten =
                outcome == AttemptOutcome.NOT_SENT || outcome == AttemptOutcome.UNREACHABLE;
        assertEquals(isUnwritten ? 0 : -2, creditAfter(outcome, false));
        assertEquals(-2, creditAfter(outcome, true));
    }

    private static double creditAfter(AttemptOutcome outcome, boolean isRestarted) {
        EngineState engine = new EngineState(new EngineId(1));
        engine.applyListing(
                RecordingDispatcher.listing(1, EngineStage.READY, 100), new EngineKind("k", 10, 0));
        engine.slowStart().restart(100);
        QueryRequest request =
                new QueryRequest(FIRST_REQUEST, 0, 0, 104, 0, 0, Double.NaN, 0, false);
        ClassStatistics statistics = new ClassStatistics(queryClass(Idempotency.IDEMPOTENT, false));
        PendingRequest pending = new PendingRequest(request, statistics, 100, 0, false, 0);
        Attempt attempt = new Attempt(pending, engine, 101, 0, 1, 2);
        attempt.begin();
        assertEquals(-2, engine.slowStart().credit());
        engine.slowStart().restart(isRestarted ? 101 : 100);
        attempt.end(outcome);
        return engine.slowStart().credit();
    }

    /** An outcome that is reported twice has no effect the second time. */
    @Test
    void ignoresASecondOutcomeOfAnAttempt() {
        RecordingDispatcher dispatcher = dispatcherWithOpenAttempt(Idempotency.IDEMPOTENT, 0);
        dispatcher.endAttempt(1, 0, 1, AttemptOutcome.NOT_SENT, false);
        assertEquals(List.of("send 1 1"), dispatcher.takeActions());
        dispatcher.endAttempt(1, 0, 1, AttemptOutcome.NOT_SENT, false);
        assertEquals(List.of(), dispatcher.takeActions());
        assertTrue(dispatcher.module.attemptMayStart(dispatcher.now, FIRST_REQUEST, 1));
    }
}
