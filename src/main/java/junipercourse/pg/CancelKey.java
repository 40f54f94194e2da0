package junipercourse.pg;

/** The key with which a client cancels the query of a session: its process id and its secret. */
public record CancelKey(int processId, int secret) {
    /** Returns the key that {@link #toLong} has packed. */
    public static CancelKey fromLong(long packed) {
        return new CancelKey((int) (packed >>> Integer.SIZE), (int) packed);
    }

    /** Packs the key into one word. */
    public long toLong() {
        return (long) processId << Integer.SIZE | Integer.toUnsignedLong(secret);
    }
}
