package junipercourse.decision.api;

/** Describes a progress report of a running attempt. */
public enum ProgressKind {
    /** The value of the report is the completed share of the work, 0 to 1. */
    PROGRESS,
    /** The query has begun to spill to disk. */
    SPILL,
    /** The query waits in the engine's queue. */
    WAIT
}
