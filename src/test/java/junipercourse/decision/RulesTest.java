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
import junipercourse.decision.api.ServiceGuarantees;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Random but legal sequences of adverse events with all rules enabled, and a check of the checker
 * itself.
 */
class RulesTest {
    private static final AttemptOutcome[] OUTCOMES = {
        AttemptOutcome.OK,
        AttemptOutcome.OK,
        AttemptOutcome.OK,
        AttemptOutcome.ERROR,
        AttemptOutcome.REJECTED,
        AttemptOutcome.UNREACHABLE,
        AttemptOutcome.RESET
    };

    private static DecisionSettings settings() {
        ServiceGuarantees guarantees =
                new ServiceGuarantees(0.02, 0.5, 0.3, 10, 2.5, 3, 1, 10, 2, 0.1, 10);
        return RecordingDispatcher.settings(
                guarantees,
                false,
                queryClass(Idempotency.IDEMPOTENT, false, Set.of()),
                queryClass(Idempotency.IDEMPOTENT_WITH_KEY, false, Set.of()),
                queryClass(Idempotency.NOT_IDEMPOTENT, true, Set.of()),
                queryClass(Idempotency.IDEMPOTENT, true, Set.of(1)));
    }

    private static QueryClass queryClass(
            Idempotency idempotency, boolean orderedByKey, Set<Integer> zones) {
        return new QueryClass(
                "c",
                idempotency,
                DeduplicationScope.CELL,
                3,
                orderedByKey,
                0.5,
                0,
                4,
                1,
                0.5,
                1,
                false,
                false,
                zones,
                Set.of());
    }

    private static QueryRequest request(long id, int queryClass, double deadlineAt, long key) {
        return new QueryRequest(
                new RequestId(id), queryClass, 0, deadlineAt, key, 0, Double.NaN, 0, false);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void keepsAllRulesWhenEventsAreAdverse(long seed) {
        Random random = new Random(seed);
        RuleChecker checker = new RuleChecker(settings());
        TagsDispatcher module = new TagsDispatcher(checker.settings, seed, checker);
        checker.now = 1000;
        List<EngineListing> listings = new ArrayList<>();
        for (int i = 1; i <= 8; i++) {
            listings.add(
                    RecordingDispatcher.listing(i, EngineStage.READY, i == 5 ? checker.now : 0));
        }
        listings.forEach(listing -> checker.engines.put(listing.id(), listing));
        module.endpointsChanged(checker.now, EndpointUpdateKind.CACHED, listings);
        long id = 0;
        for (int step = 0; step < 4000; step++) {
            checker.now += 0.005;
            for (int remaining = random.nextInt(4); remaining > 1; remaining--) {
                int classIndex = random.nextInt(4);
                long key = classIndex >= 2 ? 1 + random.nextInt(40) : 0;
                QueryRequest request =
                        request(++id, classIndex, checker.now + random.nextDouble() * 4, key);
                checker.recordRequest(request);
                module.requestReceived(checker.now, request);
            }
            endSomeAttempts(random, checker, module);
            if (step % 400 == 399) {
                changeRandomEngine(random, checker, module);
            }
            if (step % 5 == 0) {
                module.timerFired(checker.now, 0);
            }
            module.decide(checker.now);
            checker.checkAnswersAreOnTime();
            assertEquals(List.of(), checker.violations);
        }
        assertTrue(
                checker.requests.values().stream()
                                .filter(tracked -> tracked.attemptCount > 1)
                                .count()
                        > 5);
    }

    private static void endSomeAttempts(Random random, RuleChecker checker, TagsDispatcher module) {
        for (RuleChecker.TrackedAttempt attempt : List.copyOf(checker.openAttempts)) {
            AttemptOutcome outcome = null;
            if (checker.now >= attempt.request.query.deadlineAt()) {
                outcome = AttemptOutcome.TIMEOUT;
            } else if (attempt.isCancelled) {
                outcome = random.nextInt(4) == 0 ? AttemptOutcome.CANCELLED : null;
            } else if (random.nextInt(60) == 0) {
                outcome = OUTCOMES[random.nextInt(OUTCOMES.length)];
            }
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

    private static void changeRandomEngine(
            Random random, RuleChecker checker, TagsDispatcher module) {
        int id = 1 + random.nextInt(8);
        EngineStage stage = random.nextInt(3) == 0 ? EngineStage.READY : EngineStage.DRAINING;
        EngineListing listing =
                RecordingDispatcher.listing(
                        id, stage, stage == EngineStage.READY ? checker.now : 0);
        checker.engines.put(listing.id(), listing);
        module.endpointsChanged(checker.now, EndpointUpdateKind.DELTA, List.of(listing));
    }

    /**
     * Returns a checker with engines that are ready (1, 2), draining (3) and warming up (4) and one
     * request of each class.
     */
    private static RuleChecker newCheckerWithFourEngines() {
        RuleChecker checker = new RuleChecker(settings());
        checker.now = 1000;
        for (int i = 1; i <= 4; i++) {
            EngineListing listing =
                    RecordingDispatcher.listing(
                            i,
                            i == 3 ? EngineStage.DRAINING : EngineStage.READY,
                            i == 4 ? 1000 : 0);
            checker.engines.put(listing.id(), listing);
        }
        for (int i = 0; i < 4; i++) {
            checker.recordRequest(request(i, i, 1004, i >= 2 ? 9 : 0));
        }
        return checker;
    }

    private static void startAttempt(RuleChecker checker, long id, long engine) {
        checker.startAttempt(new RequestId(id), new EngineId(engine), 0);
    }

    @Test
    void reportsAViolationOfEachRule() {
        RuleChecker unanswered = newCheckerWithFourEngines();
        unanswered.now = 1005;
        unanswered.checkAnswersAreOnTime();
        assertTrue(unanswered.violations.contains("1 unanswered 0"));
        RuleChecker repeated = newCheckerWithFourEngines();
        startAttempt(repeated, 2, 1);
        repeated.recordOutcome(repeated.openAttempts.get(0), AttemptOutcome.RESET, false);
        startAttempt(repeated, 2, 1);
        assertTrue(repeated.violations.contains("2 repeated, not idempotent 2"));
        RuleChecker otherCell = newCheckerWithFourEngines();
        startAttempt(otherCell, 1, 1);
        otherCell.recordOutcome(otherCell.openAttempts.get(0), AttemptOutcome.ERROR, false);
        startAttempt(otherCell, 1, 2);
        assertTrue(otherCell.violations.contains("2 repeated outside cell or window 1"));
        RuleChecker draining = newCheckerWithFourEngines();
        startAttempt(draining, 0, 3);
        assertEquals(List.of("3 engine not ready 0"), draining.violations);
        RuleChecker warmingUp = newCheckerWithFourEngines();
        for (int i = 10; i < 100; i++) {
            warmingUp.recordRequest(request(i, 0, 1004, 0));
            startAttempt(warmingUp, i, 4);
        }
        assertEquals("4 slow start budget 85", warmingUp.violations.get(0));
        RuleChecker outOfOrder = newCheckerWithFourEngines();
        startAttempt(outOfOrder, 3, 1);
        assertEquals(List.of("5 key order 3"), outOfOrder.violations);
        RuleChecker misplaced = newCheckerWithFourEngines();
        startAttempt(misplaced, 2, 1);
        misplaced.recordOutcome(misplaced.openAttempts.get(0), AttemptOutcome.OK, true);
        startAttempt(misplaced, 3, 2);
        assertEquals(List.of("6 placement 3"), misplaced.violations);
        RuleChecker retries = newCheckerWithFourEngines();
        for (int i = 0; i < 4; i++) {
            startAttempt(retries, 0, 1);
            retries.recordOutcome(retries.openAttempts.get(0), AttemptOutcome.REJECTED, false);
        }
        assertEquals(List.of("7 retry budget 0"), retries.violations);
    }
}
