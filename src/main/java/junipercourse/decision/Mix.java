package junipercourse.decision;

/** Threads and memory of what is out, weighed by time: what runs long is met more often. */
final class Mix {
    private double querySeconds = 0.1, threadSeconds = 0.2, mbSeconds;

    void add(double time, int threads, double mb, double gain) {
        querySeconds += time - gain * querySeconds;
        threadSeconds += time * threads - gain * threadSeconds;
        mbSeconds += time * mb - gain * mbSeconds;
    }

    double threadsEach() {
        return threadSeconds / querySeconds;
    }

    double mbPerThread() {
        return mbSeconds / threadSeconds;
    }
}
