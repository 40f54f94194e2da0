package junipercourse.core;

import junipercourse.liveness.ArrivalInterval;

/**
 * A query as a front hands it over, whatever protocol it came by.
 *
 * @param id the client's id of the request
 * @param className the class's name, passed on unchanged
 * @param queryClass the class's position in the settings
 * @param tenant the tenant's position in the settings, or -1
 * @param notAfter Unix time in seconds at which the client stops waiting
 * @param idempotencyKey the same for all tries of one request, or null
 * @param orderKey the key whose requests keep their order; 0 for none
 * @param tableGroup the group of tables that it reads or writes; 0 for none
 * @param cost the estimate of the work in seconds of one core; NaN for none
 * @param memoryMb the estimate of the memory; 0 for none
 * @param clientRetry whether the client marked it as a retry
 * @param statement what the engine is to run
 * @param arrival when its last byte came
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
