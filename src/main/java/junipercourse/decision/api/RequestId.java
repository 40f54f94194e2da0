package junipercourse.decision.api;

/**
 * Identifies a request. The caller assigns each value only once.
 *
 * @param value number assigned by the caller
 */
public record RequestId(long value) {}
