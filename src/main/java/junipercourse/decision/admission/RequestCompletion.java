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
    private static final double MIN_LATENCY_SHARE = 0.5; // of the expectation that must be left
    private static final double MIN_LATE_WEIGHT =
            0.2; // late answers of less weight are not awaited
    private static final double MAX_LATE_WAIT_SHARE =
            0.5; // of its time, once the objective is lost

    private final DispatchState state;
    private final LatencyEstimator latency;

    RequestCompletion(DispatchState state, LatencyEstimator latency) {
        this.state = state;
        this.latency = latency;
    }

    /** Returns true if no answer of any value can come of waiting longer. */
    boolean isHopeless(double now, PendingRequest request) {
        if (state.engines().isKnownToBeEmpty() || !hasTimeForAttempt(now, request)) {
            return true;
        }
        return latency.missesObjective(now, request) && isLateAnswerWorthless(now, request);
    }

    private static boolean isLateAnswerWorthless(double now, PendingRequest request) {
        double available = request.query().deadlineAt() - request.receivedAt();
        return request.isOverQuota()
                || request.queryClass().lateAnswerWeight() < MIN_LATE_WEIGHT
                || now - request.receivedAt() > MAX_LATE_WAIT_SHARE * available;
    }

    private boolean hasTimeForAttempt(double now, PendingRequest request) {
        return now + latency.expectedLatency(request) * MIN_LATENCY_SHARE <= request.answerDueAt();
    }

    /** Returns true if an attempt that starts now may still answer before the deadline. */
    boolean hasTimeForRetry(double now, PendingRequest request) {
        return now + latency.expectedLatency(request) * MIN_LATENCY_SHARE < request.answerDueAt();
    }

    /**
     * Gives the final answer without a result: a rejection where it is true that sending the
     * request again is harmless, a failure otherwise.
     */
    void complete(PendingRequest request) {
        if (isRepeatHarmless(request)) {
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

    private static boolean isRepeatHarmless(PendingRequest request) {
        boolean mayHaveRun =
                request.firstExecutedAttempt() != null || request.hasOutstandingAttempts();
        QueryClass queryClass = request.queryClass();
        boolean deduplicatedEverywhere =
                queryClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
                        && queryClass.deduplicationScope() == DeduplicationScope.ALL;
        return !mayHaveRun
                || queryClass.idempotency() == Idempotency.IDEMPOTENT
                || deduplicatedEverywhere;
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
