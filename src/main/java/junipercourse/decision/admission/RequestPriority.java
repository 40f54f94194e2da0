package junipercourse.decision.admission;

import junipercourse.decision.api.QueryClass;
import junipercourse.decision.estimation.LatencyEstimator;
import junipercourse.decision.state.ClassStatistics;
import junipercourse.decision.state.DispatchState;
import junipercourse.decision.state.PendingRequest;

/**
 * Computes the priority of waiting requests: their weight per second of work. It is higher for
 * classes of which a small share has been started, and lower once the latency objective is missed.
 */
final class RequestPriority {
    private static final double FAIRNESS_EXPONENT = 3; // applied to the started share of a class
    private static final double FAIRNESS_PRIOR_REQUESTS = 2; // added to arrivals and starts
    // Engines have already spent part of the work of a restart.
    private static final double RESTART_PRIORITY_FACTOR = 4;

    private final DispatchState state;
    private final LatencyEstimator latencyEstimator;

    RequestPriority(DispatchState state, LatencyEstimator latencyEstimator) {
        this.state = state;
        this.latencyEstimator = latencyEstimator;
    }

    /**
     * Returns the priority of a request. The request with the highest priority is started first.
     */
    double computePriority(double now, PendingRequest request) {
        QueryClass queryClass = request.queryClass();
        double weight =
                queryClass.priorityWeight()
                        * (request.isOverQuota() ? state.settings().overQuotaWeight() : 1);
        if (latencyEstimator.missesObjective(now, request)) {
            weight *= queryClass.lateAnswerWeight();
        }
        double weightPerWork =
                weight / (latencyEstimator.expectedLatency(request) * queryClass.threads());
        return weightPerWork
                / Math.pow(startedShare(request.classStatistics()), FAIRNESS_EXPONENT)
                * (request.isRestarting() ? RESTART_PRIORITY_FACTOR : 1);
    }

    private static double startedShare(ClassStatistics statistics) {
        return (statistics.startedWithinQuota() + FAIRNESS_PRIOR_REQUESTS)
                / (statistics.arrivalsWithinQuota() + FAIRNESS_PRIOR_REQUESTS);
    }
}
