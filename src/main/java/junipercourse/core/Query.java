package junipercourse.core;

import junipercourse.liveness.ArrivalInterval;

/**
 * A query as a client protocol handler submits it, independent of the protocol.
 *
 * @param id the client's id of the request
 * @param className the name of the query class, passed on unchanged
 * @param queryClass the position of the class in the settings
 * @param tenant the position of the tenant in the settings, or -1
 * @param deadlineAt Unix time in seconds at which the client stops waiting
 * @param idempotencyKey the same for all tries of one request, or null
 * @param orderKey the key whose requests keep their order; 0 for none
 * @param tableGroup the group of tables that it reads or writes; 0 for none
 * @param costEstimate estimated work in seconds of one core; NaN for no estimate
 * @param memoryEstimateMb estimated memory in MB; 0 for no estimate
 * @param isClientRetry whether the client marked it as a retry
 * @param statement the statement that the engine runs
 * @param arrival when its last byte arrived
 */
public record Query(
        String id,
        String className,
        int queryClass,
        int tenant,
        double deadlineAt,
        String idempotencyKey,
        long orderKey,
        float tableGroup,
        double costEstimate,
        double memoryEstimateMb,
        boolean isClientRetry,
        byte[] statement,
        ArrivalInterval arrival) {}
