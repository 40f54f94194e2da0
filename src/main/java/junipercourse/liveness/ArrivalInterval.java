package junipercourse.liveness;

/**
 * The interval within which bytes arrived. The exact time is unknown, since the kernel buffers
 * bytes until the event loop reads them. Times are seconds of the loop's clock.
 *
 * @param earliest the bytes arrived no earlier than this: everything that arrived before had been
 *     read
 * @param readAt the bytes were read at this time, so they arrived no later
 */
public record ArrivalInterval(double earliest, double readAt) {
    /**
     * A narrower interval is treated as a point. It covers a pass over all sockets and the longest
     * regular gap between loop iterations.
     */
    private static final double MAX_NARROW_WIDTH_SECONDS = 0.1;

    public ArrivalInterval {
        if (!(earliest <= readAt)) {
            throw new IllegalArgumentException(
                    "earliest arrival " + earliest + " is after the time of reading " + readAt);
        }
    }

    /** Returns the interval of bytes that were read as soon as they arrived. */
    public static ArrivalInterval exact(double readAt) {
        return new ArrivalInterval(readAt, readAt);
    }

    public double widthSeconds() {
        return readAt - earliest;
    }

    /**
     * Returns whether the arrival time is known precisely enough to be taken as {@link #readAt}.
     */
    public boolean isNarrow() {
        return widthSeconds() <= MAX_NARROW_WIDTH_SECONDS;
    }

    /**
     * Returns the time from which the client's wait is counted. For bytes that may have been unread
     * for long, this is the earliest possible arrival: an answer that is too early does no harm,
     * one that is too late is useless.
     */
    public double clientWaitStart() {
        return isNarrow() ? readAt : earliest;
    }

    /**
     * Returns whether these bytes may have been written before others that were read earlier.
     *
     * @param minGapSeconds the minimum time between the writing of two messages whose order matters
     */
    public boolean mayPrecede(ArrivalInterval readEarlier, double minGapSeconds) {
        return earliest + minGapSeconds < readEarlier.readAt;
    }
}
