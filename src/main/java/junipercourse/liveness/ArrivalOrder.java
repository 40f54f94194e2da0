package junipercourse.liveness;

import java.util.Iterator;
import java.util.LinkedHashMap;
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
 * <p>A key is kept only while a request that may have arrived before its last admitted one can be
 * unread or unprocessed. If there are too many keys, the one admitted longest ago is forgotten, and
 * requests that may have arrived before that are rejected, whatever their key.
 */
public final class ArrivalOrder {
    static final int MAX_KEYS = 10_000; // limits memory use

    private final double minGapSeconds;

    /** When the last admitted request of a key was read, in the order of admission. */
    private final Map<Long, Double> lastAdmittedByKey = new LinkedHashMap<>();

    /** The highest of these times among the keys that were forgotten. */
    private double lastForgotten = Double.NEGATIVE_INFINITY;

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
        double lastReadAt = lastAdmittedByKey.getOrDefault(key, lastForgotten);
        if (lastReadAt > Double.NEGATIVE_INFINITY
                && request.mayPrecede(ArrivalInterval.exact(lastReadAt), minGapSeconds)) {
            return false;
        }
        Double trackedReadAt = lastAdmittedByKey.remove(key);
        lastAdmittedByKey.put(
                key,
                trackedReadAt == null
                        ? request.readAt()
                        : Math.max(trackedReadAt, request.readAt()));
        forgetOldestIfTooMany();
        return true;
    }

    private void forgetOldestIfTooMany() {
        if (lastAdmittedByKey.size() > MAX_KEYS) {
            Iterator<Double> oldest = lastAdmittedByKey.values().iterator();
            lastForgotten = Math.max(lastForgotten, oldest.next());
            oldest.remove();
        }
    }

    /**
     * Discards the keys for which no request that arrived before the last admitted one can still
     * come. Call this only when every request that was processed has been admitted or rejected,
     * since a waiting request may have arrived earlier too.
     *
     * @param watermark all requests that arrived before this time have been read and processed
     */
    public void discardSettledKeys(double watermark) {
        lastAdmittedByKey.values().removeIf(lastReadAt -> watermark + minGapSeconds >= lastReadAt);
    }

    /** Returns the number of keys kept. */
    public int trackedKeyCount() {
        return lastAdmittedByKey.size();
    }
}
