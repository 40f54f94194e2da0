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

/** What many dispatchers do together to engines of 10 cores; each knows only its own part. */
class OverloadedFleetTest {
    static final int DISPATCHERS = 14;
    static final double WORK_SECONDS = 0.3;
    private static final double CONGESTED_SECONDS = WORK_SECONDS * 5;
    private static final long NEW = 99;

    private static List<SimulatedDispatcher> fleet(LoadMetric told, int engines) {
        List<SimulatedDispatcher> fleet = new ArrayList<>();
        for (int i = 0; i < DISPATCHERS; i++) {
            fleet.add(new SimulatedDispatcher(i, told, engines));
        }
        return fleet;
    }

    @Test
    void limitsAttemptsWhenTheFleetIsCongested() {
        long sent = 0;
        for (SimulatedDispatcher simulated : fleet(LoadMetric.BUSY, 12)) {
            simulated.serve(15, e -> CONGESTED_SECONDS, e -> 0.4);
            simulated.ask(100, e -> CONGESTED_SECONDS);
            sent += simulated.out.size();
        }
        assertTrue(sent > 72, "they still get work, 0.6 threads a core: " + sent);
        assertTrue(sent <= 120 * 2.2, "threads out on 120 cores: " + sent);
    }

    @Test
    void admitsABurstWhenEnginesAreIdle() {
        SimulatedDispatcher simulated = fleet(LoadMetric.BUSY, 12).get(0);
        simulated.serve(15, e -> WORK_SECONDS, e -> 0.1);
        assertEquals(
                40,
                simulated.ask(40, e -> WORK_SECONDS).size(),
                "far over our part, which others leave free");
    }

    /** In a jam the engine that thrashes most tells of the least busy cores. */
    @Test
    void doesNotCrowdAnEngineWithIdleCoresDuringCongestion() {
        long crowd = 0;
        long all = 0;
        for (SimulatedDispatcher simulated : fleet(LoadMetric.BUSY, 12)) {
            simulated.serve(10, e -> CONGESTED_SECONDS, e -> 0.6);
            int before = simulated.sentTo.size();
            simulated.serve(20, e -> CONGESTED_SECONDS, e -> e == 1 ? 0 : 0.6);
            List<Long> then = simulated.sentTo.subList(before, simulated.sentTo.size());
            crowd += then.stream().filter(e -> e == 1).count();
            all += then.size();
        }
        assertTrue(crowd < all / 6, crowd + " of " + all + " to one of 12");
    }

    /**
     * What outlives its cutoff because all do is not started anew: that would crowd the fleet more.
     */
    @Test
    void restartsLessWhenTheFleetIsCongested() {
        SimulatedDispatcher quick = fleet(LoadMetric.BUSY, 12).get(0);
        SimulatedDispatcher jammed = fleet(LoadMetric.BUSY, 12).get(0);
        quick.serve(15, e -> WORK_SECONDS * 1.2, e -> 0.5);
        jammed.serve(15, e -> WORK_SECONDS * 6, e -> 0.5);
        long before = jammed.cancels;
        quick.ask(1, e -> 60);
        quick.run(3, e -> 60, e -> 0.5);
        jammed.ask(1, e -> 60);
        jammed.run(3, e -> 60, e -> 0.5);
        assertEquals(1, quick.cancels);
        assertEquals(before, jammed.cancels, "at a time that most need in the jam");
    }

    /** One slow answer of a quick fleet is chance, and its engine's idle cores are believed. */
    @Test
    void choosesAnEngineWithIdleCoresWithoutCongestion() {
        long chosen = 0;
        for (SimulatedDispatcher simulated : fleet(LoadMetric.BUSY, 3)) {
            simulated.serve(10, e -> WORK_SECONDS, e -> 0.8);
            simulated.ask(8, e -> e == 1 ? CONGESTED_SECONDS : WORK_SECONDS);
            simulated.run(CONGESTED_SECONDS + 0.1, e -> WORK_SECONDS, e -> e == 1 ? 0 : 0.8);
            chosen += simulated.ask(1, e -> WORK_SECONDS).get(0) == 1 ? 1 : 0;
        }
        assertTrue(chosen > DISPATCHERS / 2, "chosen by " + chosen);
    }

    /**
     * A first try that the less loaded back tier has no room for does not wait while the front has.
     */
    @Test
    void sendsFirstAttemptsToTheFrontTierWhenTheBackTierIsFull() {
        long asked = 0;
        long atOnce = 0;
        for (SimulatedDispatcher simulated : fleet(LoadMetric.IN_FLIGHT, 12)) {
            ToDoubleFunction<Long> latency = e -> e >= 10 ? WORK_SECONDS * 2 : WORK_SECONDS * 6;
            ToDoubleFunction<Long> inHand = e -> e >= 10 ? 24 : 10;
            simulated.serve(15, latency, inHand);
            for (int i = 0; i < 8; i++) {
                asked++;
                atOnce += simulated.ask(1, latency).size();
                simulated.run(0.5, latency, inHand);
            }
        }
        assertTrue(
                atOnce > asked * 0.8,
                atOnce + " of " + asked + ", which fit by chance into our part");
    }

    @Test
    void treatsAnEngineThatRejectsAsFull() {
        SimulatedDispatcher simulated = fleet(LoadMetric.BUSY, 1).get(0);
        simulated.ask(1, e -> WORK_SECONDS);
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
                simulated.dispatcher.take().stream().filter(a -> a.startsWith("send")).toList());
    }

    @Test
    void ignoresAttemptsAtDrainingEnginesInTheLimit() {
        SimulatedDispatcher simulated = fleet(LoadMetric.BUSY, 4).get(0);
        simulated.serve(15, e -> WORK_SECONDS, e -> 0.1);
        assertEquals(20, simulated.ask(20, e -> 30).size());
        for (long e = 1; e <= 3; e++) {
            simulated.list(e, EngineStage.DRAINING, 0);
        }
        assertTrue(simulated.ask(10, e -> 30).size() > 0, "the last one has room");
    }

    /**
     * All are so full that nobody's guess of a new one leaves room: it must not be guessed alike.
     */
    @Test
    void usesANewEngineWhenAllOthersAreFull() {
        long sent = 0;
        for (SimulatedDispatcher simulated : fleet(LoadMetric.IN_FLIGHT, 4)) {
            simulated.serve(5, e -> WORK_SECONDS, e -> 60);
            simulated.list(NEW, EngineStage.READY, simulated.dispatcher.now);
            simulated.ask(1, e -> 30);
            simulated.run(3, e -> 30, e -> 60);
            sent += simulated.sentTo.stream().filter(e -> e == NEW).count();
        }
        assertTrue(sent > 3, "sent by all " + sent);
    }

    /** Once its last word is old, a cold engine is taken to have as much less as it bears less. */
    @Test
    void assumesLessExternalLoadOnAWarmingEngine() {
        long sent = 0;
        for (SimulatedDispatcher simulated : fleet(LoadMetric.IN_FLIGHT, 4)) {
            simulated.serve(5, e -> WORK_SECONDS, e -> 14);
            simulated.list(NEW, EngineStage.READY, simulated.dispatcher.now);
            simulated.run(0.1, e -> WORK_SECONDS, e -> 14);
            simulated.dispatcher.module.probeCompleted(
                    simulated.dispatcher.now,
                    new EngineId(NEW),
                    AttemptOutcome.OK,
                    0,
                    new float[] {0});
            simulated.serve(4, e -> WORK_SECONDS, e -> e == NEW ? 0 : 14);
            simulated.dispatcher.run(1);
            int before = simulated.sentTo.size();
            simulated.serve(1, e -> WORK_SECONDS, e -> e == NEW ? 0 : 14);
            sent +=
                    simulated.sentTo.subList(before, simulated.sentTo.size()).stream()
                            .filter(e -> e == NEW)
                            .count();
        }
        assertTrue(sent > DISPATCHERS, "sent by all " + sent);
    }

    /**
     * All hear of a new engine at once while the others are full: it is used, and not pushed over.
     */
    @Test
    void useANewEngineTogetherWithinItsSlowStartBudget() {
        ServiceGuarantees g = RecordingDispatcher.GUARANTEES;
        List<Double> sentAt = new ArrayList<>();
        for (SimulatedDispatcher simulated : fleet(LoadMetric.BUSY, 4)) {
            simulated.serve(15, e -> CONGESTED_SECONDS, e -> 1);
            double start = simulated.dispatcher.now;
            simulated.list(NEW, EngineStage.READY, start);
            for (int i = 0; i < 80; i++) {
                simulated.ask(1, e -> e == NEW ? WORK_SECONDS : CONGESTED_SECONDS);
                simulated.run(
                        0.075,
                        e -> e == NEW ? WORK_SECONDS : CONGESTED_SECONDS,
                        e -> e == NEW ? 0.3 : 1);
            }
            for (int i = 0; i < simulated.sentTo.size(); i++) {
                if (simulated.sentTo.get(i) == NEW) {
                    sentAt.add(simulated.sentAt.get(i) - start);
                }
            }
        }
        long soon = sentAt.stream().filter(t -> t < 3).count();
        assertTrue(
                soon * WORK_SECONDS > 0.3 * g.slowStartInitialCapacity() * 10 * 3,
                "left idle, sent " + soon);
        for (double from = 0; from < 6; from += 0.1) {
            double at = from;
            double work =
                    sentAt.stream()
                                    .filter(t -> t >= at && t < at + g.overloadWindowSeconds())
                                    .count()
                            * WORK_SECONDS;
            double most =
                    g.overloadMultiple()
                            * g.slowStartInitialCapacity()
                            * 10
                            * g.overloadWindowSeconds();
            assertTrue(work <= most, "work " + work + " of " + most + " from " + from);
        }
    }
}
