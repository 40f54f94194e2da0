package junipercourse.fleet.membership;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * The known members, each with its greatest record, and tombstones of removed ones that outrank
 * delayed records. Records only grow in their order; bounded by {@link
 * MembershipSettings#maxMembers} and {@link MembershipSettings#maxTombstones}.
 */
final class MemberTable {
    /** Members that {@link #allDigestsMatch} examines if there are more. */
    static final int AGREEMENT_SAMPLE_SIZE = 24;

    /** Largest age of a digest in that sample. */
    static final double AGREEMENT_SAMPLE_SECONDS = 2.5;

    private final MembershipSettings settings;
    private final TreeMap<String, PeerState> peers = new TreeMap<>();
    private final Map<String, MemberRecord> tombstones = new LinkedHashMap<>();
    private final MembershipDigest digest = new MembershipDigest();
    private int presentCount;

    /** Set by tests only: merges records that are older than the known ones. */
    boolean acceptStaleRecords;

    /** What became of a record. */
    enum MergeResult {
        /** A greater record is known. */
        STALE,
        /** The record is known. */
        UNCHANGED,
        /** It is the greatest record now, and the digest shows the change. */
        DIGEST_CHANGED,
        /** It is the greatest record now; the digest does not show the change. */
        CHANGED,
        /** The table has no capacity for another member. */
        TABLE_FULL
    }

    MemberTable(MembershipSettings settings) {
        this.settings = settings;
    }

    /** Returns a member; null if it is unknown. */
    PeerState find(String name) {
        return peers.get(name);
    }

    /** Returns all members, sorted by name. */
    Iterable<PeerState> peers() {
        return peers.values();
    }

    /** Returns the number of members. */
    int size() {
        return peers.size();
    }

    /** Returns the members that are neither unreachable nor left. */
    int presentCount() {
        return presentCount;
    }

    /** Returns a random member that meets a condition; null if there is none. */
    PeerState randomMatching(UniformRandomProvider random, Predicate<MemberRecord> condition) {
        PeerState drawn = null;
        int count = 0;
        for (PeerState peer : peers.values()) {
            if (condition.test(peer.record) && random.nextInt(++count) == 0) {
                drawn = peer;
            }
        }
        return drawn;
    }

    /**
     * Returns true if every present member but {@code self} last sent our digest. In a fleet of
     * over {@link #AGREEMENT_SAMPLE_SIZE} others, every one that was heard recently must agree, and
     * at least that many: to hear all of them would take messages between every pair of members.
     */
    boolean allDigestsMatch(String self, double now) {
        long ownDigest = digest();
        boolean allMustAgree = presentCount - 1 <= AGREEMENT_SAMPLE_SIZE;
        int agreeing = 0;
        for (PeerState peer : peers.values()) {
            if (!peer.record.isPresent() || peer.record.name().equals(self)) {
                continue;
            }
            boolean fresh = now - peer.digestReceivedAt <= AGREEMENT_SAMPLE_SECONDS;
            if (peer.digest != ownDigest && (allMustAgree || fresh)) {
                return false;
            }
            agreeing += fresh && peer.digest == ownDigest ? 1 : 0;
        }
        return allMustAgree || agreeing >= AGREEMENT_SAMPLE_SIZE;
    }

    /** Returns all members as a snapshot shows them. */
    List<MembershipSnapshot.MemberView> snapshotMembers() {
        List<MembershipSnapshot.MemberView> seen = new ArrayList<>(peers.size());
        for (PeerState peer : peers.values()) {
            seen.add(
                    new MembershipSnapshot.MemberView(
                            peer.record, peer.statusSince, peer.lastHeardAt));
        }
        return seen;
    }

    /** Returns the greatest record of a name, tombstones included; null if there is none. */
    MemberRecord latestRecord(String name) {
        PeerState peer = peers.get(name);
        return peer != null ? peer.record : tombstones.get(name);
    }

    /** Takes over a record if it is greater than the known one. */
    MergeResult merge(MemberRecord next, double now) {
        MemberRecord known = latestRecord(next.name());
        int order = known == null ? 1 : next.compareTo(known);
        if (order <= 0 && !(acceptStaleRecords && order < 0)) {
            return order < 0 ? MergeResult.STALE : MergeResult.UNCHANGED;
        }
        PeerState peer = peers.get(next.name());
        long before = digest.value();
        if (next.isTombstone() || peer == null && next.status() == MemberStatus.LEFT) {
            addTombstone(next);
            return before == digest.value() ? MergeResult.CHANGED : MergeResult.DIGEST_CHANGED;
        }
        if (peer == null && peers.size() >= settings.maxMembers() && !evictOneThatLeft()) {
            return MergeResult.TABLE_FULL;
        }
        if (peer == null) {
            tombstones.remove(next.name());
            peer = new PeerState(next, MembershipDigest.bucketOf(next.name()), now);
            peers.put(next.name(), peer);
        } else {
            remove(peer);
            peer.update(next, now);
        }
        presentCount += next.isPresent() ? 1 : 0;
        digest.add(peer);
        return before == digest.value() ? MergeResult.CHANGED : MergeResult.DIGEST_CHANGED;
    }

    private void remove(PeerState peer) {
        presentCount -= peer.record.isPresent() ? 1 : 0;
        digest.remove(peer);
    }

    private void addTombstone(MemberRecord record) {
        PeerState removed = peers.remove(record.name());
        if (removed != null) {
            remove(removed);
        }
        tombstones.remove(record.name());
        tombstones.put(record.name(), record);
        if (tombstones.size() > settings.maxTombstones()) {
            Iterator<String> oldest = tombstones.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
    }

    private boolean evictOneThatLeft() {
        for (PeerState peer : peers.values()) {
            if (peer.record.status() == MemberStatus.LEFT) {
                addTombstone(peer.record);
                return true;
            }
        }
        return false;
    }

    /** Returns tombstones for the members whose time is over, to be merged and disseminated. */
    List<MemberRecord> expiredRecords(double now) {
        List<MemberRecord> due = new ArrayList<>();
        for (PeerState peer : peers.values()) {
            double after =
                    peer.record.status() == MemberStatus.LEFT
                            ? settings.forgetLeft()
                            : peer.record.status() == MemberStatus.UNREACHABLE
                                    ? settings.forgetUnreachable()
                                    : Double.MAX_VALUE;
            if (now - peer.statusSince > after) {
                due.add(peer.record.with(peer.record.version() | 1));
            }
        }
        return due;
    }

    /**
     * Returns what a member with these bucket digests must learn: all records of each bucket that
     * differs, tombstones included, since it may still list those members.
     */
    List<MemberRecord> differingRecords(List<Integer> theirBuckets) {
        Predicate<String> differs = digest.differsFrom(theirBuckets);
        List<MemberRecord> differing = new ArrayList<>();
        for (PeerState peer : peers.values()) {
            if (differs.test(peer.record.name())) {
                differing.add(peer.record);
            }
        }
        for (MemberRecord tombstone : tombstones.values()) {
            if (differs.test(tombstone.name())) {
                differing.add(tombstone);
            }
        }
        return differing;
    }

    /** Returns the digest that members compare. */
    MembershipDigest membershipDigest() {
        return digest;
    }

    /** Returns the digest over all members; never 0. */
    long digest() {
        return digest.value();
    }
}
