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
 * Evaluates requests when that is due: answers them at their deadline, cancels attempts at their
 * cutoff so that they are restarted on the back tier, and retries attempts that failed.
 */
public final class AttemptSupervisor {
    private static final double WAIT_SHARE = 0.2; // of the time waited, between evaluations
    private static final int MAX_ERRORS = 3; // of one query, at engines that serve others

    private final DispatchState state;
    private final LatencyEstimator latency;
    private final SendConstraints constraints;
    private final EngineSelection selection;
    private final OutlierDetector outliers;
    private final Collaborators collaborators;

    /**
     * The other parts of the life of a request.
     *
     * @param queue requests that wait for an engine
     * @param completion final answers
     * @param cutoffs when first attempts are cancelled
     * @param feedback what attempts teach
     */
    record Collaborators(
            AdmissionQueue queue,
            RequestCompletion completion,
            CutoffController cutoffs,
            AttemptFeedback feedback) {}

    AttemptSupervisor(
            DispatchState state,
            LatencyEstimator latency,
            SendConstraints constraints,
            EngineSelection selection,
            OutlierDetector outliers,
            Collaborators collaborators) {
        this.state = state;
        this.latency = latency;
        this.constraints = constraints;
        this.selection = selection;
        this.outliers = outliers;
        this.collaborators = collaborators;
    }

    /** Makes a new request wait for an engine, unless its time is all but over on arrival. */
    public void admit(double now, PendingRequest request) {
        if (collaborators.completion().isHopeless(now, request)) {
            collaborators.completion().complete(request);
        } else {
            collaborators.queue().enqueue(now, request);
        }
    }

    /** Does for a request what is due now, and schedules its next evaluation. */
    public void evaluate(double now, PendingRequest request) {
        if (request.isResponding()) {
            return;
        }
        boolean answerDue = now >= request.answerDueAt();
        boolean hopeless =
                !request.hasOutstandingAttempts()
                        && collaborators.completion().isHopeless(now, request);
        if (answerDue || hopeless) {
            collaborators.completion().complete(request);
            return;
        }
        Attempt active = request.activeAttempt();
        double nextAt =
                active == null || active.isCancelled()
                        ? evaluateWaiting(now, request)
                        : superviseActive(now, active);
        state.requests().evaluations().schedule(Math.min(request.answerDueAt(), nextAt), request);
    }

    private double evaluateWaiting(double now, PendingRequest request) {
        if (!request.hasOutstandingAttempts()) {
            collaborators.queue().refresh(now, request);
        }
        double pause =
                request.activeAttempt() == null
                        ? pauseAfter(now - request.receivedAt())
                        : DecisionDefaults.SUPERVISION_INTERVAL_SECONDS;
        return now + pause;
    }

    private double superviseActive(double now, Attempt attempt) {
        outliers.checkSilence(now, attempt);
        double age = now - attempt.sentAt();
        double longest = attempt.expectedLatency() * DecisionDefaults.MAX_LATENCY_RATIO;
        if (!attempt.isOverlong() && age > longest) {
            collaborators.feedback().recordOverlong(now, attempt);
        }
        boolean restartDue = isPastCutoff(now, attempt) || OutlierDetector.isHanging(attempt);
        if (restartDue && mayRestart(now, attempt)) {
            collaborators.completion().cancel(attempt);
            attempt.request().markRestarting();
        }
        double nextSupervision = now + DecisionDefaults.SUPERVISION_INTERVAL_SECONDS;
        double cutoffAt =
                attempt.isOnFrontTier() && !restartDue
                        ? attempt.sentAt() + latency.cutoffSeconds(attempt.request())
                        : nextSupervision;
        return Math.max(now + pauseAfter(age), Math.min(cutoffAt, nextSupervision));
    }

    /** Requests that are ordered by key have no cutoff: a restart would block those behind them. */
    private boolean isPastCutoff(double now, Attempt attempt) {
        return attempt.isOnFrontTier()
                && !attempt.request().queryClass().orderedByKey()
                && collaborators.cutoffs().exceedsCutoff(now, attempt);
    }

    /** Seconds until the next evaluation; more after a long wait, since then many wait. */
    private static double pauseAfter(double waited) {
        return Math.max(
                DecisionDefaults.RETRY_INTERVAL_SECONDS,
                Math.min(DecisionDefaults.SUPERVISION_INTERVAL_SECONDS, WAIT_SHARE * waited));
    }

    private boolean mayRestart(double now, Attempt attempt) {
        PendingRequest request = attempt.request();
        if (!state.settings().limits().cancellationAllowed()
                || !isRestartAllowed(now, request)
                || !hasTimeForRestart(now, attempt)) {
            return false;
        }
        selection.sampler().sampleForRestart(request);
        return request.candidateEngines().stream()
                .anyMatch(engine -> canRestartAt(now, attempt, engine));
    }

    private boolean isRestartAllowed(double now, PendingRequest request) {
        return request.queryClass().idempotency() != Idempotency.NOT_IDEMPOTENT
                && !constraints.attemptsExhausted(request)
                && constraints.retryBudgetAllows(now, request);
    }

    private boolean hasTimeForRestart(double now, Attempt attempt) {
        PendingRequest request = attempt.request();
        if (now + latency.expectedLatency(request) > request.answerDueAt()) {
            return false;
        }
        double deduplicatedUntil =
                firstExecuted(attempt).sentAt()
                        + request.queryClass().deduplicationWindowSeconds()
                        - DecisionDefaults.RETRY_INTERVAL_SECONDS * 2;
        return !isKeyed(request) || now <= deduplicatedUntil;
    }

    private boolean canRestartAt(double now, Attempt attempt, EngineState engine) {
        PendingRequest request = attempt.request();
        boolean suitableTier = engine.tier() == Tier.BACK || OutlierDetector.isHanging(attempt);
        return engine != attempt.engine()
                && suitableTier
                && (!isKeyed(request)
                        || SendConstraints.sharesDeduplication(firstExecuted(attempt), engine))
                && engine.isReady()
                && !engine.health().isEjected()
                && constraints.slowStartAllows(now, request, engine)
                && selection.capacity().fits(now, request, engine, true);
    }

    private static boolean isKeyed(PendingRequest request) {
        return request.queryClass().idempotency() == Idempotency.IDEMPOTENT_WITH_KEY;
    }

    private static Attempt firstExecuted(Attempt attempt) {
        Attempt first = attempt.request().firstExecutedAttempt();
        return first == null ? attempt : first;
    }

    /** After an attempt without an answer: retries where constraints and time allow it. */
    public void retryOrComplete(double now, Attempt ended, AttemptOutcome outcome) {
        PendingRequest request = ended.request();
        request.setPreviousEngine(ended.engine());
        if (ended.isOnFrontTier() && outcome == AttemptOutcome.TIMEOUT) {
            request.markRestarting(); // the cutoff was the attempt's own timeout
        }
        boolean retry =
                collaborators.completion().hasTimeForRetry(now, request)
                        && outcome != AttemptOutcome.OBSOLETE
                        && isRetryAllowed(now, request)
                        && request.faults().errors() < MAX_ERRORS;
        if (retry) {
            collaborators.queue().enqueue(now, request);
        } else {
            collaborators.completion().complete(request);
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
