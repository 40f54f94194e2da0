package junipercourse.decision.api;

import java.util.List;

/**
 * Receives the events of one dispatcher and decides where and when its requests run. Decisions are
 * made only in {@link #decide}, which the caller calls after it has reported a batch of events.
 * Times are in seconds on the caller's clock, memory is in MB, and work is in seconds of one
 * thread. The module is not thread-safe: calls must not overlap.
 */
public interface DecisionModule {
    /** Reports an update of the endpoint list. */
    void endpointsChanged(double now, EndpointUpdateKind kind, List<EngineListing> entries);

    /**
     * Reports a new request. The module gives it exactly one final answer.
     *
     * @throws UnknownQueryClassException if the settings do not contain the class of the request
     */
    void requestReceived(double now, QueryRequest request);

    /**
     * Reports that a response has begun. The request can no longer be retried or restarted: this
     * attempt completes it.
     */
    void responseStarted(double now, RequestId id, int attemptNumber, EngineId engine);

    /** Reports progress of a running attempt. */
    void attemptProgressed(
            double now, RequestId id, int attemptNumber, ProgressKind kind, double value);

    /** Reports that an attempt has ended. */
    void attemptEnded(double now, AttemptResult result);

    /** Reports that the client has disconnected or that its deadline has passed. */
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

    /** Evaluates all requests that are due and sends attempts. Called after a batch of events. */
    void decide(double now);
}
