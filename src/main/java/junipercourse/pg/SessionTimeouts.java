package junipercourse.pg;

/**
 * The times that a session's timeouts are counted from. All times are responsive seconds of the
 * event loop, so that a stall of this process does not count against the client.
 */
final class SessionTimeouts {
    private static final double REJECTION_TIMEOUT_SECONDS = 0.3; // until start-up
    private static final double FIRST_QUERY_TIMEOUT_SECONDS = 2.4; // from connecting
    private static final double MESSAGE_TIMEOUT_SECONDS = 2.0; // first to last byte
    private static final double WRITE_TIMEOUT_SECONDS = 3.0; // without any progress

    private final double connectedAt;
    private double idleSince;
    private double incompleteSince = Double.POSITIVE_INFINITY;
    private double lastWriteProgress;
    private long previousUnsentBytes;

    SessionTimeouts(double now) {
        connectedAt = now;
        idleSince = now;
        lastWriteProgress = now;
    }

    /** Records that bytes were received or a result was sent. */
    void recordActivity(double now) {
        idleSince = now;
    }

    /** Records whether a message has begun to arrive and has not ended. */
    void recordIncomplete(boolean isIncomplete, double now) {
        incompleteSince = isIncomplete ? Math.min(incompleteSince, now) : Double.POSITIVE_INFINITY;
    }

    /** Records how many bytes the client has not accepted yet. */
    void recordUnsentBytes(long unsentBytes, double now) {
        if (unsentBytes == 0 || unsentBytes != previousUnsentBytes) {
            lastWriteProgress = now;
            previousUnsentBytes = unsentBytes;
        }
    }

    double connectedAt() {
        return connectedAt;
    }

    double idleSince() {
        return idleSince;
    }

    /** Whether the client has stopped reading. */
    boolean isWriteOverdue(double now) {
        return now > lastWriteProgress + WRITE_TIMEOUT_SECONDS;
    }

    /** Whether a client that is to be rejected has not sent its start-up packet in time. */
    boolean isRejectionOverdue(double now) {
        return now > connectedAt + REJECTION_TIMEOUT_SECONDS;
    }

    /** Whether a client without any query should have sent one. */
    boolean isFirstQueryOverdue(double now) {
        return now > connectedAt + FIRST_QUERY_TIMEOUT_SECONDS;
    }

    /** Whether a message has begun and its end has not come in time. */
    boolean isMessageOverdue(double now) {
        return now > incompleteSince + MESSAGE_TIMEOUT_SECONDS;
    }
}
