package junipercourse.liveness;

/**
 * Tracks the time up to which all bytes that arrived on any socket have been read.
 *
 * <p>The event loop sends itself a probe through a pipe. The pass over the sockets that reads the
 * probe also reports each socket that had bytes when the probe was sent. If that pass read all of
 * these sockets and accepted all connections, whatever is read later arrived after the probe was
 * sent. Nothing else proves this: a timer may run without the sockets having been polled.
 */
public final class ReadWatermark {
    private double probeSentAt = Double.NaN;
    private boolean probeRead;
    private boolean hasUnreadData;
    private double watermark;

    public ReadWatermark(double now) {
        watermark = now;
    }

    /** Returns whether a probe was sent and its pass is not complete. */
    public boolean isProbePending() {
        return !Double.isNaN(probeSentAt);
    }

    /** Records that a probe is sent now. */
    public void recordProbeSent(double now) {
        if (isProbePending()) {
            throw new IllegalStateException("a probe is already pending");
        }
        probeSentAt = now;
        probeRead = false;
        hasUnreadData = false;
    }

    /** Records that the probe was read in this pass. */
    public void recordProbeRead() {
        probeRead = isProbePending();
    }

    /**
     * Records that this pass leaves something unread: connections that were not accepted, or a
     * socket that was not read completely.
     */
    public void recordUnreadData() {
        hasUnreadData = true;
    }

    /**
     * Records that all sockets of this pass were handled. Returns whether the pass read a probe.
     */
    public boolean completePass() {
        if (!probeRead) {
            return false;
        }
        probeRead = false;
        if (!hasUnreadData) {
            watermark = probeSentAt;
        }
        hasUnreadData = false;
        probeSentAt = Double.NaN;
        return true;
    }

    /** Returns the time before which all bytes that arrived have been read. */
    public double watermark() {
        return watermark;
    }
}
