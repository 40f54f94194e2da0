package junipercourse.decision.api;

import java.util.Set;

/**
 * Describes a query class.
 *
 * @param name its name in the settings
 * @param idempotency whether a query may be executed more than once
 * @param deduplicationScope which engines recognize the idempotency key of a repeated query
 * @param deduplicationWindowSeconds how long engines remember an idempotency key
 * @param orderedByKey whether queries with the same key run one at a time, in order of arrival
 * @param latencyObjectiveSeconds latency up to which an answer has its full value
 * @param latencyObjectiveStretch seconds by which the objective is extended for each second of
 *     expected latency
 * @param deadlineSeconds time after which the client stops waiting
 * @param priorityWeight value of an answer that meets the latency objective
 * @param lateAnswerWeight share of the value that a late answer keeps
 * @param threads number of threads that a query uses on its engine
 * @param loadsTables whether a query locks its table group on the engine while it runs
 * @param blockedByLoads whether a query waits while a load locks its table group
 * @param allowedZones zones in which it may run; empty for all
 * @param allowedKinds engine kinds on which it may run; empty for all
 */
public record QueryClass(
        String name,
        Idempotency idempotency,
        DeduplicationScope deduplicationScope,
        double deduplicationWindowSeconds,
        boolean orderedByKey,
        double latencyObjectiveSeconds,
        double latencyObjectiveStretch,
        double deadlineSeconds,
        double priorityWeight,
        double lateAnswerWeight,
        int threads,
        boolean loadsTables,
        boolean blockedByLoads,
        Set<Integer> allowedZones,
        Set<Integer> allowedKinds) {}
