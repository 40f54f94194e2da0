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
    private static final long NEW_ENGINE = 99;

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
            simulated.serve(15, id -> CONGESTED_SECONDS, id -> 0.4);
            simulated.offer(100, id -> CONGESTED_SECONDS);
            sent += simulated.openAttemptsByAnswerTime.size();
        }
        assertTrue(sent > 72, "too few open attempts, below 0.6 threads a core: " + sent);
        assertTrue(sent <= 120 * 2.2, "threads in use on 120 cores: " + sent);
    }

    @Test
    void admitsABurstWhenEnginesAreIdle() {
        SimulatedDispatcher simulated = newFleet(LoadMetric.BUSY, 12).get(0);
        simulated.serve(15, id -> WORK_SECONDS, id -> 0.1);
        assertEquals(
                40,
                simulated.offer(40, id -> WORK_SECONDS).size(),
                "far above its own share, since others leave theirs unused");
    }

    /** During congestion the engine that thrashes most reports the least busy cores. */
    @Test
    void doesNotOverloadAnEngineThatReportsIdleCoresDuringCongestion() {
        long sentToIdle = 0;
        long sentInTotal = 0;
        for (SimulatedDispatcher simulated : newFleet(LoadMetric.BUSY, 12)) {
            simulated.serve(10, id -> CONGESTED_SECONDS, id -> 0.6);
            int countBefore = simulated.engineIds.size();
            simulated.serve(20, id -> CONGESTED_SECONDS, id -> id == 1 ? 0 : 0.6);
            List<Long> recent =
                    simulated.engineIds.subList(countBefore, simulated.engineIds.size());
            sentToIdle += recent.stream().filter(id -> id == 1).count();
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
        uncongested.serve(15, id -> WORK_SECONDS * 1.2, id -> 0.5);
        congested.serve(15, id -> WORK_SECONDS * 6, id -> 0.5);
        long countBefore = congested.cancelCount;
        uncongested.offer(1, id -> 60);
        uncongested.advance(3, id -> 60, id -> 0.5);
        congested.offer(1, id -> 60);
        congested.advance(3, id -> 60, id -> 0.5);
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
            simulated.serve(10, id -> WORK_SECONDS, id -> 0.8);
            simulated.offer(8, id -> id == 1 ? CONGESTED_SECONDS : WORK_SECONDS);
            simulated.advance(CONGESTED_SECONDS + 0.1, id -> WORK_SECONDS, id -> id == 1 ? 0 : 0.8);
            chosen += simulated.offer(1, id -> WORK_SECONDS).get(0) == 1 ? 1 : 0;
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
            ToDoubleFunction<Long> latency = id -> id >= 10 ? WORK_SECONDS * 2 : WORK_SECONDS * 6;
            ToDoubleFunction<Long> reportedInFlight = id -> id >= 10 ? 24 : 10;
            simulated.serve(15, latency, reportedInFlight);
            for (int i = 0; i < 8; i++) {
                requestCount++;
                sentAtOnce += simulated.offer(1, latency).size();
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
        simulated.offer(1, id -> WORK_SECONDS);
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
        simulated.serve(15, id -> WORK_SECONDS, id -> 0.1);
        assertEquals(20, simulated.offer(20, id -> 30).size());
        for (long id = 1; id <= 3; id++) {
            simulated.updateEngine(id, EngineStage.DRAINING, 0);
        }
        assertTrue(simulated.offer(10, id -> 30).size() > 0, "the last engine has capacity");
    }

    /**
     * All engines are so full that the same estimate for a new engine would leave no capacity: it
     * must be estimated differently.
     */
    @Test
    void usesANewEngineWhenAllOthersAreFull() {
        long sent = 0;
        for (SimulatedDispatcher simulated : newFleet(LoadMetric.IN_FLIGHT, 4)) {
            simulated.serve(5, id -> WORK_SECONDS, id -> 60);
            simulated.updateEngine(NEW_ENGINE, EngineStage.READY, simulated.dispatcher.now);
            simulated.offer(1, id -> 30);
            simulated.advance(3, id -> 30, id -> 60);
            sent += simulated.engineIds.stream().filter(id -> id == NEW_ENGINE).count();
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
            simulated.serve(5, id -> WORK_SECONDS, id -> 14);
            simulated.updateEngine(NEW_ENGINE, EngineStage.READY, simulated.dispatcher.now);
            simulated.advance(0.1, id -> WORK_SECONDS, id -> 14);
            simulated.dispatcher.module.probeCompleted(
                    simulated.dispatcher.now,
                    new EngineId(NEW_ENGINE),
                    AttemptOutcome.OK,
                    0,
                    new float[] {0});
            simulated.serve(4, id -> WORK_SECONDS, id -> id == NEW_ENGINE ? 0 : 14);
            simulated.dispatcher.advance(1);
            int countBefore = simulated.engineIds.size();
            simulated.serve(1, id -> WORK_SECONDS, id -> id == NEW_ENGINE ? 0 : 14);
            sent +=
                    simulated.engineIds.subList(countBefore, simulated.engineIds.size()).stream()
                            .filter(id -> id == NEW_ENGINE)
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
        ServiceGuarantees limits = RecordingDispatcher.GUARANTEES;
        List<Double> sentAt = new ArrayList<>();
        for (SimulatedDispatcher simulated : newFleet(LoadMetric.BUSY, 4)) {
            simulated.serve(15, id -> CONGESTED_SECONDS, id -> 1);
            double listedAt = simulated.dispatcher.now;
            simulated.updateEngine(NEW_ENGINE, EngineStage.READY, listedAt);
            for (int i = 0; i < 80; i++) {
                simulated.offer(1, id -> id == NEW_ENGINE ? WORK_SECONDS : CONGESTED_SECONDS);
                simulated.advance(
                        0.075,
                        id -> id == NEW_ENGINE ? WORK_SECONDS : CONGESTED_SECONDS,
                        id -> id == NEW_ENGINE ? 0.3 : 1);
            }
            for (int i = 0; i < simulated.engineIds.size(); i++) {
                if (simulated.engineIds.get(i) == NEW_ENGINE) {
                    sentAt.add(simulated.sendTimes.get(i) - listedAt);
                }
            }
        }
        long sentInFirstWindow = sentAt.stream().filter(time -> time < 3).count();
        assertTrue(
                sentInFirstWindow * WORK_SECONDS > 0.3 * limits.slowStartInitialCapacity() * 10 * 3,
                "left idle, attempts sent: " + sentInFirstWindow);
        for (double start = 0; start < 6; start += 0.1) {
            double windowStart = start;
            double work =
                    sentAt.stream()
                                    .filter(
                                            time ->
                                                    time >= windowStart
                                                            && time
                                                                    < windowStart
                                                                            + limits
                                                                                    .overloadWindowSeconds())
                                    .count()
                            * WORK_SECONDS;
            double maxWork =
                    limits.overloadMultiple()
                            * limits.slowStartInitialCapacity()
                            * 10
                            * limits.overloadWindowSeconds();
            assertTrue(work <= maxWork, "work " + work + " of " + maxWork + " from " + start);
        }
    }
}
