package junipercourse.decision.constraints;

import junipercourse.decision.api.ServiceGuarantees;
import junipercourse.decision.estimation.LatencyEstimator;
import junipercourse.decision.estimation.TrafficShareEstimator;
import junipercourse.decision.state.EngineState;
import junipercourse.decision.state.PendingRequest;

/**
 * Computes the work that all dispatchers together may send to an engine that is warming up, and the
 * charge of one attempt. All limits are derived from the guarantees in the settings.
 */
final class SlowStartBudget {
    private static final double SAFETY_FACTOR = 0.7; // of the budget: work and speed are estimates
    private static final double RESERVE_DEVIATIONS = 3; // reserved for other dispatchers
    private static final double MAX_QUERY_WINDOW_SHARE = 0.5; // of a window's work, per query
    private static final double UTILIZATION_AT_CAPACITY = 0.85; // share of cores busy at capacity

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

    /** Returns the share of its full capacity that an engine has at an age since its start. */
    double capacityShare(double ageSeconds) {
        double progress =
                ageSeconds >= guarantees.slowStartSeconds()
                        ? 1
                        : Math.max(0, ageSeconds / guarantees.slowStartSeconds());
        return guarantees.slowStartInitialCapacity()
                + (1 - guarantees.slowStartInitialCapacity()) * progress;
    }

    /**
     * Returns the work per second that all dispatchers together may send to an engine with a number
     * of cores.
     */
    double workPerSecond(double ageSeconds, double cores) {
        return guarantees.overloadMultiple()
                * capacityShare(ageSeconds)
                * cores
                * UTILIZATION_AT_CAPACITY
                * SAFETY_FACTOR;
    }

    /**
     * Returns true if a query is small enough for an engine that is warming up. The reserve for
     * random variation assumes many attempts, and a single query with more work than a window
     * allows would exceed it. A query that is not larger than usual for its class is always
     * allowed, so that no class is excluded; the usual work is limited by the latency objective.
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
     * Returns the charge for work: the work itself plus a reserve for random variation. The reserve
     * is larger for heavy attempts, since a few heavy attempts vary more than many light ones.
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
