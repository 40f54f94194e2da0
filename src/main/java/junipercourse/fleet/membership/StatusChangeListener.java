package junipercourse.fleet.membership;

/** Receives the status changes that failure detection decides. */
interface StatusChangeListener {
    /** Merges and disseminates a record with the new status. */
    void accept(MemberRecord record);
}
