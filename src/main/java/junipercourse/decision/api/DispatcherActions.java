package junipercourse.decision.api;

/**
 * Executes the decisions of a {@link DecisionModule}. Calls take effect in the order in which they
 * are made.
 */
public interface DispatcherActions {
    /**
     * Starts the request's next attempt; attempts are numbered from 0.
     *
     * @param timeoutSeconds seconds after which the attempt ends as {@link AttemptOutcome#TIMEOUT};
     *     0 for no timeout
     */
    void startAttempt(RequestId id, EngineId engine, double timeoutSeconds);

    /** Cancels an attempt. Its outcome is still reported by {@link DecisionModule#attemptEnded}. */
    void cancelAttempt(RequestId id, int attemptNumber);

    /**
     * Completes a request with a rejection: the client can safely send it again.
     *
     * @param retryAfterSeconds seconds that the client should wait before a retry; 0 if not
     *     specified
     */
    void reject(RequestId id, double retryAfterSeconds);

    /** Completes a request with an error: it may have had an effect. */
    void fail(RequestId id);

    /**
     * Sets the priority and the memory grant of the next attempts of a request.
     *
     * @param priority priority at the engine, 0 to 3
     * @param memoryMb memory grant in MB; 0 lets the engine choose
     */
    void setAttemptParameters(RequestId id, int priority, double memoryMb);

    /** Schedules a call of {@link DecisionModule#timerFired} after a delay. */
    void scheduleTimer(double delaySeconds, long token);

    /** Sends a load probe to an engine. */
    void probeEngine(EngineId engine);

    /** Sends a message of at most 256 bytes to every other dispatcher. */
    void broadcastToPeers(byte[] payload);

    /** Subscribes to changes of the endpoint list. */
    void subscribeToEndpoints();

    /** Writes a line to the operators' log. */
    void log(String line);
}
