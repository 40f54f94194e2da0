package junipercourse.decision.admission;

import junipercourse.decision.api.DeduplicationScope;
import junipercourse.decision.api.Idempotency;
import junipercourse.decision.api.PlatformLimits;
import junipercourse.decision.api.QueryClass;
import junipercourse.decision.estimation.LatencyEstimator;
import junipercourse.decision.state.Attempt;
import junipercourse.decision.state.DispatchState;
import junipercourse.decision.state.PendingRequest;

/** Gives final answers, and decides when a useful answer has become unlikely. */
public final class RequestCompletion {
    // Share of the expected latency that must remain before the answer is due.
    private static final double MIN_REMAINING_LATENCY_SHARE = 0.5;
    // Late answers of a class with less weight than this are not awaited.
    private static final double MIN_LATE_ANSWER_WEIGHT = 0.2;
    // Share of the time from arrival to deadline to wait once the objective is missed.
    private static final double MAX_LATE_WAIT_SHARE = 0.5;

    private final DispatchState state;
    private final LatencyEstimator latencyEstimator;

    RequestCompletion(DispatchState state, LatencyEstimator latencyEstimator) {
        this.state = state;
        this.latencyEstimator = latencyEstimator;
    }

    /**
     * Returns true if the request should be completed without a further attempt: no engine is
     * listed, too little time is left for one, or the answer would be late and worthless.
     */
    boolean isUsefulAnswerUnlikely(double now, PendingRequest request) {
        if (state.engines().isKnownToBeEmpty() || !hasTimeForAttempt(now, request)) {
            return true;
        }
        return latencyEstimator.missesObjective(now, request)
                && isLateAnswerWorthless(now, request);
    }

    private static boolean isLateAnswerWorthless(double now, PendingRequest request) {
        double availableSeconds = request.query().deadlineAt() - request.receivedAt();
        return request.isOverQuota()
                || request.queryClass().lateAnswerWeight() < MIN_LATE_ANSWER_WEIGHT
                || now - request.receivedAt() > MAX_LATE_WAIT_SHARE * availableSeconds;
    }

    private boolean hasTimeForAttempt(double now, PendingRequest request) {
        return now + latencyEstimator.expectedLatency(request) * MIN_REMAINING_LATENCY_SHARE
                <= request.answerDueAt();
    }

    /** Returns true if a retry that starts now may still answer before the deadline. */
    boolean hasTimeForRetry(double now, PendingRequest request) {
        return now + latencyEstimator.expectedLatency(request) * MIN_REMAINING_LATENCY_SHARE
                < request.answerDueAt();
    }

    /**
     * Completes a request without a result: rejects it if the client can safely send it again, and
     * fails it otherwise.
     */
    void completeWithoutResult(PendingRequest request) {
        if (isClientRetrySafe(request)) {
            PlatformLimits limits = state.settings().limits();
            state.actions()
                    .reject(
                            request.query().id(),
                            limits.retryAfterAllowed() ? limits.maxRetryAfterSeconds() : 0);
        } else {
            state.actions().fail(request.query().id());
        }
        close(request);
    }

    private static boolean isClientRetrySafe(PendingRequest request) {
        boolean mayHaveRun =
                request.firstExecutedAttempt() != null || request.hasOutstandingAttempts();
        QueryClass queryClass = request.queryClass();
        boolean isDeduplicatedEverywhere =
                queryClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
                        && queryClass.deduplicationScope() == DeduplicationScope.ALL;
        return !mayHaveRun
                || queryClass.idempotency() == Idempotency.IDEMPOTENT
                || isDeduplicatedEverywhere;
    }

    /**
     * Closes a request that has its final answer or whose client has disconnected, and cancels its
     * active attempt.
     */
    public void close(PendingRequest request) {
        if (request.activeAttempt() != null && state.settings().limits().cancellationAllowed()) {
            cancel(request.activeAttempt());
        }
        state.requests().close(request);
        state.requests().removeIfDone(request);
    }

    void cancel(Attempt attempt) {
        attempt.markCancelled();
        state.actions().cancelAttempt(attempt.request().query().id(), attempt.number());
    }
}
