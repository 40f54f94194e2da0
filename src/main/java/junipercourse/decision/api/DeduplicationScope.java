package junipercourse.decision.api;

/**
 * Defines which engines recognize the idempotency key of an {@link Idempotency#IDEMPOTENT_WITH_KEY}
 * request.
 */
public enum DeduplicationScope {
    /** All engines. */
    ALL,
    /** The engines of the zone in which the first attempt ran. */
    ZONE,
    /** The engines of the cell in which the first attempt ran. */
    CELL
}
