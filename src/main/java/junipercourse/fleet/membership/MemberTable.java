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
 * The known members, each with its greatest record, and tombstones of removed members, which are
 * greater than delayed records. A record is only replaced by a greater one. The size is limited by
 * {@link MembershipSettings#maxMembers} and {@link MembershipSettings#maxTombstones}.
 */
final class MemberTable {
    /** Number of matching digests that {@link #allDigestsMatch} requires in a larger fleet. */
    static final int AGREEMENT_SAMPLE_SIZE = 24;

    /** Maximum age of a digest in that sample. */
    static final double AGREEMENT_SAMPLE_SECONDS = 2.5;

    private final MembershipSettings settings;
    private final TreeMap<String, PeerState> peers = new TreeMap<>();
    private final Map<String, MemberRecord> tombstones = new LinkedHashMap<>();
    private final MembershipDigest digest = new MembershipDigest();
    private int presentCount;

    /** Set by tests only: merges records that are older than the known ones. */
    boolean acceptStaleRecords;

    /** The result of merging a record. */
    enum MergeResult {
        /** A greater record is already known. */
        STALE,
        /** The same record is already known. */
        UNCHANGED,
        /** The record was stored, and the digest has changed. */
        DIGEST_CHANGED,
        /** The record was stored; the digest is the same. */
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
        PeerState selected = null;
        int matches = 0;
        for (PeerState peer : peers.values()) {
            if (condition.test(peer.record) && random.nextInt(++matches) == 0) {
                selected = peer;
            }
        }
        return selected;
    }

    /**
     * Returns true if every present member but the local one last sent our digest. In a fleet of
     * over {@link #AGREEMENT_SAMPLE_SIZE} others, all recent digests must match, and there must be
     * at least that many: recent digests of all would take messages between every pair of members.
     */
    boolean allDigestsMatch(String localName, double now) {
        long ownDigest = digest();
        boolean allMustMatch = presentCount - 1 <= AGREEMENT_SAMPLE_SIZE;
        int matching = 0;
        for (PeerState peer : peers.values()) {
            if (!peer.record.isPresent() || peer.record.name().equals(localName)) {
                continue;
            }
            boolean isFresh = now - peer.digestReceivedAt <= AGREEMENT_SAMPLE_SECONDS;
            if (peer.digest != ownDigest && (allMustMatch || isFresh)) {
                return false;
            }
            matching += isFresh && peer.digest == ownDigest ? 1 : 0;
        }
        return allMustMatch || matching >= AGREEMENT_SAMPLE_SIZE;
    }

    /** Returns views of all members for a snapshot. */
    List<MembershipSnapshot.MemberView> snapshotMembers() {
        List<MembershipSnapshot.MemberView> views = new ArrayList<>(peers.size());
        for (PeerState peer : peers.values()) {
            views.add(
                    new MembershipSnapshot.MemberView(
                            peer.record, peer.statusSince, peer.lastHeardAt));
        }
        return views;
    }

    /** Returns the greatest record of a name, tombstones included; null if there is none. */
    MemberRecord latestRecord(String name) {
        PeerState peer = peers.get(name);
        return peer != null ? peer.record : tombstones.get(name);
    }

    /** Stores a record if it is greater than the known one. */
    MergeResult merge(MemberRecord newRecord, double now) {
        MemberRecord knownRecord = latestRecord(newRecord.name());
        int order = knownRecord == null ? 1 : newRecord.compareTo(knownRecord);
        if (order <= 0 && !(acceptStaleRecords && order < 0)) {
            return order < 0 ? MergeResult.STALE : MergeResult.UNCHANGED;
        }
        PeerState peer = peers.get(newRecord.name());
        long previousDigest = digest.value();
        if (newRecord.isTombstone() || peer == null && newRecord.status() == MemberStatus.LEFT) {
            addTombstone(newRecord);
            return previousDigest == digest.value()
                    ? MergeResult.CHANGED
                    : MergeResult.DIGEST_CHANGED;
        }
        if (peer == null && peers.size() >= settings.maxMembers() && !evictLeftMember()) {
            return MergeResult.TABLE_FULL;
        }
        if (peer == null) {
            tombstones.remove(newRecord.name());
            peer = new PeerState(newRecord, MembershipDigest.bucketOf(newRecord.name()), now);
            peers.put(newRecord.name(), peer);
        } else {
            removeFromTotals(peer);
            peer.update(newRecord, now);
        }
        presentCount += newRecord.isPresent() ? 1 : 0;
        digest.add(peer);
        return previousDigest == digest.value() ? MergeResult.CHANGED : MergeResult.DIGEST_CHANGED;
    }

    private void removeFromTotals(PeerState peer) {
        presentCount -= peer.record.isPresent() ? 1 : 0;
        digest.remove(peer);
    }

    private void addTombstone(MemberRecord record) {
        PeerState removed = peers.remove(record.name());
        if (removed != null) {
            removeFromTotals(removed);
        }
        tombstones.remove(record.name());
        tombstones.put(record.name(), record);
        if (tombstones.size() > settings.maxTombstones()) {
            Iterator<String> oldest = tombstones.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
    }

    private boolean evictLeftMember() {
        for (PeerState peer : peers.values()) {
            if (peer.record.status() == MemberStatus.LEFT) {
                addTombstone(peer.record);
                return true;
            }
        }
        return false;
    }

    /** Returns tombstones to merge and disseminate for members whose retention time is over. */
    List<MemberRecord> expiryTombstones(double now) {
        List<MemberRecord> expired = new ArrayList<>();
        for (PeerState peer : peers.values()) {
            double retentionSeconds =
                    peer.record.status() == MemberStatus.LEFT
                            ? settings.forgetLeft()
                            : peer.record.status() == MemberStatus.UNREACHABLE
                                    ? settings.forgetUnreachable()
                                    : Double.MAX_VALUE;
            if (now - peer.statusSince > retentionSeconds) {
                expired.add(peer.record.with(peer.record.version() | 1));
            }
        }
        return expired;
    }

    /**
     * Returns the records that a peer with these bucket digests may lack: all records of each
     * bucket that differs, tombstones included, since the peer may still list those members.
     */
    List<MemberRecord> differingRecords(List<Integer> peerBucketDigests) {
        Predicate<String> differs = digest.differsFrom(peerBucketDigests);
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
