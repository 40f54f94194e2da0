package junipercourse.net;

import junipercourse.liveness.ArrivalInterval;

/**
 * Since when bytes of one connection may be unread, which tells when they arrived at the latest.
 */
final class UnreadBytes {
    private final EventLoop loop;
    private double since = Double.NaN;
    private double assumedAt;
    private boolean isSuspended;

    UnreadBytes(EventLoop loop) {
        this.loop = loop;
    }

    /** Assumes that bytes since then are unread until a whole later pass has found none. */
    void assume(double earliestArrival) {
        since = earliestArrival;
        assumedAt = loop.now();
    }

    /** All bytes have been read. */
    void clear() {
        since = Double.NaN;
    }

    /** Reading stops: what arrives from now on stays unread. */
    void suspend() {
        isSuspended = true;
        if (Double.isNaN(since)) {
            since = loop.arrival().earliest();
        }
    }

    /** Reading goes on. */
    void resume() {
        isSuspended = false;
        assume(Double.isNaN(since) ? loop.arrival().earliest() : since);
    }

    private boolean mayExist() {
        return !Double.isNaN(since) && (isSuspended || loop.connectionWatermark() <= assumedAt);
    }

    /** Returns since when bytes may be unread; infinity if there are none. */
    double since() {
        return mayExist() ? since : Double.POSITIVE_INFINITY;
    }

    /** Returns the interval in which bytes that are read now arrived. */
    ArrivalInterval arrival() {
        ArrivalInterval loopArrival = loop.arrival();
        return mayExist()
                ? new ArrivalInterval(Math.min(since, loopArrival.earliest()), loopArrival.readAt())
                : loopArrival;
    }
}
