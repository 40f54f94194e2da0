package junipercourse.core;

/**
 * The ids of the queries that the processes of one dispatcher hold: open ones, and those that must
 * not be begun again. At most one process holds an id.
 */
public interface QueryIdRegistry {
    /** Returns the registry of a process that has no others beside it: it need not keep any id. */
    static QueryIdRegistry ofSoleProcess() {
        return new QueryIdRegistry() {
            @Override
            public boolean acquire(String id, boolean mayRepeat) {
                return true;
            }

            @Override
            public void release(String id) {
                // nothing is kept
            }
        };
    }

    /**
     * Acquires an id that this process does not hold. Returns false if another one holds it.
     *
     * @param mayRepeat whether the query may be repeated once the process that holds its id has
     *     ended
     */
    boolean acquire(String id, boolean mayRepeat);

    /** Releases an id, if this process has acquired it. */
    void release(String id);
}
