package junipercourse.decision.constraints;

import junipercourse.decision.api.ServiceGuarantees;
import junipercourse.decision.estimation.LatencyEstimator;
import junipercourse.decision.estimation.TrafficShareEstimator;
import junipercourse.decision.state.EngineState;
import junipercourse.decision.state.PendingRequest;

/**
 * The work that all dispatchers together may send to an engine that is warming up, and what one
 * attempt is charged for. All figures come from the settings' guarantees.
 */
final class SlowStartBudget {
    private static final double SAFETY_FACTOR = 0.7; // of the budget: work and speed are estimates
    private static final double DEVIATIONS = 3; // kept free for attempts of other dispatchers
    private static final double MAX_WINDOW_SHARE = 0.5; // of a window's work in a single query
    private static final double BUSY_AT_CAPACITY = 0.85; // share of cores that are busy at capacity

    private final ServiceGuarantees guarantees;
    private final TrafficShareEstimator traffic;
    private final LatencyEstimator latency;

    SlowStartBudget(
            ServiceGuarantees guarantees, TrafficShareEstimator traffic, LatencyEstimator latency) {
        this.guarantees = guarantees;
        this.traffic = traffic;
        this.latency = latency;
    }

    /** Returns the share of its capacity that an engine has so many seconds after its start. */
    double capacityShare(double age) {
        double progress =
                age >= guarantees.slowStartSeconds()
                        ? 1
                        : Math.max(0, age / guarantees.slowStartSeconds());
        return guarantees.slowStartInitialCapacity()
                + (1 - guarantees.slowStartInitialCapacity()) * progress;
    }

    /** Returns the work a second that all dispatchers together may send to so many cores. */
    double workPerSecond(double age, double cores) {
        return guarantees.overloadMultiple()
                * capacityShare(age)
                * cores
                * BUSY_AT_CAPACITY
                * SAFETY_FACTOR;
    }

    /**
     * Returns true if a query is small enough. The reserve for chance assumes many attempts, and
     * one query of more than a window's work would exceed it alone. What is usual for its class may
     * always run, so that no class is shut out; the latency objective bounds what passes for usual.
     */
    boolean allowsSize(PendingRequest request, double age, EngineState engine) {
        double usual =
                Math.min(
                        latency.usualWork(request.classStatistics()),
                        request.queryClass().latencyObjectiveSeconds()
                                * request.queryClass().threads());
        double bound =
                workPerSecond(age, engine.cores())
                        * guarantees.overloadWindowSeconds()
                        * MAX_WINDOW_SHARE;
        return latency.work(request) <= Math.max(usual, bound);
    }

    /**
     * Returns work plus a reserve for chance: few heavy attempts vary more than many light ones.
     */
    double charge(double work, double age, EngineState engine) {
        double windowWork = workPerSecond(age, engine.cores()) * guarantees.overloadWindowSeconds();
        double deviation = DEVIATIONS * (1 - traffic.ownShare()) * Math.sqrt(work / windowWork);
        double share = (Math.sqrt(deviation * deviation + 4) - deviation) / 2;
        return work / (share * share);
    }
}
