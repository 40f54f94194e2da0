package junipercourse.decision.constraints;

import junipercourse.decision.api.ServiceGuarantees;
import junipercourse.decision.estimation.SlidingWindowCounter;
import junipercourse.decision.state.DecisionDefaults;
import junipercourse.decision.state.PendingRequest;

/** Limits retries within a sliding window to a share of the requests in it, plus a minimum. */
public final class RetryBudget {
    private final ServiceGuarantees guarantees;
    private final SlidingWindowCounter requests = new SlidingWindowCounter();
    private final SlidingWindowCounter retries = new SlidingWindowCounter();

    RetryBudget(ServiceGuarantees guarantees) {
        this.guarantees = guarantees;
    }

    /** Records a request. */
    public void recordRequest(double now) {
        requests.add(now);
    }

    /** Records a retry. */
    public void recordRetry(double now) {
        retries.add(now);
    }

    /** Removes the requests that are older than the window. */
    public void expire(double now) {
        requests.countAfter(now - guarantees.retryBudgetWindowSeconds());
    }

    /**
     * Returns true if the next attempt of a request is its first one or a retry within the budget.
     */
    public boolean allows(double now, PendingRequest request) {
        double windowSeconds = guarantees.retryBudgetWindowSeconds();
        if (request.sentAttemptCount() == 0 || windowSeconds <= 0) {
            return true;
        }
        double toleranceSeconds = DecisionDefaults.TIMER_RESOLUTION_SECONDS;
        return retries.countAfter(now - windowSeconds - toleranceSeconds) + 1
                <= guarantees.retryBudgetMinimum()
                        + guarantees.retryBudgetRatio()
                                * requests.countAfter(now - windowSeconds + toleranceSeconds);
    }
}
