package junipercourse.liveness;

/**
 * When bytes came, as far as that can be known: the kernel takes them while we do not look. Times
 * are seconds of the loop.
 *
 * @param after they came no earlier than this: by then all that had come was read
 * @param at they were read at this time, and so came no later
 */
public record ArrivalInterval(double earliest, double readAt) {
    /**
     * A narrow interval is as good as a point: a pass over all sockets and the beat lie within it.
     */
    private static final double NARROW_S = 0.1;

    public ArrivalInterval {
        if (!(earliest <= readAt)) {
            throw new IllegalArgumentException("after " + earliest + " lies beyond at " + readAt);
        }
    }

    /** Bytes that were read the moment they came. */
    public static ArrivalInterval exact(double readAt) {
        return new ArrivalInterval(readAt, readAt);
    }

    public double widthSeconds() {
        return readAt - earliest;
    }

    /** Whether the time is known well enough to be taken as one point, {@link #readAt}. */
    public boolean isNarrow() {
        return widthSeconds() <= NARROW_S;
    }

    /**
     * The time from which a client's patience is counted. Of bytes that may have lain unread for
     * long, the earliest: an answer that comes too early harms nobody, one that comes too late is
     * none.
     */
    public double clientWaitStart() {
        return isNarrow() ? readAt : earliest;
    }

    /**
     * Whether these bytes may have been written before others that were read before them.
     *
     * @param apart what at least lies between the writing of two messages whose order matters, in
     *     seconds
     */
    public boolean mayPrecede(ArrivalInterval readEarlier, double minGapSeconds) {
        return earliest + minGapSeconds < readEarlier.readAt;
    }
}
