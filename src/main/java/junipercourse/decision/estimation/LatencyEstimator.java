package junipercourse.decision.estimation;

import junipercourse.decision.api.QueryClass;
import junipercourse.decision.state.ClassStatistics;
import junipercourse.decision.state.DecisionDefaults;
import junipercourse.decision.state.PendingRequest;
import junipercourse.decision.state.RunningMean;

/** Estimates latency and work of requests, and the times that follow from them. */
public final class LatencyEstimator {
    private static final double UNKNOWN_LATENCY_SHARE = 0.5; // of the objective, before any sample
    private static final double STRETCH_SHARE =
            0.7; // of the expected latency that extends the objective

    private final CongestionEstimator congestion;

    /** Creates an estimator. */
    public LatencyEstimator(CongestionEstimator congestion) {
        this.congestion = congestion;
    }

    /** Returns the seconds that an attempt of a request is expected to take. */
    public double expectedLatency(PendingRequest request) {
        RunningMean logSlowdown = request.classStatistics().logSlowdown();
        if (logSlowdown.isKnown()) {
            return request.unloadedLatency() * Math.exp(logSlowdown.value());
        }
        return request.hasCostEstimate()
                ? request.unloadedLatency()
                : request.queryClass().latencyObjectiveSeconds() * UNKNOWN_LATENCY_SHARE;
    }

    /** Returns how much longer than usual for its class a request is, at least 1. */
    public double sizeFactor(PendingRequest request) {
        RunningMean usual = request.classStatistics().logUnloadedLatency();
        return request.hasCostEstimate() && usual.isKnown()
                ? Math.max(1, request.unloadedLatency() / Math.exp(usual.value()))
                : 1;
    }

    /**
     * Returns the usual work of a class in seconds of one thread. It does not rise while engines
     * are slow, if requests state estimates.
     */
    public double usualWork(ClassStatistics statistics) {
        QueryClass queryClass = statistics.queryClass();
        double latency = statistics.attemptLatency().valueOr(queryClass.latencyObjectiveSeconds());
        return statistics.work().valueOr(latency * queryClass.threads());
    }

    /**
     * Returns the work of a request in seconds of one thread: its own estimate, since the heaviest
     * requests of a class take many times the mean.
     */
    public double work(PendingRequest request) {
        return request.hasCostEstimate()
                ? request.query().costEstimate()
                : usualWork(request.classStatistics());
    }

    /** Returns the time up to which an answer meets the latency objective. */
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

    /** Returns the lowest cutoff of a class: its latency objective, or half of its deadline. */
    public static double lowestCutoff(QueryClass queryClass) {
        return Math.min(queryClass.latencyObjectiveSeconds(), queryClass.deadlineSeconds() / 2);
    }

    /** Returns the seconds after which a first attempt of a request is cancelled and restarted. */
    public double cutoffSeconds(PendingRequest request) {
        return request.classStatistics().cutoff()
                * sizeFactor(request)
                * Math.max(1, congestion.slowdownFactor() / DecisionDefaults.BASELINE_SLOWDOWN);
    }
}
