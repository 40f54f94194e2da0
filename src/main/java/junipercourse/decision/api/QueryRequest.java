package junipercourse.decision.api;

/**
 * Describes a query as the client sent it.
 *
 * @param id the request
 * @param queryClass index of its class in the settings
 * @param tenant index of its tenant in the settings; -1 if it has none
 * @param deadlineAt time at which the client stops waiting, in seconds
 * @param key idempotency key, which also orders the requests of a class that is {@link
 *     QueryClass#orderedByKey}; 0 for none
 * @param tableGroup group of tables that it reads or writes; 0 for none
 * @param costEstimate estimated work in seconds of one thread; NaN for no estimate
 * @param memoryEstimateMb estimated memory in MB; 0 for no estimate
 * @param isClientRetry whether the client marked it as a retry
 */
public record QueryRequest(
        RequestId id,
        int queryClass,
        int tenant,
        double deadlineAt,
        long key,
        float tableGroup,
        double costEstimate,
        double memoryEstimateMb,
        boolean isClientRetry) {}
