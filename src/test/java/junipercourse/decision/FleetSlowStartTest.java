package junipercourse.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import junipercourse.decision.SlowStartSimulation.Scenario;
import junipercourse.decision.api.AttemptOutcome;
import junipercourse.decision.api.EndpointUpdateKind;
import junipercourse.decision.api.EngineStage;
import junipercourse.decision.api.Idempotency;
import junipercourse.decision.api.QueryRequest;
import junipercourse.decision.api.RequestId;
import org.junit.jupiter.api.Test;

/**
 * The slow start rule (4) over all dispatchers together: simulated days of fixed seeds, and how one
 * dispatcher keeps the budget.
 */
class FleetSlowStartTest {
    private static final long SEED = 31_000;

    /**
     * Simulates a day, asserts that no start breaks the rule, and returns the mean share of their
     * capacity that cold engines were given; it is 0 where no dispatcher uses them.
     */
    private static double simulateAndReturnUsedShare(
            SlowStartSite site, int dispatchers, Scenario scenario, long seed) {
        List<StartingEngineModel.RampResult> results =
                new SlowStartSimulation(site, dispatchers, scenario, seed).evaluateStarts();
        results.forEach(
                result ->
                        assertTrue(
                                !result.isRuleBroken(),
                                site.name()
                                        + " "
                                        + dispatchers
                                        + " "
                                        + scenario
                                        + " seed "
                                        + seed
                                        + ": "
                                        + result));
        return results.stream()
                .mapToDouble(StartingEngineModel.RampResult::usedCapacityShare)
                .average()
                .orElseThrow();
    }

    @Test
    void keepsColdEnginesWithinTheLimitWithFewDispatchers() {
        double usedShare = 0;
        for (SlowStartSite site :
                List.of(SlowStartSite.MAIN, SlowStartSite.SHORT, SlowStartSite.LONG)) {
            usedShare += simulateAndReturnUsedShare(site, 2, Scenario.REPLACED, SEED);
            usedShare += simulateAndReturnUsedShare(site, 10, Scenario.ZONE_BACK, SEED + 1);
            usedShare += simulateAndReturnUsedShare(site, 5, Scenario.RESTARTED, SEED + 2);
            usedShare += simulateAndReturnUsedShare(site, 2, Scenario.TOLD_AT_ONCE, SEED + 3);
        }
        assertTrue(usedShare > 12 * 0.3, "left idle, sum of used shares: " + usedShare);
    }

    @Test
    void keepsColdEnginesWithinTheLimitWithManyDispatchers() {
        double usedShare =
                simulateAndReturnUsedShare(SlowStartSite.MAIN, 30, Scenario.TOLD_AT_ONCE, SEED + 20)
                        + simulateAndReturnUsedShare(
                                SlowStartSite.SHORT, 30, Scenario.ZONE_BACK, SEED + 21)
                        + simulateAndReturnUsedShare(
                                SlowStartSite.EVEN, 30, Scenario.REPLACED, SEED + 22)
                        + simulateAndReturnUsedShare(
                                SlowStartSite.MAIN, 100, Scenario.ZONE_BACK, SEED + 23);
        assertTrue(usedShare > 4 * 0.1, "left idle, sum of used shares: " + usedShare);
    }

    /**
     * Days on which one query of many times the mean of its class overloaded a cold engine,
     * although all dispatchers knew of it.
     */
    @Test
    void keepsColdEnginesWithinTheLimitWhenAQueryIsFarAboveItsMean() {
        simulateAndReturnUsedShare(SlowStartSite.MAIN, 10, Scenario.ZONE_BACK, 500_005);
        simulateAndReturnUsedShare(SlowStartSite.MAIN, 10, Scenario.TOLD_AT_ONCE, 500_022);
        simulateAndReturnUsedShare(SlowStartSite.MAIN, 10, Scenario.REPLACED, 500_030);
        simulateAndReturnUsedShare(SlowStartSite.MAIN, 2, Scenario.ZONE_BACK, 500_035);
    }

    /**
     * Returns one dispatcher with an engine that has just started and can do 13.4 s of work in its
     * first window.
     */
    private static RecordingDispatcher dispatcherWithColdEngine(
            double objectiveSeconds, int threads) {
        RecordingDispatcher dispatcher =
                new RecordingDispatcher(
                        RecordingDispatcher.settings(
                                RecordingDispatcher.GUARANTEES,
                                false,
                                RecordingDispatcher.queryClass(
                                        Idempotency.IDEMPOTENT, objectiveSeconds, 30, threads)));
        dispatcher.module.endpointsChanged(
                dispatcher.now,
                EndpointUpdateKind.FULL,
                List.of(RecordingDispatcher.listing(1, EngineStage.READY, dispatcher.now)));
        dispatcher.module.decide(dispatcher.now);
        return dispatcher;
    }

    private static void receiveRequest(
            RecordingDispatcher dispatcher, long id, double costEstimate) {
        dispatcher.module.requestReceived(
                dispatcher.now,
                new QueryRequest(
                        new RequestId(id),
                        0,
                        0,
                        dispatcher.now + 30,
                        0,
                        0,
                        costEstimate,
                        0,
                        false));
        dispatcher.module.decide(dispatcher.now);
    }

    private static long takeSendCount(RecordingDispatcher dispatcher) {
        return dispatcher.takeActions().stream()
                .filter(action -> action.startsWith("send"))
                .count();
    }

    /** Its estimate is above the work of a window, and it is the first query on the engine. */
    @Test
    void delaysAHugeQueryUntilTheEngineIsWarm() {
        RecordingDispatcher dispatcher = dispatcherWithColdEngine(1, 1);
        receiveRequest(dispatcher, 1, 20);
        dispatcher.advance(5);
        assertEquals(
                0, takeSendCount(dispatcher), "one query may bring 6.7 s of work at the start");
        receiveRequest(dispatcher, 2, 0.3);
        dispatcher.advance(0.5);
        assertEquals(1, takeSendCount(dispatcher), "other queries are sent before it");
        dispatcher.advance(5);
        assertEquals(1, takeSendCount(dispatcher), "sent once the engine is warm");
    }

    @Test
    void sendsAUsualQueryOfAHeavyClassToAColdEngine() {
        RecordingDispatcher dispatcher = dispatcherWithColdEngine(3, 4);
        receiveRequest(dispatcher, 1, 9);
        assertEquals(1, takeSendCount(dispatcher));
    }

    /**
     * Each query is charged the work that it will do: after a light one another may follow soon.
     */
    @Test
    void chargesAQueryItsOwnEstimate() {
        RecordingDispatcher dispatcher = dispatcherWithColdEngine(1, 1);
        receiveRequest(dispatcher, 1, 0.3);
        receiveRequest(dispatcher, 2, 6);
        dispatcher.advance(0.1);
        assertEquals(
                2, takeSendCount(dispatcher), "0.3 s of work are worth 0.07 s at 4.5 s a second");
        receiveRequest(dispatcher, 3, 0.3);
        dispatcher.advance(1);
        assertEquals(0, takeSendCount(dispatcher), "6 s of work are worth 1.3 s");
        dispatcher.advance(0.5);
        assertEquals(1, takeSendCount(dispatcher));
    }

    /**
     * The charge of an attempt that was never written is refunded, but not twice when its outcome
     * is reported twice.
     */
    @Test
    void refundsTheChargeOnceWhenAnOutcomeIsReportedTwice() {
        RecordingDispatcher dispatcher = dispatcherWithColdEngine(1, 1);
        receiveRequest(dispatcher, 1, 1);
        dispatcher.endAttempt(1, 0, 1, AttemptOutcome.OK, true);
        receiveRequest(dispatcher, 2, 1);
        dispatcher.advance(0.3);
        assertEquals(2, takeSendCount(dispatcher));
        for (long id = 3; id < 8; id++) {
            receiveRequest(dispatcher, id, 1);
        }
        dispatcher.endAttempt(2, 0, 1, AttemptOutcome.UNREACHABLE, false);
        dispatcher.endAttempt(2, 0, 1, AttemptOutcome.UNREACHABLE, false);
        assertTrue(takeSendCount(dispatcher) <= 1, "one refunded charge allows one attempt");
    }
}
