package junipercourse.fleet.membership;

/** Faults that tests inject; their invariant checks must detect each of them. */
enum InjectedFault {
    /** No fault. */
    NONE,
    /** A member begins with an incarnation that was used before. */
    REUSED_INCARNATION,
    /** A member ignores its own stalls and blames the silence on its peers. */
    LOCAL_STALL_IGNORED,
    /** Members merge records that are older than the known ones. */
    STALE_RECORDS_ACCEPTED
}
