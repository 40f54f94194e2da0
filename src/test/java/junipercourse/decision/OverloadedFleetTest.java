package junipercourse.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToDoubleFunction;
import junipercourse.decision.api.AttemptOutcome;
import junipercourse.decision.api.AttemptResult;
import junipercourse.decision.api.EngineId;
import junipercourse.decision.api.EngineStage;
import junipercourse.decision.api.LoadMetric;
import junipercourse.decision.api.RequestId;
import junipercourse.decision.api.ServiceGuarantees;
import org.junit.jupiter.api.Test;

/**
 * Combined behaviour of many dispatchers, each of which knows only its own attempts, on engines of
 * 10 cores.
 */
class OverloadedFleetTest {
    static final int DISPATCHERS = 14;
    static final double WORK_SECONDS = 0.3;
    private static final double CONGESTED_SECONDS = WORK_SECONDS * 5;
    private static final long NEW_ENGINE_ID = 99;

    private static List<SimulatedDispatcher> newFleet(LoadMetric loadMetric, int engineCount) {
        List<SimulatedDispatcher> fleet = new ArrayList<>();
        for (int i = 0; i < DISPATCHERS; i++) {
            fleet.add(new SimulatedDispatcher(i, loadMetric, engineCount));
        }
        return fleet;
    }

    @Test
    void limitsAttemptsWhenTheFleetIsCongested() {
        long sent = 0;
        for (SimulatedDispatcher simulated : newFleet(LoadMetric.BUSY, 12)) {
            simulated.serveSteadyLoad(15, engineId -> CONGESTED_SECONDS, engineId -> 0.4);
            simulated.sendRequests(100, engineId -> CONGESTED_SECONDS);
            sent += simulated.openAttemptsByAnswerTime.size();
        }
        assertTrue(sent > 72, "too few open attempts, below 0.6 threads a core: " + sent);
        assertTrue(sent <= 120 * 2.2, "threads in use on 120 cores: " + sent);
    }

    @Test
    void admitsABurstWhenEnginesAreIdle() {
        SimulatedDispatcher simulated = newFleet(LoadMetric.BUSY, 12).get(0);
        simulated.serveSteadyLoad(15, engineId -> WORK_SECONDS, engineId -> 0.1);
        assertEquals(
                40,
                simulated.sendRequests(40, engineId -> WORK_SECONDS).size(),
                "far above its own share, since others leave theirs unused");
    }

    /** During congestion the engine that thrashes most reports the least busy cores. */
    @Test
    void doesNotOverloadAnEngineThatReportsIdleCoresDuringCongestion() {
        long sentToIdle = 0;
        long sentInTotal = 0;
        for (SimulatedDispatcher simulated : newFleet(LoadMetric.BUSY, 12)) {
            simulated.serveSteadyLoad(10, engineId -> CONGESTED_SECONDS, engineId -> 0.6);
            int countBefore = simulated.sentEngineIds.size();
            simulated.serveSteadyLoad(
                    20, engineId -> CONGESTED_SECONDS, engineId -> engineId == 1 ? 0 : 0.6);
            List<Long> recent =
                    simulated.sentEngineIds.subList(countBefore, simulated.sentEngineIds.size());
            sentToIdle += recent.stream().filter(engineId -> engineId == 1).count();
            sentInTotal += recent.size();
        }
        assertTrue(
                sentToIdle < sentInTotal / 6,
                sentToIdle + " of " + sentInTotal + " sent to one engine of 12");
    }

    /**
     * An attempt that passes its cutoff because all attempts are slow is not restarted, since that
     * would add to the congestion.
     */
    @Test
    void restartsLessWhenTheFleetIsCongested() {
        SimulatedDispatcher uncongested = newFleet(LoadMetric.BUSY, 12).get(0);
        SimulatedDispatcher congested = newFleet(LoadMetric.BUSY, 12).get(0);
        uncongested.serveSteadyLoad(15, engineId -> WORK_SECONDS * 1.2, engineId -> 0.5);
        congested.serveSteadyLoad(15, engineId -> WORK_SECONDS * 6, engineId -> 0.5);
        long countBefore = congested.cancelCount;
        uncongested.sendRequests(1, engineId -> 60);
        uncongested.advance(3, engineId -> 60, engineId -> 0.5);
        congested.sendRequests(1, engineId -> 60);
        congested.advance(3, engineId -> 60, engineId -> 0.5);
        assertEquals(1, uncongested.cancelCount);
        assertEquals(
                countBefore,
                congested.cancelCount,
                "cancelled at an age that is usual during congestion");
    }

    /**
     * One slow answer of a fast fleet is chance, so the idle cores that its engine reports count.
     */
    @Test
    void choosesAnEngineWithIdleCoresWithoutCongestion() {
        long chosen = 0;
        for (SimulatedDispatcher simulated : newFleet(LoadMetric.BUSY, 3)) {
            simulated.serveSteadyLoad(10, engineId -> WORK_SECONDS, engineId -> 0.8);
            simulated.sendRequests(8, engineId -> engineId == 1 ? CONGESTED_SECONDS : WORK_SECONDS);
            simulated.advance(
                    CONGESTED_SECONDS + 0.1,
                    engineId -> WORK_SECONDS,
                    engineId -> engineId == 1 ? 0 : 0.8);
            chosen += simulated.sendRequests(1, engineId -> WORK_SECONDS).get(0) == 1 ? 1 : 0;
        }
        assertTrue(chosen > DISPATCHERS / 2, "number of dispatchers that chose it: " + chosen);
    }

    /**
     * A first attempt for which the less loaded back tier has no capacity does not wait while the
     * front tier has some.
     */
    @Test
    void sendsFirstAttemptsToTheFrontTierWhenTheBackTierIsFull() {
        long requestCount = 0;
        long sentAtOnce = 0;
        for (SimulatedDispatcher simulated : newFleet(LoadMetric.IN_FLIGHT, 12)) {
            ToDoubleFunction<Long> latency =
                    engineId -> engineId >= 10 ? WORK_SECONDS * 2 : WORK_SECONDS * 6;
            ToDoubleFunction<Long> reportedInFlight = engineId -> engineId >= 10 ? 24 : 10;
            simulated.serveSteadyLoad(15, latency, reportedInFlight);
            for (int i = 0; i < 8; i++) {
                requestCount++;
                sentAtOnce += simulated.sendRequests(1, latency).size();
                simulated.advance(0.5, latency, reportedInFlight);
            }
        }
        assertTrue(
                sentAtOnce > requestCount * 0.8,
                sentAtOnce
                        + " of "
                        + requestCount
                        + " sent at once, within the share of a dispatcher by chance");
    }

    @Test
    void treatsAnEngineThatRejectsAsFull() {
        SimulatedDispatcher simulated = newFleet(LoadMetric.BUSY, 1).get(0);
        simulated.sendRequests(1, engineId -> WORK_SECONDS);
        simulated.dispatcher.module.attemptEnded(
                simulated.dispatcher.now,
                new AttemptResult(
                        new RequestId(1),
                        0,
                        new EngineId(1),
                        AttemptOutcome.REJECTED,
                        0,
                        false,
                        0,
                        0,
                        new float[] {0.1f}));
        simulated.dispatcher.module.decide(simulated.dispatcher.now);
        assertEquals(
                List.of(),
                simulated.dispatcher.takeActions().stream()
                        .filter(action -> action.startsWith("send"))
                        .toList());
    }

    @Test
    void ignoresAttemptsAtDrainingEnginesInTheLimit() {
        SimulatedDispatcher simulated = newFleet(LoadMetric.BUSY, 4).get(0);
        simulated.serveSteadyLoad(15, engineId -> WORK_SECONDS, engineId -> 0.1);
        assertEquals(20, simulated.sendRequests(20, engineId -> 30).size());
        for (long engineId = 1; engineId <= 3; engineId++) {
            simulated.updateEngine(engineId, EngineStage.DRAINING, 0);
        }
        assertTrue(
                simulated.sendRequests(10, engineId -> 30).size() > 0,
                "the last engine has capacity");
    }

    /**
     * All engines are so full that the same estimate for a new engine would leave no capacity: it
     * must be estimated differently.
     */
    @Test
    void usesANewEngineWhenAllOthersAreFull() {
        long sent = 0;
        for (SimulatedDispatcher simulated : newFleet(LoadMetric.IN_FLIGHT, 4)) {
            simulated.serveSteadyLoad(5, engineId -> WORK_SECONDS, engineId -> 60);
            simulated.updateEngine(NEW_ENGINE_ID, EngineStage.READY, simulated.dispatcher.now);
            simulated.sendRequests(1, engineId -> 30);
            simulated.advance(3, engineId -> 30, engineId -> 60);
            sent +=
                    simulated.sentEngineIds.stream()
                            .filter(engineId -> engineId == NEW_ENGINE_ID)
                            .count();
        }
        assertTrue(sent > 3, "sent by all dispatchers: " + sent);
    }

    /**
     * Once its last report is old, a warming engine is assumed to have less external load in
     * proportion to its lower capacity.
     */
    @Test
    void assumesLessExternalLoadOnAWarmingEngine() {
        long sent = 0;
        for (SimulatedDispatcher simulated : newFleet(LoadMetric.IN_FLIGHT, 4)) {
            simulated.serveSteadyLoad(5, engineId -> WORK_SECONDS, engineId -> 14);
            simulated.updateEngine(NEW_ENGINE_ID, EngineStage.READY, simulated.dispatcher.now);
            simulated.advance(0.1, engineId -> WORK_SECONDS, engineId -> 14);
            simulated.dispatcher.module.probeCompleted(
                    simulated.dispatcher.now,
                    new EngineId(NEW_ENGINE_ID),
                    AttemptOutcome.OK,
                    0,
                    new float[] {0});
            simulated.serveSteadyLoad(
                    4, engineId -> WORK_SECONDS, engineId -> engineId == NEW_ENGINE_ID ? 0 : 14);
            simulated.dispatcher.advance(1);
            int countBefore = simulated.sentEngineIds.size();
            simulated.serveSteadyLoad(
                    1, engineId -> WORK_SECONDS, engineId -> engineId == NEW_ENGINE_ID ? 0 : 14);
            sent +=
                    simulated
                            .sentEngineIds
                            .subList(countBefore, simulated.sentEngineIds.size())
                            .stream()
                            .filter(engineId -> engineId == NEW_ENGINE_ID)
                            .count();
        }
        assertTrue(sent > DISPATCHERS, "sent by all dispatchers: " + sent);
    }

    /**
     * All dispatchers learn of a new engine at the same time while the others are full: it is used
     * and not overloaded.
     */
    @Test
    void usesANewEngineWithinItsSlowStartBudgetAcrossDispatchers() {
        ServiceGuarantees guarantees = RecordingDispatcher.GUARANTEES;
        List<Double> sentAt = new ArrayList<>();
        for (SimulatedDispatcher simulated : newFleet(LoadMetric.BUSY, 4)) {
            simulated.serveSteadyLoad(15, engineId -> CONGESTED_SECONDS, engineId -> 1);
            double listedAt = simulated.dispatcher.now;
            simulated.updateEngine(NEW_ENGINE_ID, EngineStage.READY, listedAt);
            for (int i = 0; i < 80; i++) {
                simulated.sendRequests(
                        1,
                        engineId -> engineId == NEW_ENGINE_ID ? WORK_SECONDS : CONGESTED_SECONDS);
                simulated.advance(
                        0.075,
                        engineId -> engineId == NEW_ENGINE_ID ? WORK_SECONDS : CONGESTED_SECONDS,
                        engineId -> engineId == NEW_ENGINE_ID ? 0.3 : 1);
            }
            for (int i = 0; i < simulated.sentEngineIds.size(); i++) {
                if (simulated.sentEngineIds.get(i) == NEW_ENGINE_ID) {
                    sentAt.add(simulated.sendTimes.get(i) - listedAt);
                }
            }
        }
        long sentInFirstWindow = sentAt.stream().filter(time -> time < 3).count();
        assertTrue(
                sentInFirstWindow * WORK_SECONDS
                        > 0.3 * guarantees.slowStartInitialCapacity() * 10 * 3,
                "left idle, attempts sent: " + sentInFirstWindow);
        for (double start = 0; start < 6; start += 0.1) {
            double windowStart = start;
            double workSeconds =
                    sentAt.stream()
                                    .filter(
                                            time ->
                                                    time >= windowStart
                                                            && time
                                                                    < windowStart
                                                                            + guarantees
                                                                                    .overloadWindowSeconds())
                                    .count()
                            * WORK_SECONDS;
            double maxWorkSeconds =
                    guarantees.overloadMultiple()
                            * guarantees.slowStartInitialCapacity()
                            * 10
                            * guarantees.overloadWindowSeconds();
            assertTrue(
                    workSeconds <= maxWorkSeconds,
                    "work " + workSeconds + " of " + maxWorkSeconds + " from " + start);
        }
    }
}
