package junipercourse.decision.api;

/**
 * Describes how an attempt ended.
 *
 * @param id the request
 * @param attemptNumber number of the attempt within the request, from 0
 * @param engine the engine that it was sent to
 * @param outcome how it ended
 * @param durationSeconds how long it took
 * @param requestCompleted whether the client has received its final answer
 * @param actualCost work that the engine reports, in seconds of one thread; 0 if not reported
 * @param actualMemoryMb memory that the engine reports, in MB; 0 if not reported
 * @param loadReport the engine's load report; empty if there is none
 */
public record AttemptResult(
        RequestId id,
        int attemptNumber,
        EngineId engine,
        AttemptOutcome outcome,
        double durationSeconds,
        boolean requestCompleted,
        double actualCost,
        double actualMemoryMb,
        float[] loadReport) {}
