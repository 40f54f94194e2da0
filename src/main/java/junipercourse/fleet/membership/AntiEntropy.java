package junipercourse.fleet.membership;

import java.util.ArrayList;
import java.util.List;
import junipercourse.fleet.membership.GossipMessage.Kind;
import junipercourse.fleet.membership.SendBudget.MessagePriority;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Anti-entropy between members. A member whose digest differs from a peer's sends the peer its
 * bucket digests; the peer responds with its records of the buckets that differ, as many as one
 * datagram and its send budget allow. Synchronization is pull-only: each side requests what it
 * lacks.
 */
final class AntiEntropy {
    /** Maximum number of records in a response to a member that knows no other members yet. */
    private static final int MAX_RECORDS_TO_JOINING_MEMBER = 8;

    private final MembershipSettings settings;
    private final MemberTable memberTable;
    private final MessageSender sender;
    private final UniformRandomProvider random;
    private long requestSequence;
    private double nextRequestAt;

    /** Number of members that the peer knows, estimated from the last incomplete response. */
    private int estimatedPeerMembers;

    AntiEntropy(
            MembershipSettings settings,
            MemberTable memberTable,
            MessageSender sender,
            UniformRandomProvider random) {
        this.settings = settings;
        this.memberTable = memberTable;
        this.sender = sender;
        this.random = random;
    }

    /** Sends a {@code SYNC_REQUEST} to a peer whose digest differs from ours, if one is due. */
    void requestDifferingRecords(PeerState peer, double now) {
        if (now < nextRequestAt) {
            return;
        }
        long sequence = sender.nextSequence();
        boolean knowsFewMembers = memberTable.size() < estimatedPeerMembers / 2;
        List<Integer> bucketDigests =
                memberTable
                        .membershipDigest()
                        .bucketDigests(Math.max(memberTable.size(), estimatedPeerMembers));
        if (sender.sendToAddress(
                peer.record.address(),
                new MessageContent(Kind.SYNC_REQUEST, sequence, "", List.of(), 0, bucketDigests),
                knowsFewMembers ? MessagePriority.PROBE : MessagePriority.ANTI_ENTROPY)) {
            requestSequence = sequence;
            nextRequestAt = now + settings.syncInterval();
        }
    }

    /** Handles a response; if it is incomplete, the next differing peer is asked without delay. */
    void handleResponse(GossipMessage response) {
        if (response.sequence() == requestSequence && response.pageCount() > 1) {
            nextRequestAt = Double.NEGATIVE_INFINITY;
            estimatedPeerMembers =
                    Math.min(
                            settings.maxMembers(),
                            response.pageCount() * response.records().size());
        }
    }

    /** Responds to a request; if it names a subject, the subject's record comes first. */
    void respond(String address, GossipMessage request) {
        boolean isJoining = request.bucketDigests().isEmpty();
        MessagePriority priority = isJoining ? MessagePriority.PROBE : MessagePriority.ANTI_ENTROPY;
        int availableBytes =
                Math.min(
                        sender.availableRecordBytes(priority),
                        GossipMessage.MAX_RECORD_BYTES - sender.localRecord().encodedSize());
        if (availableBytes < 0) {
            return;
        }
        List<MemberRecord> candidates = selectCandidates(request);
        List<MemberRecord> records = new ArrayList<>();
        MemberRecord subjectRecord =
                request.subject().isEmpty() ? null : memberTable.latestRecord(request.subject());
        if (subjectRecord != null) {
            records.add(subjectRecord);
            availableBytes -= subjectRecord.encodedSize();
        }
        int maxRecords =
                isJoining ? MAX_RECORDS_TO_JOINING_MEMBER : settings.maxRecordsPerMessage() - 2;
        int startIndex = candidates.isEmpty() ? 0 : random.nextInt(candidates.size());
        int addedCount = 0;
        while (addedCount < candidates.size() && records.size() < maxRecords) {
            MemberRecord candidate = candidates.get((startIndex + addedCount) % candidates.size());
            availableBytes -= candidate.encodedSize();
            if (availableBytes < 0) {
                break;
            }
            records.add(candidate);
            addedCount++;
        }
        int pageCount = 1 + (candidates.size() - addedCount) / Math.max(1, addedCount);
        sender.sendToAddress(address, buildResponse(request, records, pageCount), priority);
    }

    private static MessageContent buildResponse(
            GossipMessage request, List<MemberRecord> records, int pageCount) {
        return new MessageContent(
                Kind.SYNC_RESPONSE,
                request.sequence(),
                request.subject(),
                records,
                pageCount,
                List.of());
    }

    private List<MemberRecord> selectCandidates(GossipMessage request) {
        if (!request.bucketDigests().isEmpty()) {
            return memberTable.differingRecords(request.bucketDigests());
        }
        List<MemberRecord> allRecords = new ArrayList<>();
        memberTable.peers().forEach(peer -> allRecords.add(peer.record));
        return allRecords;
    }
}
