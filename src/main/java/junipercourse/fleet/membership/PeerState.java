package junipercourse.fleet.membership;

/**
 * The state of one member: its greatest record, and what was observed of its current incarnation.
 */
final class PeerState {
    MemberRecord record;
    double statusSince;

    /** Time of its last message; negative infinity if there was none. */
    double lastHeardAt = Double.NEGATIVE_INFINITY;

    /** The digest that it last sent; 0 if none. */
    long digest;

    /** Time at which that digest was received; negative infinity if none. */
    double digestReceivedAt = Double.NEGATIVE_INFINITY;

    /** The digest bucket of its name. */
    final int digestBucket;

    /** The hash that its record contributes to the digest. */
    long recordHash;

    /** While alive: one probe has timed out; if the next one does, it becomes suspect. */
    boolean unresponsive;

    /** Time at which it became unresponsive; probes sent before that are not counted again. */
    double unresponsiveSince;

    /** While suspect: whether the local member shares the suspicion and has to resolve it. */
    boolean suspectedByUs;

    /** While suspect: end of the suspicion timeout. */
    double suspicionDeadline;

    /** While suspect: number of probes by the local member that were not acknowledged. */
    int failedProbes;

    /**
     * While suspect: another member reports it unreachable, so that fewer failed probes suffice.
     */
    boolean reportedUnreachable;

    /** Time of the next probe while unresponsive or suspect, or while its digest differs. */
    double nextProbeAt;

    PeerState(MemberRecord record, int digestBucket, double now) {
        this.record = record;
        this.digestBucket = digestBucket;
        this.statusSince = now;
    }

    /** Replaces the record and resets the state that no longer applies. */
    void update(MemberRecord newRecord, double now) {
        if (newRecord.incarnation() != record.incarnation()) {
            lastHeardAt = Double.NEGATIVE_INFINITY;
            digest = 0;
            digestReceivedAt = Double.NEGATIVE_INFINITY;
            unresponsive = false;
        }
        if (newRecord.incarnation() != record.incarnation()
                || newRecord.status() != record.status()) {
            statusSince = now;
        }
        if (newRecord.status() != record.status()) {
            unresponsive = false;
            suspectedByUs &= newRecord.status() == MemberStatus.SUSPECT;
        }
        record = newRecord;
        reportedUnreachable = false;
    }
}
