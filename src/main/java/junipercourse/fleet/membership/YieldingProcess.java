package junipercourse.fleet.membership;

/** Tracks another process that uses the local member's name and has yielded to it. */
final class YieldingProcess {
    private static final double RECENT_SECONDS = 10;

    private final MembershipListener listener;
    private MemberRecord record;
    private double lastHeardAt;

    YieldingProcess(MembershipListener listener) {
        this.listener = listener;
    }

    /** Records that the process was heard; logs it unless it was heard recently. */
    void recordHeard(MemberRecord other, MemberRecord local, double now) {
        if (recentRecord(now) == null) {
            listener.log(
                    "another process at "
                            + other.address()
                            + " uses our name; "
                            + local.memberId()
                            + " keeps the name");
        }
        record = other;
        lastHeardAt = now;
    }

    /** Returns the record of the process if it was heard recently; null otherwise. */
    MemberRecord recentRecord(double now) {
        return now - lastHeardAt < RECENT_SECONDS ? record : null;
    }
}
