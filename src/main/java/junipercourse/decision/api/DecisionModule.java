package junipercourse.decision.api;

import java.util.List;

/**
 * Receives the events of one dispatcher. The module decides when {@link #decide} is called, after
 * all events of a moment. Times are seconds on the caller's clock, memory is in MB, and work is the
 * time that one thread would take. Calls must come from one thread at a time.
 */
public interface DecisionModule {
    /** Reports an update of the endpoint list. */
    void endpointsChanged(double now, EndpointUpdateKind kind, List<EngineListing> entries);

    /**
     * Reports a new request, which must get exactly one final answer.
     *
     * @throws UnknownQueryClassException if the settings have no such class
     */
    void requestReceived(double now, QueryRequest request);

    /** Reports that a response has begun; the request is bound to this attempt from now on. */
    void responseStarted(double now, RequestId id, int attemptNumber, EngineId engine);

    /** Reports progress of a running attempt. */
    void attemptProgressed(
            double now, RequestId id, int attemptNumber, ProgressKind kind, double value);

    /** Reports the end of an attempt. */
    void attemptEnded(double now, AttemptResult result);

    /** Reports that the client has left or that its time is over. */
    void requestAbandoned(double now, RequestId id);

    /** Reports that a timer set by {@link DispatcherActions#scheduleTimer} has fired. */
    void timerFired(double now, long token);

    /** Reports the result of a load probe; the load report is empty if the probe failed. */
    void probeCompleted(
            double now,
            EngineId engine,
            AttemptOutcome outcome,
            double durationSeconds,
            float[] loadReport);

    /** Reports a message from another dispatcher. */
    void peerMessageReceived(double now, int sender, byte[] payload);

    /** Makes the module decide, after all events of this moment were reported. */
    void decide(double now);
}
