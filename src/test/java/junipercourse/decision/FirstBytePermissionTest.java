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

/** Permission for the first byte of an attempt, and attempts of which nothing was written. */
class FirstBytePermissionTest {
    private static final RequestId FIRST = new RequestId(1);

    private static QueryClass kind(Idempotency effect, boolean serial) {
        return new QueryClass(
                "c",
                effect,
                DeduplicationScope.CELL,
                1.2,
                serial,
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

    private static RecordingDispatcher sent(Idempotency effect, double startedAt) {
        RecordingDispatcher f =
                new RecordingDispatcher(
                        RecordingDispatcher.settings(
                                RecordingDispatcher.GUARANTEES, false, kind(effect, true)));
        f.module.endpointsChanged(
                f.now,
                EndpointUpdateKind.FULL,
                List.of(RecordingDispatcher.engine(1, EngineStage.READY, startedAt)));
        f.request(1, 0, f.now + 4, 5);
        assertEquals(1, f.sentTo());
        assertTrue(f.module.attemptMayStart(f.now, FIRST, 0));
        return f;
    }

    private static void list(RecordingDispatcher f, EngineStage stage, double startedAt) {
        f.module.endpointsChanged(
                f.now,
                EndpointUpdateKind.DELTA,
                List.of(RecordingDispatcher.engine(1, stage, startedAt)));
    }

    @Test
    void checksEachConditionAgain() {
        RecordingDispatcher drained = sent(Idempotency.IDEMPOTENT, 0);
        list(drained, EngineStage.DRAINING, 0);
        assertFalse(drained.module.attemptMayStart(drained.now, FIRST, 0));
        RecordingDispatcher gone = sent(Idempotency.IDEMPOTENT, 0);
        list(gone, EngineStage.GONE, 0);
        assertFalse(gone.module.attemptMayStart(gone.now, FIRST, 0));
        RecordingDispatcher restarted =
                sent(Idempotency.IDEMPOTENT, 0); // granted when warm, and cold now
        list(restarted, EngineStage.READY, restarted.now);
        assertFalse(restarted.module.attemptMayStart(restarted.now, FIRST, 0));
        RecordingDispatcher left = sent(Idempotency.IDEMPOTENT, 0);
        left.module.requestAbandoned(left.now, FIRST);
        assertFalse(left.module.attemptMayStart(left.now, FIRST, 0));
        RecordingDispatcher late = sent(Idempotency.IDEMPOTENT, 0);
        assertTrue(late.module.attemptMayStart(late.now + 3.9, FIRST, 0));
        assertFalse(late.module.attemptMayStart(late.now + 3.97, FIRST, 0));
        assertFalse(late.module.attemptMayStart(late.now, FIRST, 1), "no such attempt");
        RecordingDispatcher same = sent(Idempotency.IDEMPOTENT, 95); // cold, and told of once more
        list(same, EngineStage.READY, 95);
        assertTrue(same.module.attemptMayStart(same.now, FIRST, 0));
    }

    /**
     * A repeat is inside the window when its first byte leaves; what is unsafe to repeat is sent
     * once.
     */
    @Test
    void permitsRepeatsByTheirClassOnly() {
        RecordingDispatcher keyed = sent(Idempotency.IDEMPOTENT_WITH_KEY, 0);
        keyed.end(1, 0, 1, AttemptOutcome.ERROR, false);
        assertEquals(1, keyed.sentTo());
        assertTrue(keyed.module.attemptMayStart(keyed.now + 1.1, FIRST, 1));
        assertFalse(keyed.module.attemptMayStart(keyed.now + 1.2, FIRST, 1));
        RecordingDispatcher once = sent(Idempotency.NOT_IDEMPOTENT, 0);
        once.end(1, 0, 1, AttemptOutcome.NOT_SENT, false);
        assertEquals(1, once.sentTo());
        assertTrue(once.module.attemptMayStart(once.now + 3, FIRST, 1));
        once.end(1, 1, 1, AttemptOutcome.ERROR, false);
        assertEquals(List.of("fail 1"), once.take());
        assertFalse(once.module.attemptMayStart(once.now, FIRST, 1));
    }

    /**
     * The next of a key has no turn before the first is over, and needs no rest after one that
     * never ran.
     */
    @Test
    void startsNextRequestOfAKeyAfterOneThatWasNotSent() {
        RecordingDispatcher f = sent(Idempotency.NOT_IDEMPOTENT, 0);
        f.request(2, 0, f.now + 4, 5);
        f.module.requestAbandoned(f.now, FIRST);
        f.module.decide(f.now);
        assertEquals(List.of("cancel 1 0"), f.take());
        f.end(1, 0, 1, AttemptOutcome.NOT_SENT, true);
        assertEquals(List.of("send 2 1"), f.take());
        assertTrue(f.module.attemptMayStart(f.now, new RequestId(2), 0));
    }

    /**
     * Attempts of which nothing was written count against no limit, engine or cold engine's budget.
     */
    @ParameterizedTest
    @ValueSource(doubles = {0, 99.9})
    void countsAttemptsThatWereNotSentAgainstNothing(double startedAt) {
        RecordingDispatcher f = sent(Idempotency.IDEMPOTENT, startedAt);
        for (int attempt = 0; attempt < 40; attempt++) {
            f.end(1, attempt, 1, AttemptOutcome.NOT_SENT, false);
            assertEquals(List.of("send 1 1"), f.take());
        }
        assertEquals(List.of(), f.module.ejectedEngines());
        f.end(1, 40, 1, AttemptOutcome.OK, true);
    }

    /**
     * A charge comes back once, for what was surely not written, and not to another life's budget.
     */
    @ParameterizedTest
    @EnumSource(AttemptOutcome.class)
    void refundsTheChargeOfAttemptsThatWereNotWritten(AttemptOutcome outcome) {
        boolean unwritten =
                outcome == AttemptOutcome.NOT_SENT || outcome == AttemptOutcome.UNREACHABLE;
        assertEquals(unwritten ? 0 : -2, creditAfter(outcome, false));
        assertEquals(-2, creditAfter(outcome, true));
    }

    private static double creditAfter(AttemptOutcome outcome, boolean startedAgain) {
        EngineState engine = new EngineState(new EngineId(1));
        engine.applyListing(
                RecordingDispatcher.engine(1, EngineStage.READY, 100), new EngineKind("k", 10, 0));
        engine.slowStart().restart(100);
        QueryRequest request = new QueryRequest(FIRST, 0, 0, 104, 0, 0, Double.NaN, 0, false);
        ClassStatistics statistics = new ClassStatistics(kind(Idempotency.IDEMPOTENT, false));
        PendingRequest pending = new PendingRequest(request, statistics, 100, 0, false, 0);
        Attempt attempt = new Attempt(pending, engine, 101, 0, 1, 2);
        attempt.begin();
        assertEquals(-2, engine.slowStart().credit());
        engine.slowStart().restart(startedAgain ? 101 : 100);
        attempt.end(outcome);
        return engine.slowStart().credit();
    }

    /** An end that is told twice changes nothing the second time. */
    @Test
    void countsTheEndOfAnAttemptOnce() {
        RecordingDispatcher f = sent(Idempotency.IDEMPOTENT, 0);
        f.end(1, 0, 1, AttemptOutcome.NOT_SENT, false);
        assertEquals(List.of("send 1 1"), f.take());
        f.end(1, 0, 1, AttemptOutcome.NOT_SENT, false);
        assertEquals(List.of(), f.take());
        assertTrue(f.module.attemptMayStart(f.now, FIRST, 1));
    }
}
