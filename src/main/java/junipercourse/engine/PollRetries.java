package junipercourse.engine;

/** Counts the consecutive failed polls of an attempt, and says when the next one is made. */
final class PollRetries {
    private static final double RETRY_SECONDS = 0.1;
    private static final double FIRST_RETRY_SECONDS = 0.01;

    /** Consecutive failed calls before the engine has first responded. */
    private static final int MAX_INITIAL_FAILURES = 4;

    /** Consecutive failed calls after that. */
    private static final int MAX_FAILURES = 12;

    private int failures;

    void recordFailure() {
        failures++;
    }

    void recordSuccess() {
        failures = 0;
    }

    boolean areExhausted(boolean hasEngineResponded) {
        return failures >= (hasEngineResponded ? MAX_FAILURES : MAX_INITIAL_FAILURES);
    }

    /** Seconds until the next poll; the first one lets a POST before it arrive. */
    double delaySeconds(boolean hasEngineResponded, double deliverySeconds) {
        if (failures > 1) {
            return RETRY_SECONDS;
        }
        return hasEngineResponded ? FIRST_RETRY_SECONDS : deliverySeconds;
    }
}
