package junipercourse.core;

/**
 * What operators' staff are told of each class (DAYS, numbers): each count is made at the one place
 * where it happens. Counts start at 0 with the process.
 */
public final class ClassMetrics {
    private final long[] passed;
    private final long[] dropped;
    private final long[] failed;
    private final long[] tries;

    ClassMetrics(int classes) {
        passed = new long[classes];
        dropped = new long[classes];
        failed = new long[classes];
        tries = new long[classes];
    }

    void passed(int queryClass) {
        passed[queryClass]++;
    }

    void dropped(int queryClass) {
        dropped[queryClass]++;
    }

    void failed(int queryClass) {
        failed[queryClass]++;
    }

    void tried(int queryClass) {
        tries[queryClass]++;
    }

    /** Requests served whole. */
    public long servedCount(int queryClass) {
        return passed[queryClass];
    }

    /** Requests refused: trying again is harmless. */
    public long rejectedCount(int queryClass) {
        return dropped[queryClass];
    }

    /** Requests answered as failed. */
    public long failedCount(int queryClass) {
        return failed[queryClass];
    }

    /** Attempts whose POST was written whole to an engine. */
    public long attemptCount(int queryClass) {
        return tries[queryClass];
    }
}
