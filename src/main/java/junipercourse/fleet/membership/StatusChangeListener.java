package junipercourse.fleet.membership;

/** Receives what failure detection concludes about members. */
interface StatusChangeListener {
    /** Merges and disseminates a record. */
    void accept(MemberRecord verdict);
}
