package junipercourse.decision.constraints;

import junipercourse.decision.estimation.Estimators;
import junipercourse.decision.estimation.LatencyEstimator;
import junipercourse.decision.estimation.TrafficShareEstimator;
import junipercourse.decision.state.DispatchState;
import junipercourse.decision.state.EngineState;
import junipercourse.decision.state.PendingRequest;
import junipercourse.decision.state.SlowStartState;

/**
 * Limits the work sent to an engine that is warming up by a credit in seconds of work. The credit
 * is refilled at this dispatcher's share of the engine's slow-start budget. It starts at a random
 * value below 0, so that dispatchers do not all send at the same time, and so that their expected
 * total stays within the budget.
 */
public final class SlowStartController {
    private final DispatchState state;
    private final TrafficShareEstimator trafficEstimator;
    private final LatencyEstimator latencyEstimator;
    private final SlowStartBudget budget;

    SlowStartController(DispatchState state, Estimators estimators) {
        this.state = state;
        this.trafficEstimator = estimators.traffic();
        this.latencyEstimator = estimators.latency();
        this.budget =
                new SlowStartBudget(
                        state.settings().guarantees(), trafficEstimator, latencyEstimator);
    }

    /**
     * Starts the slow start of an engine that was started or may have been restarted, with a random
     * credit.
     */
    public void startSlowStart(EngineState engine, double startedAt) {
        SlowStartState slowStart = engine.slowStart();
        slowStart.restart(startedAt);
        double largestWork =
                state.classes().stream().mapToDouble(latencyEstimator::usualWork).max().orElse(0);
        double largestCharge = budget.computeCharge(largestWork, 0, engine);
        slowStart.setCredit(
                -largestCharge * state.random().nextDouble() * (1 - trafficEstimator.ownShare()));
    }

    /** Returns true while an engine is warming up. */
    public boolean isWarmingUp(double now, EngineState engine) {
        return now
                < engine.slowStart().startedAt() + state.settings().guarantees().slowStartSeconds();
    }

    /** Returns the share of its full capacity that an engine has, at most 1. */
    public double capacityShare(double now, EngineState engine) {
        return budget.capacityShare(ageSeconds(now, engine));
    }

    /**
     * Returns the credit that sending a request to an engine costs, or 0 if the engine is not
     * warming up.
     */
    public double computeCharge(double now, PendingRequest request, EngineState engine) {
        return isWarmingUp(now, engine)
                ? budget.computeCharge(
                        latencyEstimator.work(request), ageSeconds(now, engine), engine)
                : 0;
    }

    /** Refills the credit of an engine, and returns true if a request may be sent to it. */
    boolean allows(double now, PendingRequest request, EngineState engine) {
        if (!isWarmingUp(now, engine)) {
            return true;
        }
        SlowStartState slowStart = engine.slowStart();
        double ageSeconds = ageSeconds(now, engine);
        double refillWork =
                budget.workPerSecond(ageSeconds, engine.cores())
                        * (now - slowStart.refilledAt())
                        * trafficEstimator.ownShare();
        slowStart.refill(now, refillWork);
        return slowStart.credit() >= 0 && budget.allowsSize(request, ageSeconds, engine);
    }

    private static double ageSeconds(double now, EngineState engine) {
        return now - engine.slowStart().startedAt();
    }
}
