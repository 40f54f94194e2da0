package junipercourse.decision.api;

/**
 * Describes a request that a client has sent.
 *
 * @param id the request
 * @param queryClass position of its class in the settings
 * @param tenant position of its tenant in the settings, or -1
 * @param deadlineAt time in seconds at which the client gives up
 * @param key orders the requests of a class and identifies repeats; 0 for none
 * @param tableGroup the group of tables that it reads or writes; 0 for none
 * @param costEstimate estimated work in seconds of one thread; NaN for no estimate
 * @param memoryEstimateMb estimated memory in MB; 0 for no estimate
 * @param clientRetry whether the client marked it as a retry
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
