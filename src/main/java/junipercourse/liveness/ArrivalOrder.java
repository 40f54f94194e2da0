package junipercourse.liveness;

import java.util.HashMap;
import java.util.Map;

/**
 * Decides whether the arrival order of requests with the same key is known. Sockets are read in any
 * order, so two requests that were unread at the same time on two connections may have arrived in
 * either order. Ordering by key refers to the order of arrival, not of reading.
 *
 * <p>A request may proceed once nothing that arrived before it can still be unread ({@link
 * #isSettled}). If the order of several requests is unknown, the first one read proceeds and the
 * others must be rejected ({@link #admit}). A rejected request never ran, so the order is preserved
 * whichever it was.
 *
 * <p>Memory is bounded: a key is kept only while a request that may have arrived before its last
 * admitted one can be unread. So there are at most as many keys as requests read within that time.
 */
public final class ArrivalOrder {
    private final double minGapSeconds;
    private final Map<Long, Double> lastAdmittedByKey = new HashMap<>();

    /**
     * Creates the order for clients that wait at least {@code minGapSeconds} between two requests
     * of a key.
     */
    public ArrivalOrder(double minGapSeconds) {
        if (!(minGapSeconds >= 0)) {
            throw new IllegalArgumentException(
                    "negative or undefined minimum gap: " + minGapSeconds);
        }
        this.minGapSeconds = minGapSeconds;
    }

    /**
     * Returns whether everything that arrived before a request has been read, given the read
     * watermark.
     */
    public boolean isSettled(ArrivalInterval request, double watermark) {
        return watermark + minGapSeconds >= request.readAt();
    }

    /**
     * Admits the next request of a key, in the order of reading. Returns false if it may have
     * arrived before a request that was already admitted.
     */
    public boolean admit(long key, ArrivalInterval request) {
        Double lastReadAt = lastAdmittedByKey.get(key);
        if (lastReadAt != null
                && request.mayPrecede(ArrivalInterval.exact(lastReadAt), minGapSeconds)) {
            return false;
        }
        lastAdmittedByKey.put(
                key,
                lastReadAt == null ? request.readAt() : Math.max(lastReadAt, request.readAt()));
        return true;
    }

    /**
     * Discards the keys for which no request that arrived before the last admitted one can still be
     * unread. Call this only when every request that was read has been admitted or rejected, since
     * a waiting request may have arrived earlier too.
     */
    public void discardSettledKeys(double watermark) {
        lastAdmittedByKey.values().removeIf(lastReadAt -> watermark + minGapSeconds >= lastReadAt);
    }

    /** Returns the number of keys kept. */
    public int trackedKeyCount() {
        return lastAdmittedByKey.size();
    }
}
