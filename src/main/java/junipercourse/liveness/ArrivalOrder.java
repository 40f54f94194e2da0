package junipercourse.liveness;

import java.util.HashMap;
import java.util.Map;

/**
 * Whether the order in which requests of one key came is known. Sockets are read in any order, so
 * two requests that lay unread at the same time, on two connections, may have come either way; the
 * rule on order counts from when they came, not from when they were read.
 *
 * <p>A request may go on once nothing that came before it can still be unread ({@link #isSettled}).
 * Of several whose order is open, the first one read goes on and the others are to be refused
 * ({@link #admit}): what was refused never ran, so that any order among them was kept.
 *
 * <p>Bounded: a key is kept only while a request that may have come before its last one can be
 * unread, and so there are at most as many as requests that are read within that time.
 */
public final class ArrivalOrder {
    private final double minGapSeconds;
    private final Map<Long, Double> lastAt = new HashMap<>();

    /** {@code apart}: seconds that clients leave at least between two requests of one key. */
    public ArrivalOrder(double minGapSeconds) {
        if (!(minGapSeconds >= 0)) {
            throw new IllegalArgumentException("apart " + minGapSeconds);
        }
        this.minGapSeconds = minGapSeconds;
    }

    /** Whether all that came before a request has been read, given up to when all has been. */
    public boolean isSettled(ArrivalInterval request, double watermark) {
        return watermark + minGapSeconds >= request.readAt();
    }

    /**
     * Takes the next request of a key, in the order read. False if it may have come before one
     * admitted.
     */
    public boolean admit(long key, ArrivalInterval request) {
        Double last = lastAt.get(key);
        if (last != null && request.mayPrecede(ArrivalInterval.exact(last), minGapSeconds)) {
            return false;
        }
        lastAt.put(key, last == null ? request.readAt() : Math.max(last, request.readAt()));
        return true;
    }

    /**
     * Drops the keys of which nothing can be unread any more that came before what was admitted. To
     * be called only while nothing that was read is still to be admitted: that may have come early,
     * too.
     */
    public void discardSettledKeys(double watermark) {
        lastAt.values().removeIf(at -> watermark + minGapSeconds >= at);
    }

    /** Keys that are remembered. */
    public int trackedKeyCount() {
        return lastAt.size();
    }
}
