package junipercourse.fleet.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Updates to piggyback on outgoing messages, each a limited number of times. Updates by which
 * members describe themselves (new incarnations, refutations, leaves) go before those that others
 * created (suspicions, unreachability); within each group the least transmitted go first.
 */
final class DisseminationQueue {
    private final Map<String, Update> updates = new LinkedHashMap<>();

    /** A record and its number of remaining transmissions. */
    private static final class Update implements Comparable<Update> {
        private final MemberRecord record;

        /** Whether a member other than its subject created the record. */
        private final boolean createdByOthers;

        /** Whether the update changed the digest: then a peer with our digest already has it. */
        private final boolean coveredByDigest;

        private int transmissionsLeft;

        Update(MemberRecord record, boolean coveredByDigest, int transmissionsLeft) {
            this.record = record;
            this.createdByOthers =
                    record.status() == MemberStatus.SUSPECT
                            || record.status() == MemberStatus.UNREACHABLE;
            this.coveredByDigest = coveredByDigest;
            this.transmissionsLeft = transmissionsLeft;
        }

        @Override
        public int compareTo(Update other) {
            int order = Boolean.compare(createdByOthers, other.createdByOthers);
            return order == 0 ? Integer.compare(other.transmissionsLeft, transmissionsLeft) : order;
        }
    }

    /**
     * Queues a record. A later record of the same name replaces the queued one.
     *
     * @param coveredByDigest whether the update changed our digest
     * @param transmissions how many times it is to be transmitted
     */
    void add(MemberRecord record, boolean coveredByDigest, int transmissions) {
        Update queued = updates.get(record.name());
        if (queued == null
                || queued.transmissionsLeft < transmissions
                || queued.record.compareTo(record) < 0) {
            updates.put(record.name(), new Update(record, coveredByDigest, transmissions));
        }
    }

    /** Drops all updates. */
    void clear() {
        updates.clear();
    }

    /** Drops the updates that are covered by the digest; called when all peers have our digest. */
    void dropCoveredByDigest() {
        updates.values().removeIf(update -> update.coveredByDigest);
    }

    /**
     * Adds updates to a message and counts them as transmitted.
     *
     * @param records the message's records, to which updates are added
     * @param maxRecords maximum number of records in the message
     * @param availableBytes maximum number of bytes to add
     * @param peerHasSameDigest whether the peer has our digest, so that it needs only updates that
     *     the digest does not cover
     * @return whether any update was added
     */
    boolean piggyback(
            List<MemberRecord> records,
            int maxRecords,
            int availableBytes,
            boolean peerHasSameDigest) {
        if (updates.isEmpty() || availableBytes <= 0) {
            return false;
        }
        int initialSize = records.size();
        int usedBytes = 0;
        for (MemberRecord record : records) {
            usedBytes += record.encodedSize();
        }
        int maxBytes = Math.min(GossipMessage.MAX_RECORD_BYTES, usedBytes + availableBytes);
        List<Update> sorted = new ArrayList<>(updates.values());
        Collections.sort(sorted);
        for (Update update : sorted) {
            if (records.size() >= maxRecords) {
                break;
            }
            if (!(peerHasSameDigest && update.coveredByDigest)
                    && usedBytes + update.record.encodedSize() <= maxBytes
                    && !records.contains(update.record)) {
                usedBytes += update.record.encodedSize();
                records.add(update.record);
                update.transmissionsLeft--;
            }
        }
        for (Iterator<Update> iterator = updates.values().iterator(); iterator.hasNext(); ) {
            if (iterator.next().transmissionsLeft <= 0) {
                iterator.remove();
            }
        }
        return records.size() > initialSize;
    }
}
