package junipercourse.fleet.transport;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Limits the rate per address and in total by token buckets that hold one second's amount. At most
 * {@link #MAX_ADDRESSES} addresses are remembered; the least recently used one is evicted and would
 * start with a full bucket again, which the total limit still bounds. Times are in seconds.
 */
final class RateLimiter {
    static final int MAX_ADDRESSES = 2048;
    private final double ratePerAddress;
    private final Bucket totalBucket;
    private final Map<Object, Bucket> buckets =
            new LinkedHashMap<>(64, 0.75f, true) {
                private static final long serialVersionUID = 1;

                @Override
                protected boolean removeEldestEntry(Map.Entry<Object, Bucket> eldest) {
                    return size() > MAX_ADDRESSES;
                }
            };

    /**
     * Creates a limiter.
     *
     * @param perAddress amount per second for each address, above 0
     * @param total amount per second in total, above 0
     */
    RateLimiter(double perAddress, double total) {
        if (!(perAddress > 0) || !(total > 0)) {
            throw new IllegalArgumentException("rates must be above 0");
        }
        this.ratePerAddress = perAddress;
        this.totalBucket = new Bucket(total);
    }

    /**
     * Takes an amount if both limits allow it now. An amount beyond an address's limit uses nothing
     * of the total.
     */
    boolean tryTake(Object address, double amount, double now) {
        Bucket addressBucket = buckets.computeIfAbsent(address, key -> new Bucket(ratePerAddress));
        return addressBucket.hasTokens(amount, now)
                && totalBucket.hasTokens(amount, now)
                && addressBucket.take(amount)
                && totalBucket.take(amount);
    }

    /** A token bucket that holds one second's amount. */
    private static final class Bucket {
        private final double tokensPerSecond;
        private double tokens;
        private double refilledAt = Double.NEGATIVE_INFINITY;

        Bucket(double perSecond) {
            this.tokensPerSecond = perSecond;
        }

        boolean hasTokens(double amount, double now) {
            tokens =
                    Math.min(
                            tokensPerSecond,
                            tokens + Math.max(0, now - refilledAt) * tokensPerSecond);
            refilledAt = Math.max(refilledAt, now);
            return tokens >= amount;
        }

        boolean take(double amount) {
            tokens -= amount;
            return true;
        }
    }
}
