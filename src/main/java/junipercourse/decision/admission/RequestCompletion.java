package junipercourse.decision.admission;

import junipercourse.decision.api.DeduplicationScope;
import junipercourse.decision.api.Idempotency;
import junipercourse.decision.api.PlatformLimits;
import junipercourse.decision.api.QueryClass;
import junipercourse.decision.estimation.LatencyEstimator;
import junipercourse.decision.state.Attempt;
import junipercourse.decision.state.DispatchState;
import junipercourse.decision.state.PendingRequest;

/** Gives final answers, and decides when waiting for a better one has become hopeless. */
public final class RequestCompletion {
    private static final double MIN_REMAINING_LATENCY_SHARE =
            0.5; // of the expectation that must be left
    private static final double MIN_LATE_ANSWER_WEIGHT =
            0.2; // late answers of less weight are not awaited
    private static final double MAX_LATE_WAIT_SHARE =
            0.5; // of its time, once the objective is lost

    private final DispatchState state;
    private final LatencyEstimator latencyEstimator;

    RequestCompletion(DispatchState state, LatencyEstimator latencyEstimator) {
        this.state = state;
        this.latencyEstimator = latencyEstimator;
    }

    /** Returns true if no answer of any value can come of waiting longer. */
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

    /** Returns true if an attempt that starts now may still answer before the deadline. */
    boolean hasTimeForRetry(double now, PendingRequest request) {
        return now + latencyEstimator.expectedLatency(request) * MIN_REMAINING_LATENCY_SHARE
                < request.answerDueAt();
    }

    /**
     * Gives the final answer without a result: a rejection where it is true that sending the
     * request again is harmless, a failure otherwise.
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

    /** Closes a request that has its final answer or whose client has left. */
    public void close(PendingRequest request) {
        if (request.activeAttempt() != null && state.settings().limits().cancellationAllowed()) {
            cancel(request.activeAttempt());
        }
        state.requests().close(request);
        state.requests().removeIfDone(request);
    }

    /** Cancels an attempt. */
    void cancel(Attempt attempt) {
        attempt.markCancelled();
        state.actions().cancelAttempt(attempt.request().query().id(), attempt.number());
    }
}
