package junipercourse.decision.admission;

import junipercourse.decision.api.QueryClass;
import junipercourse.decision.estimation.LatencyEstimator;
import junipercourse.decision.state.ClassStatistics;
import junipercourse.decision.state.DispatchState;
import junipercourse.decision.state.PendingRequest;

/**
 * Orders the waiting requests: by weight for each second of work, higher for a class of which
 * little was started, and lower once the latency objective is missed.
 */
final class RequestPriority {
    private static final double FAIRNESS_EXPONENT = 3; // of the started share of a class
    private static final double FAIRNESS_PRIOR = 2; // requests that count as arrived and started
    private static final double RESTART_FACTOR = 4; // the work of a restart was partly paid for

    private final DispatchState state;
    private final LatencyEstimator latency;

    RequestPriority(DispatchState state, LatencyEstimator latency) {
        this.state = state;
        this.latency = latency;
    }

    /** Returns the priority of a request; the highest is served first. */
    double priority(double now, PendingRequest request) {
        QueryClass queryClass = request.queryClass();
        double weight =
                queryClass.priorityWeight()
                        * (request.isOverQuota() ? state.settings().overQuotaWeight() : 1);
        if (latency.missesObjective(now, request)) {
            weight *= queryClass.lateAnswerWeight();
        }
        double weightPerWork = weight / (latency.expectedLatency(request) * queryClass.threads());
        return weightPerWork
                / Math.pow(startedShare(request.classStatistics()), FAIRNESS_EXPONENT)
                * (request.isRestarting() ? RESTART_FACTOR : 1);
    }

    private static double startedShare(ClassStatistics statistics) {
        return (statistics.startedWithinQuota() + FAIRNESS_PRIOR)
                / (statistics.arrivalsWithinQuota() + FAIRNESS_PRIOR);
    }
}
