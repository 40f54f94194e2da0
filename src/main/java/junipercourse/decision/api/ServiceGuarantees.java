package junipercourse.decision.api;

/**
 * Parameters of the guarantees that a dispatcher must fulfil.
 *
 * @param answerGraceSeconds tolerance after a deadline
 * @param drainGraceSeconds tolerance after an engine begins to drain
 * @param slowStartInitialCapacity share of its full capacity that an engine has right after its
 *     start
 * @param slowStartSeconds time from its start until an engine has its full capacity
 * @param overloadMultiple multiple of its current capacity at which an engine that is warming up
 *     fails
 * @param overloadWindowSeconds sliding window over which that work is summed
 * @param keySettleSeconds how long the next request of a key waits after an attempt that may still
 *     run
 * @param retryBudgetWindowSeconds sliding window over which retries are counted; 0 for no retry
 *     budget
 * @param retryBudgetMinimum retries that are always allowed within the window
 * @param retryBudgetRatio additional retries for each request within the window
 * @param pollIntervalSeconds time within which the endpoint list must be polled
 */
public record ServiceGuarantees(
        double answerGraceSeconds,
        double drainGraceSeconds,
        double slowStartInitialCapacity,
        double slowStartSeconds,
        double overloadMultiple,
        double overloadWindowSeconds,
        double keySettleSeconds,
        double retryBudgetWindowSeconds,
        double retryBudgetMinimum,
        double retryBudgetRatio,
        double pollIntervalSeconds) {}
