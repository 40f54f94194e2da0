package junipercourse.net;

/** A connection attempt in progress. */
public interface Dial {
    /** Cancels the attempt; neither of its callbacks is called. */
    void cancel();

    /** Why a connection attempt failed. */
    enum Failure {
        REFUSED,
        TIMED_OUT
    }
}
