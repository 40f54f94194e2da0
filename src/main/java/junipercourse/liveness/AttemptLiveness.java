package junipercourse.liveness;

/**
 * What is proven of one attempt at an engine. The engine runs a query until it ends, is deleted or
 * has gone for {@link #QUERY_EXPIRY_SECONDS} without being asked for; so our own silence ends
 * queries, and only our own asking keeps them. Times are seconds of the loop, {@code attended}
 * those of {@link StallDetector#attended}.
 *
 * <p>A call is on its way from its first byte until it is answered or its connection is reset. What
 * the kernel has taken is no more certain to arrive soon than what it has not: across a cut network
 * it lies in a buffer and arrives when the cut heals. Only a reset empties that buffer, so until
 * then a call may arrive at any time.
 */
public final class AttemptLiveness {
    /**
     * The engine drops a query that nobody has asked for in so long (PROTOCOL, dispatchers to
     * engines).
     */
    public static final double QUERY_EXPIRY_SECONDS = 2.0;

    /**
     * How long the engine may hold a call for news before it answers that there is none (PROTOCOL).
     */
    public static final double LONG_POLL_SECONDS = 0.25;

    /** For what a slow engine reads late; ours. */
    public static final double READ_DELAY_MARGIN_SECONDS = 0.4;

    /** Before the engine's time is up: from here on it may be up by its clock. Ours. */
    static final double EARLY_S = 0.2;

    private boolean written;
    private double lastWritten = Double.NEGATIVE_INFINITY;
    private double lastOver = Double.NEGATIVE_INFINITY;
    private double lastAttended;
    private int onTheWay;
    private boolean recordResponse;
    private boolean leftAlone;

    /** What a call without an answer tells. */
    public enum Assessment {
        /** Nothing yet: the engine may still run it. */
        POLL_AGAIN,
        /** It is over, since the engine could not be asked although we tried all the time. */
        ENGINE_LOST,
        /** It is over, since we did not ask: nothing is to be held against the engine. */
        NOT_POLLED
    }

    /** The first byte of a call is written now. */
    public void recordCallStarted(double now, double responsiveSeconds) {
        if (written && now - lastWritten > QUERY_EXPIRY_SECONDS - EARLY_S) {
            leftAlone |= responsiveSeconds - lastAttended < QUERY_EXPIRY_SECONDS - EARLY_S;
        }
        written = true;
        lastWritten = now;
        lastAttended = responsiveSeconds;
        onTheWay++;
    }

    /**
     * A call that was on its way was answered, or its connection is reset: nothing more of it
     * arrives.
     */
    public void recordCallCompleted(double now) {
        if (onTheWay <= 0) {
            throw new IllegalStateException("no call is on its way");
        }
        onTheWay--;
        lastOver = Math.max(lastOver, now);
    }

    /** An answer of the engine to a call for this query was read. */
    public void recordResponse() {
        recordResponse = true;
        leftAlone = false; // it knew the query when it answered
    }

    /** Whether anything of the query may have reached the engine. */
    public boolean mayHaveReachedEngine() {
        return written;
    }

    /** Whether the engine has said anything of it. */
    public boolean hasEngineResponded() {
        return recordResponse;
    }

    /**
     * From when on the engine surely does not run it any more unless it is asked for again. Never,
     * while a call is on its way; at any time, if none was written.
     */
    public double latestExpiryTime() {
        if (!written) {
            return Double.NEGATIVE_INFINITY;
        }
        return onTheWay > 0
                ? Double.POSITIVE_INFINITY
                : lastOver + LONG_POLL_SECONDS + QUERY_EXPIRY_SECONDS + READ_DELAY_MARGIN_SECONDS;
    }

    /** Judges a call that brought nothing, or that could not be made. */
    public Assessment assessUnansweredCall(double now, double responsiveSeconds) {
        if (!written || now < latestExpiryTime()) {
            return Assessment.POLL_AGAIN;
        }
        return responsiveSeconds - lastAttended > QUERY_EXPIRY_SECONDS
                ? Assessment.ENGINE_LOST
                : Assessment.NOT_POLLED;
    }

    /**
     * Whether an engine that does not know the query any more may have dropped it for want of our
     * asking.
     */
    public boolean mayHaveExpiredUnpolled() {
        return leftAlone;
    }
}
