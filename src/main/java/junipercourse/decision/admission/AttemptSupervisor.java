package junipercourse.decision.admission;

import junipercourse.decision.api.AttemptOutcome;
import junipercourse.decision.api.Idempotency;
import junipercourse.decision.constraints.SendConstraints;
import junipercourse.decision.estimation.LatencyEstimator;
import junipercourse.decision.health.OutlierDetector;
import junipercourse.decision.selection.EngineSelection;
import junipercourse.decision.state.Attempt;
import junipercourse.decision.state.DecisionDefaults;
import junipercourse.decision.state.DispatchState;
import junipercourse.decision.state.EngineState;
import junipercourse.decision.state.PendingRequest;
import junipercourse.decision.state.Tier;

/**
 * Evaluates requests at scheduled times: completes them shortly before their deadline, cancels
 * attempts at their cutoff so that they are restarted on the back tier, and retries failed
 * attempts.
 */
public final class AttemptSupervisor {
    private static final double EVALUATION_DELAY_SHARE = 0.2; // of the time elapsed so far
    private static final int MAX_ERRORS_PER_QUERY = 3; // at engines that answer other queries

    private final DispatchState state;
    private final LatencyEstimator latencyEstimator;
    private final SendConstraints constraints;
    private final EngineSelection engineSelection;
    private final OutlierDetector outlierDetector;
    private final Collaborators collaborators;

    /**
     * The other components that handle a request.
     *
     * @param queue holds requests that wait for an engine
     * @param completion gives final answers
     * @param cutoffs decides when first attempts are cancelled
     * @param feedback updates estimates from attempt results
     */
    record Collaborators(
            AdmissionQueue queue,
            RequestCompletion completion,
            CutoffController cutoffs,
            AttemptFeedback feedback) {}

    AttemptSupervisor(
            DispatchState state,
            LatencyEstimator latencyEstimator,
            SendConstraints constraints,
            EngineSelection engineSelection,
            OutlierDetector outlierDetector,
            Collaborators collaborators) {
        this.state = state;
        this.latencyEstimator = latencyEstimator;
        this.constraints = constraints;
        this.engineSelection = engineSelection;
        this.outlierDetector = outlierDetector;
        this.collaborators = collaborators;
    }

    /** Enqueues a new request, or completes it at once if a useful answer is unlikely. */
    public void admit(double now, PendingRequest request) {
        if (collaborators.completion().isUsefulAnswerUnlikely(now, request)) {
            collaborators.completion().completeWithoutResult(request);
        } else {
            collaborators.queue().enqueue(now, request);
        }
    }

    /**
     * Completes a request if its answer is due or a useful answer is unlikely. Otherwise refreshes
     * it in the queue or supervises its active attempt, and schedules the next evaluation.
     */
    public void evaluate(double now, PendingRequest request) {
        if (request.isResponding()) {
            return;
        }
        boolean isAnswerDue = now >= request.answerDueAt();
        boolean isAnswerUnlikely =
                !request.hasOutstandingAttempts()
                        && collaborators.completion().isUsefulAnswerUnlikely(now, request);
        if (isAnswerDue || isAnswerUnlikely) {
            collaborators.completion().completeWithoutResult(request);
            return;
        }
        Attempt activeAttempt = request.activeAttempt();
        double nextEvaluationAt =
                activeAttempt == null || activeAttempt.isCancelled()
                        ? evaluateWaitingRequest(now, request)
                        : superviseActiveAttempt(now, activeAttempt);
        state.requests()
                .evaluations()
                .schedule(Math.min(request.answerDueAt(), nextEvaluationAt), request);
    }

    private double evaluateWaitingRequest(double now, PendingRequest request) {
        if (!request.hasOutstandingAttempts()) {
            collaborators.queue().refresh(now, request);
        }
        double delaySeconds =
                request.activeAttempt() == null
                        ? evaluationDelaySeconds(now - request.receivedAt())
                        : DecisionDefaults.SUPERVISION_INTERVAL_SECONDS;
        return now + delaySeconds;
    }

    private double superviseActiveAttempt(double now, Attempt attempt) {
        outlierDetector.checkSilence(now, attempt);
        double ageSeconds = now - attempt.sentAt();
        double maxLatencySeconds = attempt.expectedLatency() * DecisionDefaults.MAX_LATENCY_RATIO;
        if (!attempt.isOverlong() && ageSeconds > maxLatencySeconds) {
            collaborators.feedback().recordOverlong(now, attempt);
        }
        boolean isRestartDue = isPastCutoff(now, attempt) || OutlierDetector.isHanging(attempt);
        if (isRestartDue && mayRestart(now, attempt)) {
            collaborators.completion().cancel(attempt);
            attempt.request().markRestarting();
        }
        double nextSupervisionAt = now + DecisionDefaults.SUPERVISION_INTERVAL_SECONDS;
        double cutoffAt =
                attempt.isOnFrontTier() && !isRestartDue
                        ? attempt.sentAt() + latencyEstimator.cutoffSeconds(now, attempt.request())
                        : nextSupervisionAt;
        return Math.max(
                now + evaluationDelaySeconds(ageSeconds), Math.min(cutoffAt, nextSupervisionAt));
    }

    /**
     * Returns true if an attempt on the front tier has exceeded its cutoff. Requests ordered by key
     * have no cutoff, since a restart would delay the requests behind them.
     */
    private boolean isPastCutoff(double now, Attempt attempt) {
        return attempt.isOnFrontTier()
                && !attempt.request().queryClass().orderedByKey()
                && collaborators.cutoffs().exceedsCutoff(now, attempt);
    }

    /**
     * Returns the seconds until the next evaluation. The delay grows with the elapsed time, since
     * long waits mean that many requests are waiting.
     */
    private static double evaluationDelaySeconds(double elapsedSeconds) {
        return Math.max(
                DecisionDefaults.RETRY_INTERVAL_SECONDS,
                Math.min(
                        DecisionDefaults.SUPERVISION_INTERVAL_SECONDS,
                        EVALUATION_DELAY_SHARE * elapsedSeconds));
    }

    private boolean mayRestart(double now, Attempt attempt) {
        PendingRequest request = attempt.request();
        if (!state.settings().limits().cancellationAllowed()
                || !isRestartAllowed(now, request)
                || !hasTimeForRestart(now, attempt)) {
            return false;
        }
        engineSelection.sampler().sampleForRestart(request);
        return request.candidateEngines().stream()
                .anyMatch(engine -> canRestartOn(now, attempt, engine));
    }

    private boolean isRestartAllowed(double now, PendingRequest request) {
        return request.queryClass().idempotency() != Idempotency.NOT_IDEMPOTENT
                && !constraints.areAttemptsExhausted(request)
                && constraints.retryBudgetAllows(now, request);
    }

    private boolean hasTimeForRestart(double now, Attempt attempt) {
        PendingRequest request = attempt.request();
        if (now + latencyEstimator.expectedLatency(request) > request.answerDueAt()) {
            return false;
        }
        double deduplicatedUntil =
                firstExecutedAttempt(attempt).sentAt()
                        + request.queryClass().deduplicationWindowSeconds()
                        - DecisionDefaults.RETRY_INTERVAL_SECONDS * 2;
        return !hasIdempotencyKey(request) || now <= deduplicatedUntil;
    }

    private boolean canRestartOn(double now, Attempt attempt, EngineState engine) {
        PendingRequest request = attempt.request();
        boolean isSuitableTier = engine.tier() == Tier.BACK || OutlierDetector.isHanging(attempt);
        return engine != attempt.engine()
                && isSuitableTier
                && (!hasIdempotencyKey(request)
                        || SendConstraints.sharesDeduplication(
                                firstExecutedAttempt(attempt), engine))
                && engine.isReady()
                && !engine.health().isEjected()
                && constraints.slowStartAllows(now, request, engine)
                && engineSelection.capacity().fits(now, request, engine, true);
    }

    private static boolean hasIdempotencyKey(PendingRequest request) {
        return request.queryClass().idempotency() == Idempotency.IDEMPOTENT_WITH_KEY;
    }

    private static Attempt firstExecutedAttempt(Attempt attempt) {
        Attempt firstAttempt = attempt.request().firstExecutedAttempt();
        return firstAttempt == null ? attempt : firstAttempt;
    }

    /**
     * Handles an attempt that ended without an answer: retries the request if constraints and
     * remaining time allow it, and completes it otherwise.
     */
    public void retryOrComplete(double now, Attempt endedAttempt, AttemptOutcome outcome) {
        PendingRequest request = endedAttempt.request();
        request.setPreviousEngine(endedAttempt.engine());
        if (endedAttempt.isOnFrontTier() && outcome == AttemptOutcome.TIMEOUT) {
            request.markRestarting(); // the cutoff was the attempt's own timeout
        }
        boolean shouldRetry =
                collaborators.completion().hasTimeForRetry(now, request)
                        && outcome != AttemptOutcome.OBSOLETE
                        && isRetryAllowed(now, request)
                        && request.faults().errors() < MAX_ERRORS_PER_QUERY;
        if (shouldRetry) {
            collaborators.queue().enqueue(now, request);
        } else {
            collaborators.completion().completeWithoutResult(request);
        }
    }

    private boolean isRetryAllowed(double now, PendingRequest request) {
        return constraints.retryBudgetAllows(now, request)
                && state.engines().all().stream()
                        .anyMatch(
                                engine ->
                                        engine.isReady()
                                                && SendConstraints.placementAllows(request, engine)
                                                && constraints.idempotencyAllows(
                                                        now, request, engine));
    }
}
