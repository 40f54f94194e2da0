package junipercourse.decision.api;

/** Defines whether a request of a class may be executed more than once. */
public enum Idempotency {
    /** Repeated execution is harmless. */
    IDEMPOTENT,
    /**
     * Engines within the {@link DeduplicationScope} discard a repeated request with the same key.
     */
    IDEMPOTENT_WITH_KEY,
    /** A request must be executed at most once. */
    NOT_IDEMPOTENT
}
