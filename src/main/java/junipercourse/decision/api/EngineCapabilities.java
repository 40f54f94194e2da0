package junipercourse.decision.api;

/**
 * Describes which features the engines support.
 *
 * @param honorsMemoryGrants whether engines apply the memory grant of an attempt
 * @param honorsPriority whether engines apply the priority of an attempt
 * @param maxGrantShare largest grant, as a share of an engine's memory
 * @param outOfMemoryPolicy what an engine does when grants exceed its memory
 * @param progressPeriodSeconds interval between progress reports; 0 if engines send none
 * @param reportsCost whether a result contains the actual cost of its query
 */
public record EngineCapabilities(
        boolean honorsMemoryGrants,
        boolean honorsPriority,
        double maxGrantShare,
        OutOfMemoryPolicy outOfMemoryPolicy,
        double progressPeriodSeconds,
        boolean reportsCost) {}
