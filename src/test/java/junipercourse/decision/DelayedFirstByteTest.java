package junipercourse.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import junipercourse.decision.api.AttemptOutcome;
import junipercourse.decision.api.AttemptResult;
import junipercourse.decision.api.DecisionSettings;
import junipercourse.decision.api.DeduplicationScope;
import junipercourse.decision.api.EndpointUpdateKind;
import junipercourse.decision.api.EngineId;
import junipercourse.decision.api.EngineListing;
import junipercourse.decision.api.EngineStage;
import junipercourse.decision.api.Idempotency;
import junipercourse.decision.api.QueryClass;
import junipercourse.decision.api.QueryRequest;
import junipercourse.decision.api.RequestId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks the dispatch rules when the first byte of an attempt is written long after the decision to
 * send it.
 */
class DelayedFirstByteTest {
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

    private static DecisionSettings settings() {
        return RecordingDispatcher.settings(
                RecordingDispatcher.GUARANTEES,
                false,
                queryClass(Idempotency.IDEMPOTENT, false),
                queryClass(Idempotency.IDEMPOTENT_WITH_KEY, false),
                queryClass(Idempotency.NOT_IDEMPOTENT, true));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void keepsAllRulesWhenFirstBytesAreDelayed(long seed) {
        Random random = new Random(seed);
        RuleChecker checker = new RuleChecker(settings());
        DelayedFirstBytes delayed = new DelayedFirstBytes(checker, random);
        TagsDispatcher module = new TagsDispatcher(checker.settings, seed, delayed);
        checker.now = 1000;
        List<EngineListing> listings = new ArrayList<>();
        for (int i = 1; i <= 8; i++) {
            listings.add(RecordingDispatcher.listing(i, EngineStage.READY, 0));
        }
        listings.forEach(listing -> checker.engines.put(listing.id(), listing));
        module.endpointsChanged(checker.now, EndpointUpdateKind.FULL, listings);
        long id = 0;
        for (int step = 0; step < 3000; step++) {
            checker.now += 0.005;
            if (random.nextInt(3) == 0) {
                int classIndex = random.nextInt(3);
                QueryRequest request =
                        new QueryRequest(
                                new RequestId(++id),
                                classIndex,
                                0,
                                checker.now + random.nextDouble() * 4,
                                classIndex == 2 ? 1 + random.nextInt(40) : 0,
                                0,
                                Double.NaN,
                                0,
                                false);
                checker.recordRequest(request);
                module.requestReceived(checker.now, request);
            }
            delayed.writeFirstBytes(module);
            endSomeAttempts(random, checker, module);
            if (step % 40 == 39) {
                EngineStage stage =
                        random.nextInt(3) == 0 ? EngineStage.DRAINING : EngineStage.READY;
                boolean isRestart = stage == EngineStage.READY && random.nextInt(4) == 0;
                EngineId engineId = new EngineId(1 + random.nextInt(8));
                EngineListing listing =
                        RecordingDispatcher.listing(
                                engineId.value(),
                                stage,
                                isRestart
                                        ? checker.now
                                        : checker.engines.get(engineId).startedAt());
                checker.engines.put(engineId, listing);
                module.endpointsChanged(checker.now, EndpointUpdateKind.DELTA, List.of(listing));
            }
            module.timerFired(checker.now, 0);
            module.decide(checker.now);
            checker.checkAnswersAreOnTime();
            assertEquals(List.of(), checker.violations, "seed " + seed + " step " + step);
        }
        assertTrue(delayed.notSentCount() > 10, "seed " + seed + ": " + delayed.notSentCount());
        assertTrue(
                checker.requests.values().stream()
                                .filter(tracked -> tracked.attemptCount > 1)
                                .count()
                        > 5,
                "seed " + seed);
    }

    private static void endSomeAttempts(Random random, RuleChecker checker, TagsDispatcher module) {
        AttemptOutcome[] outcomes = {
            AttemptOutcome.OK,
            AttemptOutcome.OK,
            AttemptOutcome.ERROR,
            AttemptOutcome.REJECTED,
            AttemptOutcome.RESET
        };
        for (RuleChecker.TrackedAttempt attempt : List.copyOf(checker.openAttempts)) {
            AttemptOutcome outcome =
                    checker.now >= attempt.request.query.deadlineAt()
                            ? AttemptOutcome.TIMEOUT
                            : attempt.isCancelled
                                    ? AttemptOutcome.CANCELLED
                                    : random.nextInt(30) == 0
                                            ? outcomes[random.nextInt(outcomes.length)]
                                            : null;
            if (outcome != null) {
                boolean isFinished = outcome == AttemptOutcome.OK || attempt.request.isFinished;
                checker.recordOutcome(attempt, outcome, isFinished);
                module.attemptEnded(
                        checker.now,
                        new AttemptResult(
                                attempt.request.query.id(),
                                attempt.index,
                                attempt.engine.id(),
                                outcome,
                                checker.now - attempt.startedAt,
                                isFinished,
                                0,
                                0,
                                new float[0]));
            }
        }
    }
}
