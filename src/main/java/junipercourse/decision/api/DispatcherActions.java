package junipercourse.decision.api;

/** Carries out what a {@link DecisionModule} decides. Calls take effect in the order made. */
public interface DispatcherActions {
    /**
     * Starts the request's next attempt; attempts are numbered from 0.
     *
     * @param timeout seconds after which the attempt must be given up; 0 for none
     */
    void startAttempt(RequestId id, EngineId engine, double timeoutSeconds);

    /** Cancels an attempt; its end is reported all the same. */
    void cancelAttempt(RequestId id, int attemptNumber);

    /**
     * Gives the final answer that the request was rejected and can be sent again without harm.
     *
     * @param retryAfter seconds that the client should wait; 0 for no advice
     */
    void reject(RequestId id, double retryAfterSeconds);

    /** Gives the final answer that the request failed; it may have had an effect. */
    void fail(RequestId id);

    /**
     * Sets priority and memory of the request's next attempts.
     *
     * @param priority 0 to 3
     * @param memoryMb memory grant in MB; 0 lets the engine choose
     */
    void setAttemptParameters(RequestId id, int priority, double memoryMb);

    /** Schedules a call of {@link DecisionModule#timerFired} after so many seconds. */
    void scheduleTimer(double delaySeconds, long token);

    /** Probes an engine for its load. */
    void probeEngine(EngineId engine);

    /** Sends bytes (256 at most) to every other dispatcher. */
    void broadcastToPeers(byte[] payload);

    /** Subscribes to changes of the endpoint list. */
    void subscribeToEndpoints();

    /** Writes a line to the operators' log. */
    void log(String line);
}
