package junipercourse.decision.api;

/**
 * Describes the end of an attempt.
 *
 * @param id the request
 * @param attempt the attempt's number, from 0
 * @param engine the engine that it was sent to
 * @param outcome how it ended
 * @param duration seconds that it took
 * @param requestCompleted whether the client has its final answer
 * @param actualCost work in seconds of one thread; 0 if not reported
 * @param actualMemoryMb memory in MB; 0 if not reported
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
