package junipercourse.fleet.membership;

/**
 * Merges records into the member table, disseminates changes, and responds to records of the local
 * name.
 */
final class RecordMerger {
    private static final double TABLE_FULL_LOG_INTERVAL_SECONDS = 60;

    private final MembershipSettings settings;
    private final MemberTable memberTable;
    private final DisseminationQueue dissemination;
    private final MessageSender sender;
    private final FailureDetector failureDetector;
    private final LocalIncarnation localIncarnation;
    private final MembershipListener listener;
    private double nextTableFullLogAt = Double.NEGATIVE_INFINITY;

    private boolean changed;

    RecordMerger(
            MembershipSettings settings,
            MemberTable memberTable,
            DisseminationQueue dissemination,
            MessageSender sender,
            FailureDetector failureDetector,
            LocalIncarnation localIncarnation,
            MembershipListener listener) {
        this.settings = settings;
        this.memberTable = memberTable;
        this.dissemination = dissemination;
        this.sender = sender;
        this.failureDetector = failureDetector;
        this.localIncarnation = localIncarnation;
        this.listener = listener;
    }

    /** Returns whether any record has changed since the last call. */
    boolean getAndClearChanged() {
        boolean wasChanged = changed;
        changed = false;
        return wasChanged;
    }

    /** Merges the latest record of the local member. */
    void mergeLocal(MemberRecord localRecord, double now) {
        MemberTable.MergeResult result = memberTable.merge(localRecord, now);
        dissemination.add(
                localRecord,
                result == MemberTable.MergeResult.DIGEST_CHANGED,
                settings.transmissions(memberTable.presentCount()));
        changed = true;
    }

    /** Merges a record that was received. */
    void mergeReceived(MemberRecord received, double now) {
        if (received.name().equals(sender.localRecord().name())) {
            if (!localIncarnation.isActive()) {
                localIncarnation.handleRecord(received);
                MemberTable.MergeResult result = memberTable.merge(received, now);
                changed |=
                        result == MemberTable.MergeResult.DIGEST_CHANGED
                                || result == MemberTable.MergeResult.CHANGED;
            } else if (received.compareTo(sender.localRecord()) > 0) {
                handleGreaterLocalRecord(received, now);
            }
            return;
        }
        MemberRecord record = received;
        PeerState peer = memberTable.find(received.name());
        boolean reportedUnreachable =
                received.status() == MemberStatus.UNREACHABLE
                        && !received.isTombstone()
                        && peer != null
                        && peer.record.isPresent()
                        && peer.record.incarnation() == received.incarnation()
                        && received.compareTo(peer.record) > 0;
        if (reportedUnreachable) { // we confirm that by our own probes first
            record = received.with(MemberStatus.SUSPECT);
        }
        merge(record, !reportedUnreachable, now);
        if (reportedUnreachable) {
            failureDetector.handleUnreachableReport(peer, now);
        }
    }

    /** Merges a record and disseminates it if it is a change and {@code disseminate} is set. */
    void merge(MemberRecord record, boolean disseminate, double now) {
        MemberTable.MergeResult result = memberTable.merge(record, now);
        if (result == MemberTable.MergeResult.DIGEST_CHANGED
                || result == MemberTable.MergeResult.CHANGED) {
            changed = true;
            if (disseminate) {
                dissemination.add(
                        record,
                        result == MemberTable.MergeResult.DIGEST_CHANGED,
                        settings.transmissions(memberTable.presentCount()));
            }
            if (record.status() == MemberStatus.SUSPECT) {
                failureDetector.startSuspicion(memberTable.find(record.name()), now);
            }
        } else if (result == MemberTable.MergeResult.STALE) {
            dissemination.add(memberTable.latestRecord(record.name()), false, 1);
        } else if (result == MemberTable.MergeResult.TABLE_FULL && now >= nextTableFullLogAt) {
            nextTableFullLogAt = now + TABLE_FULL_LOG_INTERVAL_SECONDS;
            listener.log(
                    "members: "
                            + settings.maxMembers()
                            + " are known, the maximum; rejected "
                            + record.memberId());
        }
    }

    private void handleGreaterLocalRecord(MemberRecord received, double now) {
        MemberRecord newLocalRecord = localIncarnation.refuteOrYield(received, now);
        if (newLocalRecord != null) {
            mergeLocal(newLocalRecord, now);
        } else {
            dissemination.clear();
            memberTable.merge(received, now);
            changed = true;
        }
    }
}
