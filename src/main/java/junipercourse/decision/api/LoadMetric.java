package junipercourse.decision.api;

/** Identifies one value of a load report. */
public enum LoadMetric {
    /** Queries that the engine has accepted but not answered yet. */
    IN_FLIGHT,
    /** Queries in the engine's queue. */
    QUEUED,
    /** Share of busy cores, 0 to 1. */
    BUSY,
    /** Recent latency in milliseconds. */
    LATENCY_MS,
    /** Queries per second. */
    RATE,
    /** Failed queries per second. */
    FAIL_RATE,
    /** Share of memory that is granted, 0 to 1. */
    MEMORY_GRANTED,
    /** Share of disks that are busy, 0 to 1. */
    DISKS_BUSY
}
