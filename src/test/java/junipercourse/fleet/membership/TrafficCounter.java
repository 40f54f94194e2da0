package junipercourse.fleet.membership;

/**
 * Counts datagrams and bytes in one direction since the last {@link #reset}: in all, and the bytes
 * of the busiest second.
 */
final class TrafficCounter {
    long datagrams;
    long bytes;
    private long currentSecond = Long.MIN_VALUE;
    private long bytesInCurrentSecond;
    private long maxBytesInASecond;

    void add(double now, int size) {
        datagrams++;
        bytes += size;
        long second = (long) Math.floor(now);
        if (second != currentSecond) {
            currentSecond = second;
            bytesInCurrentSecond = 0;
        }
        bytesInCurrentSecond += size;
        maxBytesInASecond = Math.max(maxBytesInASecond, bytesInCurrentSecond);
    }

    void reset() {
        datagrams = 0;
        bytes = 0;
        currentSecond = Long.MIN_VALUE;
        maxBytesInASecond = 0;
    }

    /** Maximum of bytes within a whole second of the clock. */
    long maxBytesInASecond() {
        return maxBytesInASecond;
    }
}
