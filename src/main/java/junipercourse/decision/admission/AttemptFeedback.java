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

/** Learns from the end of each attempt about its class, its engine and the fleet. */
public final class AttemptFeedback {
    private static final double MIN_LATENCY_SECONDS = 1e-4;

    private final Estimators estimators;
    private final SlowStartController slowStart;
    private final LoadEstimator load;
    private final OutlierDetector outliers;
    private final MemoryGrants grants;
    private final CutoffController cutoffs;

    AttemptFeedback(
            Estimators estimators,
            SlowStartController slowStart,
            LoadEstimator load,
            OutlierDetector outliers,
            MemoryGrants grants,
            CutoffController cutoffs) {
        this.estimators = estimators;
        this.slowStart = slowStart;
        this.load = load;
        this.outliers = outliers;
        this.grants = grants;
        this.cutoffs = cutoffs;
    }

    /** Takes in the end of an attempt; one that was never sent teaches nothing. */
    public void recordResult(double now, Attempt attempt, AttemptResult result) {
        AttemptOutcome outcome = result.outcome();
        if (outcome == AttemptOutcome.NOT_SENT) {
            return;
        }
        recordWorkload(now, attempt);
        double latency = Math.max(now - attempt.sentAt(), MIN_LATENCY_SECONDS);
        boolean answered = outcome == AttemptOutcome.OK;
        if (answered) {
            recordAnswer(now, attempt, result, latency);
        }
        if (!outcome.neverRan() && !attempt.engine().health().isEjected()) {
            double work = answered ? attempt.request().query().costEstimate() : 0;
            recordCongestion(now, attempt, work);
        }
        boolean cutOff = attempt.isCancelled() || outcome == AttemptOutcome.TIMEOUT;
        if (answered || cutOff && latency > attempt.expectedLatency()) {
            recordLatency(attempt, latency, answered);
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

    private void recordAnswer(double now, Attempt attempt, AttemptResult result, double latency) {
        EngineState engine = attempt.engine();
        engine.health().recordAnswer(now);
        grants.recordAnswer(attempt, result);
        PendingRequest request = attempt.request();
        ClassStatistics statistics = request.classStatistics();
        double bounded = // a single bad plan among few samples is no tail
                Math.min(latency, attempt.expectedLatency() * DecisionDefaults.MAX_LATENCY_RATIO);
        statistics.attemptLatency().add(bounded);
        if (request.isRestarting()) {
            statistics.restartLatency().add(bounded);
        }
        double logSlowdown = Math.log(latency / request.unloadedLatency());
        if (statistics.logSlowdown().isKnown()) {
            double most =
                    statistics.logSlowdown().value() + Math.log(DecisionDefaults.MAX_LATENCY_RATIO);
            logSlowdown = Math.min(logSlowdown, most);
        }
        statistics.logSlowdown().add(logSlowdown);
        outliers.reinstate(engine, ReinstatementReason.ANSWERED);
    }

    private void recordLatency(Attempt attempt, double latency, boolean answered) {
        estimators.speed().record(attempt.engine(), latency / attempt.expectedLatency());
        if (!attempt.isOnFrontTier() && !answered) {
            return;
        }
        PendingRequest request = attempt.request();
        LatencyEstimator latencies = estimators.latency();
        double projected =
                answered
                        ? 0
                        : Math.min(attempt.projectedLatency(), latencies.cutoffSeconds(request));
        double multiple =
                Math.max(latency, projected)
                        / latencies.sizeFactor(request)
                        / LatencyEstimator.lowestCutoff(request.queryClass());
        cutoffs.recordLatency(request.classStatistics(), multiple, !answered);
    }

    private void recordFault(double now, Attempt attempt, AttemptOutcome outcome) {
        EngineState engine = attempt.engine();
        switch (outcome) {
            case UNREACHABLE, RESET -> {
                if (outliers.recordReset(now, engine)) {
                    if (outcome == AttemptOutcome.UNREACHABLE) {
                        slowStart.startSlowStart(engine, now);
                    }
                    outliers.eject(now, engine, EjectionReason.DEAD);
                }
            }
            case ERROR -> outliers.recordError(now, attempt.request(), engine);
            case REJECTED -> load.recordFull(now, engine);
            default -> {}
        }
    }

    /** Counts an attempt that has run for so long that it must not block all others. */
    void recordOverlong(double now, Attempt attempt) {
        recordCongestion(now, attempt, 0);
        attempt.markOverlong();
    }

    /** Of an overlong attempt, only the time until it was found to be so counts. */
    private void recordCongestion(double now, Attempt attempt, double work) {
        PendingRequest request = attempt.request();
        if (request.hasCostEstimate()) {
            double threadSeconds =
                    attempt.isOverlong()
                            ? 0
                            : (now - attempt.sentAt()) * request.queryClass().threads();
            estimators.congestion().addAttempt(now, attempt.engine().tier(), threadSeconds, work);
        }
    }

    /**
     * Returns true if an answer was slow in a fleet that is congested; one slow answer of a fast
     * fleet is chance.
     */
    public boolean wasSlowedByCongestion(double now, Attempt attempt) {
        PendingRequest request = attempt.request();
        double latency = now - attempt.sentAt();
        return estimators.congestion().slowdownFactor() > DecisionDefaults.CONGESTED_SLOWDOWN
                && request.hasCostEstimate()
                && latency > DecisionDefaults.CONGESTED_SLOWDOWN * request.unloadedLatency();
    }
}
