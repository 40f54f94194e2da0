package junipercourse.decision.admission;

import junipercourse.decision.api.AttemptOutcome;
import junipercourse.decision.api.AttemptResult;
import junipercourse.decision.constraints.SlowStartController;
import junipercourse.decision.estimation.Estimators;
import junipercourse.decision.estimation.LatencyEstimator;
import junipercourse.decision.health.EjectionReason;
import junipercourse.decision.health.OutlierDetector;
import junipercourse.decision.health.ReinstatementReason;
import junipercourse.decision.load.LoadEstimator;
import junipercourse.decision.selection.MemoryGrants;
import junipercourse.decision.state.Attempt;
import junipercourse.decision.state.ClassStatistics;
import junipercourse.decision.state.DecisionDefaults;
import junipercourse.decision.state.EngineState;
import junipercourse.decision.state.PendingRequest;

/**
 * Updates the estimates of the query class, the engine and the fleet from the result of each
 * attempt.
 */
public final class AttemptFeedback {
    private static final double MIN_LATENCY_SECONDS = 1e-4;

    private final Estimators estimators;
    private final SlowStartController slowStartController;
    private final LoadEstimator loadEstimator;
    private final OutlierDetector outlierDetector;
    private final MemoryGrants memoryGrants;
    private final CutoffController cutoffController;

    AttemptFeedback(
            Estimators estimators,
            SlowStartController slowStartController,
            LoadEstimator loadEstimator,
            OutlierDetector outlierDetector,
            MemoryGrants memoryGrants,
            CutoffController cutoffController) {
        this.estimators = estimators;
        this.slowStartController = slowStartController;
        this.loadEstimator = loadEstimator;
        this.outlierDetector = outlierDetector;
        this.memoryGrants = memoryGrants;
        this.cutoffController = cutoffController;
    }

    /** Records the result of an attempt. An attempt that was never sent is ignored. */
    public void recordResult(double now, Attempt attempt, AttemptResult result) {
        AttemptOutcome outcome = result.outcome();
        if (outcome == AttemptOutcome.NOT_SENT) {
            return;
        }
        recordWorkload(now, attempt);
        double latencySeconds = Math.max(now - attempt.sentAt(), MIN_LATENCY_SECONDS);
        boolean isAnswered = outcome == AttemptOutcome.OK;
        if (isAnswered) {
            recordAnswer(now, attempt, result, latencySeconds);
        }
        if (!outcome.neverRan() && !attempt.engine().health().isEjected()) {
            double completedWork = isAnswered ? attempt.request().query().costEstimate() : 0;
            recordCongestion(now, attempt, completedWork);
        }
        boolean wasCutOff = attempt.isCancelled() || outcome == AttemptOutcome.TIMEOUT;
        if (isAnswered || wasCutOff && latencySeconds > attempt.expectedLatency()) {
            recordLatency(now, attempt, latencySeconds, isAnswered);
        }
        recordFault(now, attempt, outcome);
    }

    private void recordWorkload(double now, Attempt attempt) {
        estimators
                .workload()
                .addAttempt(
                        now - attempt.sentAt(),
                        attempt.request().queryClass().threads(),
                        attempt.memoryMb(),
                        DecisionDefaults.SAMPLE_WEIGHT);
    }

    private void recordAnswer(
            double now, Attempt attempt, AttemptResult result, double latencySeconds) {
        EngineState engine = attempt.engine();
        engine.health().recordAnswer(now);
        memoryGrants.recordAnswer(attempt, result);
        PendingRequest request = attempt.request();
        ClassStatistics statistics = request.classStatistics();
        // One bad query plan among few samples is no evidence of a long tail.
        double boundedLatencySeconds =
                Math.min(
                        latencySeconds,
                        attempt.expectedLatency() * DecisionDefaults.MAX_LATENCY_RATIO);
        statistics.attemptLatency().add(boundedLatencySeconds);
        if (request.isRestarting()) {
            statistics.restartLatency().add(boundedLatencySeconds);
        }
        double logSlowdown = Math.log(latencySeconds / request.unloadedLatency());
        if (statistics.logSlowdown().isKnown()) {
            double maxLogSlowdown =
                    statistics.logSlowdown().value() + Math.log(DecisionDefaults.MAX_LATENCY_RATIO);
            logSlowdown = Math.min(logSlowdown, maxLogSlowdown);
        }
        statistics.logSlowdown().add(logSlowdown);
        outlierDetector.reinstate(engine, ReinstatementReason.ANSWERED);
    }

    private void recordLatency(
            double now, Attempt attempt, double latencySeconds, boolean isAnswered) {
        estimators.speed().record(attempt.engine(), latencySeconds / attempt.expectedLatency());
        if (!attempt.isOnFrontTier() && !isAnswered) {
            return;
        }
        PendingRequest request = attempt.request();
        LatencyEstimator latencyEstimator = estimators.latency();
        double projectedSeconds =
                isAnswered
                        ? 0
                        : Math.min(
                                attempt.projectedLatency(),
                                latencyEstimator.cutoffSeconds(now, request));
        double latencyMultiple =
                Math.max(latencySeconds, projectedSeconds)
                        / latencyEstimator.sizeFactor(request)
                        / LatencyEstimator.lowestCutoff(request.queryClass());
        cutoffController.recordLatency(request.classStatistics(), latencyMultiple, !isAnswered);
    }

    private void recordFault(double now, Attempt attempt, AttemptOutcome outcome) {
        EngineState engine = attempt.engine();
        switch (outcome) {
            case UNREACHABLE, RESET -> {
                if (outlierDetector.recordReset(now, engine)) {
                    if (outcome == AttemptOutcome.UNREACHABLE) {
                        slowStartController.startSlowStart(engine, now);
                    }
                    outlierDetector.eject(now, engine, EjectionReason.DEAD);
                }
            }
            case ERROR -> outlierDetector.recordError(now, attempt.request(), engine);
            case REJECTED -> loadEstimator.recordFull(now, engine);
            default -> {}
        }
    }

    /**
     * Records an attempt that runs far longer than expected, so that it no longer blocks the
     * admission of others.
     */
    void recordOverlong(double now, Attempt attempt) {
        recordCongestion(now, attempt, 0);
        attempt.markOverlong();
    }

    /**
     * Records work and thread time of an attempt. An overlong attempt adds no thread time when it
     * ends, since its time was recorded when it became overlong.
     */
    private void recordCongestion(double now, Attempt attempt, double completedWork) {
        PendingRequest request = attempt.request();
        if (request.hasCostEstimate()) {
            double threadSeconds =
                    attempt.isOverlong()
                            ? 0
                            : (now - attempt.sentAt()) * request.queryClass().threads();
            estimators
                    .congestion()
                    .addAttempt(now, attempt.engine().tier(), threadSeconds, completedWork);
        }
    }

    /**
     * Returns true if an answer was slow while the fleet is congested. A slow answer from a fleet
     * that is not congested is treated as random variation.
     */
    public boolean wasSlowedByCongestion(double now, Attempt attempt) {
        PendingRequest request = attempt.request();
        double latencySeconds = now - attempt.sentAt();
        return estimators.congestion().slowdownFactor(now) > DecisionDefaults.CONGESTED_SLOWDOWN
                && request.hasCostEstimate()
                && latencySeconds > DecisionDefaults.CONGESTED_SLOWDOWN * request.unloadedLatency();
    }
}
