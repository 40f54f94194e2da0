package junipercourse.decision.api;

/**
 * Holds the figures of the guarantees that a dispatcher must keep. All times are in seconds.
 *
 * @param answerGrace slack after a deadline
 * @param drainGrace slack after an engine begins to drain
 * @param slowStartInitialCapacity share of its capacity that an engine has when it starts
 * @param slowStartDuration time from its start until an engine has its full capacity
 * @param overloadMultiple multiple of its capacity at which a starting engine fails
 * @param overloadWindow time over which that work is summed
 * @param keySettleTime how long a key waits after an attempt that may still run
 * @param retryBudgetWindow time over which retries are counted; 0 if retries have no budget
 * @param retryBudgetMinimum retries that are always allowed within the window
 * @param retryBudgetRatio further retries for each request within the window
 * @param pollInterval time within which the endpoint list must be polled
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
