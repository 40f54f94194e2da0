package junipercourse.core;

import java.util.List;

/** Where the one final answer to a query goes; a front implements it. It is called once. */
public interface ResponseHandler {
    /**
     * Whether the client still waits for it, after all that lies there of the client's has been
     * read: its end may have come and not had its turn. May call {@link Gateway#abandon}.
     */
    default boolean isClientWaiting() {
        return true;
    }

    /** All pages of the result, whole rows each, in order. */
    void onServed(List<byte[]> pages);

    /** Trying again is harmless, best after so many seconds. */
    void onRejected(double retryAfterSeconds, String reason);

    /** Failed; nothing is promised about effects. */
    void onFailed(String reason);
}
