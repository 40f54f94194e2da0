package junipercourse.liveness;

/**
 * Knows up to which time all that came on any socket has been read.
 *
 * <p>The loop sends itself a mark through a pipe. The pass over the sockets that reads the mark
 * also sees each socket that had bytes when the mark was sent; once that pass is over, and all of
 * them were read and all connections accepted, whatever is read later came after the mark. Nothing
 * else proves that: a timer may run without the sockets having been looked at.
 */
public final class ReadWatermark {
    private double sentAt = Double.NaN;
    private boolean recordProbeRead;
    private boolean behind;
    private double watermark;

    public ReadWatermark(double now) {
        watermark = now;
    }

    /** Whether a mark is on its way. */
    public boolean isProbePending() {
        return !Double.isNaN(sentAt);
    }

    /** A mark is sent now. */
    public void recordProbeSent(double now) {
        if (isProbePending()) {
            throw new IllegalStateException("a mark is on its way");
        }
        sentAt = now;
        recordProbeRead = false;
        behind = false;
    }

    /** The mark was read in this pass. */
    public void recordProbeRead() {
        recordProbeRead = isProbePending();
    }

    /**
     * Something is left in this pass: connections that were not accepted, or a socket not read to
     * its end.
     */
    public void recordUnreadData() {
        behind = true;
    }

    /** All sockets of this pass were dealt with. Returns whether a mark came home. */
    public boolean completePass() {
        if (!recordProbeRead) {
            return false;
        }
        recordProbeRead = false;
        if (!behind) {
            watermark = sentAt;
        }
        behind = false;
        sentAt = Double.NaN;
        return true;
    }

    /** All that came before this time has been read. */
    public double watermark() {
        return watermark;
    }
}
