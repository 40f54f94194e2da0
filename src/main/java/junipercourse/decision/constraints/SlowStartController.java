package junipercourse.decision.constraints;

import junipercourse.decision.estimation.Estimators;
import junipercourse.decision.estimation.LatencyEstimator;
import junipercourse.decision.estimation.TrafficShareEstimator;
import junipercourse.decision.state.DispatchState;
import junipercourse.decision.state.EngineState;
import junipercourse.decision.state.PendingRequest;
import junipercourse.decision.state.SlowStartState;

/**
 * Slow start: limits what is sent to an engine that is warming up by a credit in seconds of work,
 * which is refilled at this dispatcher's share of what the engine can take. The credit starts at a
 * random level below 0, so that dispatchers do not send at the same moment and together send what
 * the engine can take in expectation.
 */
public final class SlowStartController {
    private final DispatchState state;
    private final TrafficShareEstimator traffic;
    private final LatencyEstimator latency;
    private final SlowStartBudget budget;

    SlowStartController(DispatchState state, Estimators estimators) {
        this.state = state;
        this.traffic = estimators.traffic();
        this.latency = estimators.latency();
        this.budget = new SlowStartBudget(state.settings().guarantees(), traffic, latency);
    }

    /** Starts the slow start of an engine that was started or may have been restarted. */
    public void startSlowStart(EngineState engine, double startedAt) {
        SlowStartState slowStart = engine.slowStart();
        slowStart.restart(startedAt);
        double largestWork =
                state.classes().stream().mapToDouble(latency::usualWork).max().orElse(0);
        double largestCharge = budget.charge(largestWork, 0, engine);
        slowStart.setCredit(
                -largestCharge * state.random().nextDouble() * (1 - traffic.ownShare()));
    }

    /** Returns true while an engine is warming up. */
    public boolean isWarmingUp(double now, EngineState engine) {
        return now
                < engine.slowStart().startedAt() + state.settings().guarantees().slowStartSeconds();
    }

    /** Returns the share of its capacity that an engine has, at most 1. */
    public double capacityShare(double now, EngineState engine) {
        return budget.capacityShare(age(now, engine));
    }

    /** Returns what sending a request takes of the credit; 0 once the engine is warm. */
    public double charge(double now, PendingRequest request, EngineState engine) {
        return isWarmingUp(now, engine)
                ? budget.charge(latency.work(request), age(now, engine), engine)
                : 0;
    }

    /** Refills the credit of an engine and returns true if a request may be sent to it. */
    boolean allows(double now, PendingRequest request, EngineState engine) {
        if (!isWarmingUp(now, engine)) {
            return true;
        }
        SlowStartState slowStart = engine.slowStart();
        double age = age(now, engine);
        double refill =
                budget.workPerSecond(age, engine.cores())
                        * (now - slowStart.refilledAt())
                        * traffic.ownShare();
        slowStart.refill(now, refill);
        return slowStart.credit() >= 0 && budget.allowsSize(request, age, engine);
    }

    private static double age(double now, EngineState engine) {
        return now - engine.slowStart().startedAt();
    }
}
