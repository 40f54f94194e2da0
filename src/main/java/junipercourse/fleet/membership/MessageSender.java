package junipercourse.fleet.membership;

import java.util.ArrayList;
import java.util.List;
import junipercourse.fleet.membership.GossipMessage.Kind;
import junipercourse.fleet.membership.SendBudget.MessagePriority;

/**
 * Builds and sends messages within the send budget. A message holds the local record, then the
 * records that the receiver must get, then piggybacked updates.
 */
final class MessageSender {
    /**
     * Updates in one message use at most the available budget divided by this number, so that the
     * next messages can carry some too.
     */
    private static final int DISSEMINATION_DIVISOR = 2;

    private final MembershipSettings settings;
    private final MemberTable memberTable;
    private final DisseminationQueue dissemination;
    private final MembershipListener listener;
    private final SendBudget budget;
    private MemberRecord localRecord;
    private long nextSequence;
    private double now;
    private long droppedByBudget;

    MessageSender(
            MembershipSettings settings,
            MemberTable memberTable,
            DisseminationQueue dissemination,
            MembershipListener listener) {
        this.settings = settings;
        this.memberTable = memberTable;
        this.dissemination = dissemination;
        this.listener = listener;
        this.budget = new SendBudget(settings.bytesPerSecond());
    }

    /** Sets the current time, by which the following messages are charged to the budget. */
    void setTime(double time) {
        now = time;
    }

    /** Sets the local record; incarnation 0 while the local member has none. */
    void localRecord(MemberRecord record) {
        localRecord = record;
    }

    /** Returns the local record. */
    MemberRecord localRecord() {
        return localRecord;
    }

    /** Returns the sequence number of a new request. */
    long nextSequence() {
        return ++nextSequence;
    }

    /** Returns the number of messages that were dropped because they exceeded the budget. */
    long droppedByBudget() {
        return droppedByBudget;
    }

    /**
     * Returns the bytes available for records in a message of this priority; negative if no message
     * may be sent.
     */
    int availableRecordBytes(MessagePriority priority) {
        return budget.available(priority, now)
                - settings.datagramOverhead()
                - new GossipMessage(
                                localRecord.name(),
                                localRecord.incarnation(),
                                Kind.SYNC_RESPONSE,
                                nextSequence,
                                "",
                                0,
                                List.of(localRecord),
                                0,
                                2)
                        .encodedSize();
    }

    /**
     * Sends a message to a member. If its record here is not {@code ALIVE}, the message includes
     * that record, so that the member can refute it.
     *
     * @return false if the budget dropped the message: then a missing reply proves nothing
     */
    boolean sendToPeer(
            PeerState peer,
            Kind kind,
            long sequence,
            String subject,
            MemberRecord extraRecord,
            MessagePriority priority) {
        List<MemberRecord> records = new ArrayList<>();
        if (peer.record.status() != MemberStatus.ALIVE) {
            records.add(peer.record);
        }
        if (extraRecord != null && !extraRecord.name().equals(peer.record.name())) {
            records.add(extraRecord);
        }
        boolean peerHasSameDigest = peer.digest == memberTable.digest();
        MessageContent content = new MessageContent(kind, sequence, subject, records);
        return send(peer.record.address(), content, peerHasSameDigest, priority);
    }

    /**
     * Sends a message to an address.
     *
     * @return false if the budget dropped the message
     */
    boolean sendToAddress(String address, MessageContent content, MessagePriority priority) {
        return send(address, content, false, priority);
    }

    private boolean send(
            String address,
            MessageContent content,
            boolean peerHasSameDigest,
            MessagePriority priority) {
        List<MemberRecord> records = new ArrayList<>();
        records.add(localRecord);
        records.addAll(content.records());
        GossipMessage message = buildMessage(content, records);
        int size = message.encodedSize() + settings.datagramOverhead();
        if (size > budget.available(priority, now)) {
            droppedByBudget++;
            return false;
        }
        int disseminationBytes = 0;
        if (isMember() && content.allowsUpdates() && addUpdates(records, size, peerHasSameDigest)) {
            message = buildMessage(content, records);
            disseminationBytes = message.encodedSize() + settings.datagramOverhead() - size;
        }
        if (!budget.tryTake(priority, size, disseminationBytes, now)) {
            throw new IllegalStateException(
                    "a message of " + (size + disseminationBytes) + " bytes exceeds the budget");
        }
        listener.send(address, message);
        return true;
    }

    private boolean isMember() {
        return localRecord.incarnation() > 0;
    }

    private boolean addUpdates(List<MemberRecord> records, int size, boolean peerHasSameDigest) {
        int availableBytes =
                (budget.available(MessagePriority.DISSEMINATION, now) - size)
                        / DISSEMINATION_DIVISOR;
        return dissemination.piggyback(
                records, settings.maxRecordsPerMessage(), availableBytes, peerHasSameDigest);
    }

    private GossipMessage buildMessage(MessageContent content, List<MemberRecord> records) {
        return new GossipMessage(
                localRecord.name(),
                localRecord.incarnation(),
                content.kind(),
                content.sequence(),
                content.subject(),
                isMember() ? memberTable.digest() : 0,
                records,
                0,
                content.pageCount(),
                content.bucketDigests());
    }
}
