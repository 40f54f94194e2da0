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
    private static final double RESERVE_DEVIATIONS =
            3; // kept free for attempts of other dispatchers
    private static final double MAX_QUERY_WINDOW_SHARE =
            0.5; // of a window's work in a single query
    private static final double UTILIZATION_AT_CAPACITY =
            0.85; // share of cores that are busy at capacity

    private final ServiceGuarantees guarantees;
    private final TrafficShareEstimator trafficEstimator;
    private final LatencyEstimator latencyEstimator;

    SlowStartBudget(
            ServiceGuarantees guarantees,
            TrafficShareEstimator trafficEstimator,
            LatencyEstimator latencyEstimator) {
        this.guarantees = guarantees;
        this.trafficEstimator = trafficEstimator;
        this.latencyEstimator = latencyEstimator;
    }

    /** Returns the share of its capacity that an engine has so many seconds after its start. */
    double capacityShare(double ageSeconds) {
        double progress =
                ageSeconds >= guarantees.slowStartSeconds()
                        ? 1
                        : Math.max(0, ageSeconds / guarantees.slowStartSeconds());
        return guarantees.slowStartInitialCapacity()
                + (1 - guarantees.slowStartInitialCapacity()) * progress;
    }

    /** Returns the work a second that all dispatchers together may send to so many cores. */
    double workPerSecond(double ageSeconds, double cores) {
        return guarantees.overloadMultiple()
                * capacityShare(ageSeconds)
                * cores
                * UTILIZATION_AT_CAPACITY
                * SAFETY_FACTOR;
    }

    /**
     * Returns true if a query is small enough. The reserve for chance assumes many attempts, and
     * one query of more than a window's work would exceed it alone. What is usual for its class may
     * always run, so that no class is shut out; the latency objective bounds what passes for usual.
     */
    boolean allowsSize(PendingRequest request, double ageSeconds, EngineState engine) {
        double usualWork =
                Math.min(
                        latencyEstimator.usualWork(request.classStatistics()),
                        request.queryClass().latencyObjectiveSeconds()
                                * request.queryClass().threads());
        double maxWork =
                workPerSecond(ageSeconds, engine.cores())
                        * guarantees.overloadWindowSeconds()
                        * MAX_QUERY_WINDOW_SHARE;
        return latencyEstimator.work(request) <= Math.max(usualWork, maxWork);
    }

    /**
     * Returns work plus a reserve for chance: few heavy attempts vary more than many light ones.
     */
    double computeCharge(double work, double ageSeconds, EngineState engine) {
        double windowWork =
                workPerSecond(ageSeconds, engine.cores()) * guarantees.overloadWindowSeconds();
        double relativeDeviation =
                RESERVE_DEVIATIONS
                        * (1 - trafficEstimator.ownShare())
                        * Math.sqrt(work / windowWork);
        double usableShare =
                (Math.sqrt(relativeDeviation * relativeDeviation + 4) - relativeDeviation) / 2;
        return work / (usableShare * usableShare);
    }
}
