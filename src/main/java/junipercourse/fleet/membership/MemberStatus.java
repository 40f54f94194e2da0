package junipercourse.fleet.membership;

/**
 * The status of a member. No status means that the process has stopped: silence proves only that no
 * messages arrive from it.
 */
public enum MemberStatus {
    /** Messages arrive from it, here or at a member that reported so. */
    ALIVE,
    /** It missed probes; it can refute the suspicion until the suspicion timeout. */
    SUSPECT,
    /** It did not refute the suspicion in time. It may still be running. */
    UNREACHABLE,
    /** It has announced the end of this incarnation. */
    LEFT
}
