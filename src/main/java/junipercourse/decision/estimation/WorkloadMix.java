package junipercourse.decision.estimation;

/** Threads and memory of the attempts, weighted by their duration: long ones are met more often. */
public final class WorkloadMix {
    private static final double PRIOR_QUERY_SECONDS = 0.1;
    private static final double PRIOR_THREAD_SECONDS = 0.2;

    private double querySeconds = PRIOR_QUERY_SECONDS;
    private double threadSeconds = PRIOR_THREAD_SECONDS;
    private double mbSeconds;

    /**
     * Adds an attempt.
     *
     * @param weight weight of the new sample
     */
    public void addAttempt(double seconds, int threads, double memoryMb, double weight) {
        querySeconds += seconds - weight * querySeconds;
        threadSeconds += seconds * threads - weight * threadSeconds;
        mbSeconds += seconds * memoryMb - weight * mbSeconds;
    }

    /** Returns the threads of the average query in flight. */
    public double threadsPerQuery() {
        return threadSeconds / querySeconds;
    }

    /** Returns the granted memory per thread, in MB. */
    public double mbPerThread() {
        return mbSeconds / threadSeconds;
    }
}
