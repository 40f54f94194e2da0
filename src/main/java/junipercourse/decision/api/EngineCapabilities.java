package junipercourse.decision.api;

/**
 * Describes how engines run queries and what a dispatcher may set.
 *
 * @param honorsMemoryGrants whether an attempt can carry a memory grant
 * @param honorsPriority whether an attempt can carry a priority
 * @param maxGrantShare largest grant, as a share of an engine's memory
 * @param outOfMemoryPolicy what happens when grants exceed the memory
 * @param progressPeriod seconds between progress reports; 0 if there are none
 * @param reportsCost whether a result states the cost of its query
 */
public record EngineCapabilities(
        boolean honorsMemoryGrants,
        boolean honorsPriority,
        double maxGrantShare,
        OutOfMemoryPolicy outOfMemoryPolicy,
        double progressPeriodSeconds,
        boolean reportsCost) {}
