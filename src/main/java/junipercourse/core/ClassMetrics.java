package junipercourse.core;

/**
 * Counts answers and attempts by query class, for operators (DAYS, numbers). Each event is counted
 * at the one place where it happens. Counts start at 0 with the process.
 */
public final class ClassMetrics {
    private final long[] served;
    private final long[] rejected;
    private final long[] failed;
    private final long[] attempts;

    ClassMetrics(int classCount) {
        served = new long[classCount];
        rejected = new long[classCount];
        failed = new long[classCount];
        attempts = new long[classCount];
    }

    void recordServed(int queryClass) {
        served[queryClass]++;
    }

    void recordRejected(int queryClass) {
        rejected[queryClass]++;
    }

    void recordFailed(int queryClass) {
        failed[queryClass]++;
    }

    void recordAttempt(int queryClass) {
        attempts[queryClass]++;
    }

    /** Returns the number of queries answered with their complete result. */
    public long servedCount(int queryClass) {
        return served[queryClass];
    }

    /** Returns the number of queries rejected, which are safe to retry. */
    public long rejectedCount(int queryClass) {
        return rejected[queryClass];
    }

    /** Returns the number of queries answered as failed. */
    public long failedCount(int queryClass) {
        return failed[queryClass];
    }

    /** Returns the number of attempts whose POST request was written completely to an engine. */
    public long attemptCount(int queryClass) {
        return attempts[queryClass];
    }
}
