package junipercourse.decision.estimation;

/** A token bucket that is full when it is first used. */
public final class TokenBucket {
    private boolean initialized;
    private double tokens;
    private double refilledAt;

    /**
     * Refills the bucket and takes one token.
     *
     * @param tokensPerSecond refill rate
     * @param capacity maximum number of tokens in the bucket
     * @return false if no token was available
     */
    public boolean tryTake(double now, double tokensPerSecond, double capacity) {
        tokens =
                initialized
                        ? Math.min(capacity, tokens + tokensPerSecond * (now - refilledAt))
                        : capacity;
        initialized = true;
        refilledAt = now;
        boolean available = tokens >= 1;
        tokens -= available ? 1 : 0;
        return available;
    }
}
