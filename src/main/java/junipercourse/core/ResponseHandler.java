package junipercourse.core;

import java.util.List;

/**
 * Receives the one final answer to a query. Client protocol handlers implement it; exactly one of
 * the answer methods is called, once.
 */
public interface ResponseHandler {
    /**
     * Returns whether the client still waits for the answer. Reads everything available from the
     * client first, since its disconnection may have arrived without having been handled. May call
     * {@link Gateway#abandon}.
     */
    default boolean isClientWaiting() {
        return true;
    }

    /** Answers with all pages of the result in order, each of complete rows. */
    void onServed(List<byte[]> pages);

    /**
     * Answers that the query was rejected and is safe to retry, preferably after the given time.
     */
    void onRejected(double retryAfterSeconds, String reason);

    /** Answers that the query failed. It may or may not have had effects. */
    void onFailed(String reason);
}
