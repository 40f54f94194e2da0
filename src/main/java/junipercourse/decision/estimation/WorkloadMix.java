package junipercourse.decision.estimation;

/**
 * Average threads and memory of attempts, weighted by their duration, since long attempts make up
 * more of the queries in flight.
 */
public final class WorkloadMix {
    private static final double PRIOR_QUERY_SECONDS = 0.1;
    private static final double PRIOR_THREAD_SECONDS = 0.2;

    private double querySeconds = PRIOR_QUERY_SECONDS;
    private double threadSeconds = PRIOR_THREAD_SECONDS;
    private double mbSeconds;

    /**
     * Adds an attempt.
     *
     * @param weight weight of the attempt in the mean
     */
    public void addAttempt(double seconds, int threads, double memoryMb, double weight) {
        querySeconds += seconds - weight * querySeconds;
        threadSeconds += seconds * threads - weight * threadSeconds;
        mbSeconds += seconds * memoryMb - weight * mbSeconds;
    }

    /** Returns the average threads per query in flight. */
    public double threadsPerQuery() {
        return threadSeconds / querySeconds;
    }

    /** Returns the average memory granted per thread in flight, in MB. */
    public double mbPerThread() {
        return mbSeconds / threadSeconds;
    }
}
