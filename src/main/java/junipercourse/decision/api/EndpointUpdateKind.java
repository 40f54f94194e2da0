package junipercourse.decision.api;

/** Describes what an update of the endpoint list contains. */
public enum EndpointUpdateKind {
    /** Only the entries that have changed. */
    DELTA,
    /** The complete list. */
    FULL,
    /** A complete list from a cache, which may be out of date. */
    CACHED,
    /** Nothing, because the poll failed. */
    FAILED
}
