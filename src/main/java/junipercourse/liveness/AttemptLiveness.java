package junipercourse.liveness;

/**
 * Tracks whether an engine may still run the query of one attempt. The engine runs a query until it
 * completes, is deleted or has not been polled for {@link #QUERY_EXPIRY_SECONDS}. So a dispatcher
 * that stops polling ends its queries, and only its polls keep them alive. Times are seconds of the
 * loop's clock; {@code responsiveSeconds} are those of {@link StallDetector#responsiveSeconds}.
 *
 * <p>A call is in flight from its first byte until it is answered or its connection is reset. Bytes
 * that the kernel has accepted are not certain to arrive soon: during a network partition they stay
 * in a buffer and arrive when the partition heals. Only a reset discards that buffer, so until then
 * a call may arrive at any time.
 */
public final class AttemptLiveness {
    /**
     * The engine drops a query that has not been polled for this long (PROTOCOL, dispatchers to
     * engines).
     */
    public static final double QUERY_EXPIRY_SECONDS = 2.0;

    /**
     * The longest time for which the engine holds a poll before it answers that the query is still
     * running (PROTOCOL).
     */
    public static final double LONG_POLL_SECONDS = 0.25;

    /** Allowance for calls that a slow engine reads late; not part of the protocol. */
    public static final double READ_DELAY_MARGIN_SECONDS = 0.4;

    /**
     * The query may have expired by the engine's clock this long before {@link
     * #QUERY_EXPIRY_SECONDS} have passed here; not part of the protocol.
     */
    static final double EARLY_EXPIRY_MARGIN_SECONDS = 0.2;

    private boolean hasStartedCall;
    private double lastCallStartedAt = Double.NEGATIVE_INFINITY;
    private double lastCallCompletedAt = Double.NEGATIVE_INFINITY;
    private double responsiveSecondsAtLastCall;
    private int callsInFlight;
    private boolean hasResponse;
    private boolean wentUnpolled;

    /** The conclusion from a call without an answer. */
    public enum Assessment {
        /** No conclusion: the engine may still run the query. */
        POLL_AGAIN,
        /** The query has expired although this process kept trying: the engine is unreachable. */
        ENGINE_LOST,
        /**
         * The query has expired because this process did not poll: it does not count as a failure
         * of the engine.
         */
        NOT_POLLED
    }

    /** Records that the first byte of a call is written now. */
    public void recordCallStarted(double now, double responsiveSeconds) {
        if (hasStartedCall
                && now - lastCallStartedAt > QUERY_EXPIRY_SECONDS - EARLY_EXPIRY_MARGIN_SECONDS) {
            wentUnpolled |=
                    responsiveSeconds - responsiveSecondsAtLastCall
                            < QUERY_EXPIRY_SECONDS - EARLY_EXPIRY_MARGIN_SECONDS;
        }
        hasStartedCall = true;
        lastCallStartedAt = now;
        responsiveSecondsAtLastCall = responsiveSeconds;
        callsInFlight++;
    }

    /**
     * Records that a call in flight was answered or its connection was reset: no more of it
     * arrives.
     */
    public void recordCallCompleted(double now) {
        if (callsInFlight <= 0) {
            throw new IllegalStateException("no call is in flight");
        }
        callsInFlight--;
        lastCallCompletedAt = Math.max(lastCallCompletedAt, now);
    }

    /** Records that a response of the engine to a call for this query was read. */
    public void recordResponse() {
        hasResponse = true;
        wentUnpolled = false; // the engine still had the query when it answered
    }

    /** Returns whether any byte of the query may have reached the engine. */
    public boolean mayHaveReachedEngine() {
        return hasStartedCall;
    }

    /** Returns whether the engine has answered any call for this query. */
    public boolean hasEngineResponded() {
        return hasResponse;
    }

    /**
     * Returns the time from which the engine certainly no longer runs the query unless it is polled
     * again: positive infinity while a call is in flight, negative infinity if no call was written.
     */
    public double latestExpiryTime() {
        if (!hasStartedCall) {
            return Double.NEGATIVE_INFINITY;
        }
        return callsInFlight > 0
                ? Double.POSITIVE_INFINITY
                : lastCallCompletedAt
                        + LONG_POLL_SECONDS
                        + QUERY_EXPIRY_SECONDS
                        + READ_DELAY_MARGIN_SECONDS;
    }

    /** Draws the conclusion from a call that got no answer or could not be made. */
    public Assessment assessUnansweredCall(double now, double responsiveSeconds) {
        if (!hasStartedCall || now < latestExpiryTime()) {
            return Assessment.POLL_AGAIN;
        }
        return responsiveSeconds - responsiveSecondsAtLastCall > QUERY_EXPIRY_SECONDS
                ? Assessment.ENGINE_LOST
                : Assessment.NOT_POLLED;
    }

    /**
     * Returns whether an engine that no longer knows the query may have dropped it because this
     * process did not poll in time.
     */
    public boolean mayHaveExpiredUnpolled() {
        return wentUnpolled;
    }
}
