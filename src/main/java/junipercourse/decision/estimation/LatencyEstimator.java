package junipercourse.decision.estimation;

import junipercourse.decision.api.QueryClass;
import junipercourse.decision.state.ClassStatistics;
import junipercourse.decision.state.DecisionDefaults;
import junipercourse.decision.state.PendingRequest;
import junipercourse.decision.state.RunningMean;

/**
 * Estimates the latency and work of requests, and derives cutoffs and objective deadlines from
 * them.
 */
public final class LatencyEstimator {
    // Share of the latency objective that is expected before the first sample.
    private static final double UNKNOWN_LATENCY_SHARE = 0.5;
    // Share of the expected latency that extends the latency objective.
    private static final double STRETCH_SHARE = 0.7;

    private final CongestionEstimator congestion;

    /** Creates an estimator. */
    public LatencyEstimator(CongestionEstimator congestion) {
        this.congestion = congestion;
    }

    /**
     * Returns the expected latency of an attempt of a request, in seconds: its own estimate times
     * the slowdown of its class. Estimates of other requests may be wrong by any factor and so is
     * the slowdown then, but not the latency that attempts of the class had.
     */
    public double expectedLatency(PendingRequest request) {
        RunningMean logSlowdown = request.classStatistics().logSlowdown();
        if (logSlowdown.isKnown()) {
            return Math.min(
                    request.unloadedLatency() * Math.exp(logSlowdown.value()),
                    highestLatency(request));
        }
        return request.hasCostEstimate()
                ? request.unloadedLatency()
                : request.queryClass().latencyObjectiveSeconds() * UNKNOWN_LATENCY_SHARE;
    }

    /** Returns what a request of its size may take, by the latency of the attempts answered. */
    private double highestLatency(PendingRequest request) {
        return request.classStatistics().attemptLatency().valueOr(Double.POSITIVE_INFINITY)
                * sizeFactor(request)
                * DecisionDefaults.MAX_LATENCY_RATIO;
    }

    /**
     * Returns the estimated size of a request relative to the geometric mean of its class, at least
     * 1.
     */
    public double sizeFactor(PendingRequest request) {
        RunningMean classMean = request.classStatistics().logUnloadedLatency();
        return request.hasCostEstimate() && classMean.isKnown()
                ? Math.max(1, request.unloadedLatency() / Math.exp(classMean.value()))
                : 1;
    }

    /**
     * Returns the mean work of a class in seconds of one thread. If requests carry estimates, it
     * does not rise while engines are slow.
     */
    public double usualWork(ClassStatistics statistics) {
        QueryClass queryClass = statistics.queryClass();
        double latency = statistics.attemptLatency().valueOr(queryClass.latencyObjectiveSeconds());
        return statistics.work().valueOr(latency * queryClass.threads());
    }

    /**
     * Returns the work of a request in seconds of one thread. Its own estimate has precedence over
     * the mean of the class, since the heaviest requests take many times the mean.
     */
    public double work(PendingRequest request) {
        return request.hasCostEstimate()
                ? request.query().costEstimate()
                : usualWork(request.classStatistics());
    }

    /** Returns the time until which an answer meets the latency objective. */
    public double objectiveDeadlineAt(PendingRequest request) {
        QueryClass queryClass = request.queryClass();
        return request.receivedAt()
                + queryClass.latencyObjectiveSeconds()
                + queryClass.latencyObjectiveStretch() * expectedLatency(request) * STRETCH_SHARE;
    }

    /** Returns true if an attempt that starts now would miss the latency objective. */
    public boolean missesObjective(double now, PendingRequest request) {
        return now + expectedLatency(request) > objectiveDeadlineAt(request);
    }

    /**
     * Returns the lowest possible cutoff of a class in seconds: its latency objective, but at most
     * half of its deadline.
     */
    public static double lowestCutoff(QueryClass queryClass) {
        return Math.min(queryClass.latencyObjectiveSeconds(), queryClass.deadlineSeconds() / 2);
    }

    /**
     * Returns the seconds after which the first attempt of a request is cancelled and restarted:
     * the cutoff of its class, scaled by the size of the request and by congestion.
     */
    public double cutoffSeconds(double now, PendingRequest request) {
        return request.classStatistics().cutoff()
                * sizeFactor(request)
                * Math.max(1, congestion.slowdownFactor(now) / DecisionDefaults.BASELINE_SLOWDOWN);
    }
}
