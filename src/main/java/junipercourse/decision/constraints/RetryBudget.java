package junipercourse.decision.constraints;

import junipercourse.decision.api.ServiceGuarantees;
import junipercourse.decision.estimation.SlidingWindowCounter;
import junipercourse.decision.state.DecisionDefaults;
import junipercourse.decision.state.PendingRequest;

/** Bounds retries by a share of the requests within a sliding window, plus a minimum. */
public final class RetryBudget {
    private final ServiceGuarantees guarantees;
    private final SlidingWindowCounter requests = new SlidingWindowCounter();
    private final SlidingWindowCounter retries = new SlidingWindowCounter();

    RetryBudget(ServiceGuarantees guarantees) {
        this.guarantees = guarantees;
    }

    /** Counts a request. */
    public void recordRequest(double now) {
        requests.add(now);
    }

    /** Counts a retry. */
    public void recordRetry(double now) {
        retries.add(now);
    }

    /** Forgets the requests before the window. */
    public void expire(double now) {
        requests.countAfter(now - guarantees.retryBudgetWindowSeconds());
    }

    /** Returns true if the next attempt of a request is its first or fits the budget. */
    public boolean allows(double now, PendingRequest request) {
        double window = guarantees.retryBudgetWindowSeconds();
        if (request.sentAttemptCount() == 0 || window <= 0) {
            return true;
        }
        double tolerance = DecisionDefaults.TIMER_RESOLUTION_SECONDS;
        return retries.countAfter(now - window - tolerance) + 1
                <= guarantees.retryBudgetMinimum()
                        + guarantees.retryBudgetRatio()
                                * requests.countAfter(now - window + tolerance);
    }
}
