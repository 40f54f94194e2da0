package junipercourse.fleet.membership;

import java.util.List;
import junipercourse.fleet.membership.GossipMessage.Kind;
import junipercourse.fleet.membership.SendBudget.MessagePriority;

/** Handles received messages: merges their records, and acts on the kind of the message. */
final class MessageHandler {
    private final MemberTable memberTable;
    private final MessageSender sender;
    private final FailureDetector failureDetector;
    private final AntiEntropy antiEntropy;
    private final LocalIncarnation localIncarnation;
    private final RecordMerger recordMerger;

    MessageHandler(
            MemberTable memberTable,
            MessageSender sender,
            FailureDetector failureDetector,
            AntiEntropy antiEntropy,
            LocalIncarnation localIncarnation,
            RecordMerger recordMerger) {
        this.memberTable = memberTable;
        this.sender = sender;
        this.failureDetector = failureDetector;
        this.antiEntropy = antiEntropy;
        this.localIncarnation = localIncarnation;
        this.recordMerger = recordMerger;
    }

    /** Handles a message; replies go to {@code sourceAddress} unless it gives another address. */
    void handle(double now, String sourceAddress, GossipMessage message) {
        for (MemberRecord record : message.records()) {
            if (record.incarnation() > 0) {
                recordMerger.mergeReceived(record, now);
            }
        }
        String replyAddress = replyAddress(sourceAddress, message);
        boolean isSameName = message.sender().equals(sender.localRecord().name());
        if (!localIncarnation.isActive()) {
            localIncarnation.handleMessage(message, now);
            if (!isSameName) {
                respondToSyncRequest(replyAddress, message);
            }
        } else if (isSameName) {
            handleNameConflict(now, replyAddress, message);
        } else if (message.senderIncarnation() == 0) {
            respondToSyncRequest(replyAddress, message);
        } else {
            handleMember(now, replyAddress, message);
        }
    }

    private static String replyAddress(String sourceAddress, GossipMessage message) {
        boolean startsWithOwnRecord =
                !message.records().isEmpty()
                        && message.records().get(0).name().equals(message.sender());
        return startsWithOwnRecord ? message.records().get(0).address() : sourceAddress;
    }

    private void respondToSyncRequest(String replyAddress, GossipMessage message) {
        if (message.kind() == Kind.SYNC_REQUEST) {
            antiEntropy.respond(replyAddress, message);
        }
    }

    private void handleNameConflict(double now, String replyAddress, GossipMessage message) {
        MemberRecord localRecord = sender.localRecord();
        if (message.kind() == Kind.PING && !replyAddress.equals(localRecord.address())) {
            localIncarnation.recordYieldingProcess(message.records().get(0), now);
            acknowledge(replyAddress, message, localRecord.name(), List.of());
        }
    }

    private void acknowledge(
            String replyAddress,
            GossipMessage message,
            String subject,
            List<MemberRecord> records) {
        sender.sendToAddress(
                replyAddress,
                new MessageContent(Kind.ACK, message.sequence(), subject, records),
                MessagePriority.ANSWER);
    }

    private void handleMember(double now, String replyAddress, GossipMessage message) {
        PeerState peer = memberTable.find(message.sender());
        if (peer == null || peer.record.incarnation() != message.senderIncarnation()) {
            notifyOfEndedIncarnation(replyAddress, message, peer);
            return;
        }
        failureDetector.recordHeard(peer, now);
        peer.digest = message.digest();
        peer.digestReceivedAt = now;
        if (message.digest() != memberTable.digest()) {
            antiEntropy.requestDifferingRecords(peer, now);
        }
        handleByKind(now, replyAddress, message, peer);
    }

    /** Notifies a sender whose incarnation has ended or was removed, by our latest record of it. */
    private void notifyOfEndedIncarnation(
            String replyAddress, GossipMessage message, PeerState peer) {
        MemberRecord latestRecord = memberTable.latestRecord(message.sender());
        boolean hasEnded =
                latestRecord != null
                        && (peer == null
                                || message.senderIncarnation() < latestRecord.incarnation());
        if (hasEnded) {
            acknowledge(replyAddress, message, latestRecord.name(), List.of(latestRecord));
        }
    }

    private void handleByKind(
            double now, String replyAddress, GossipMessage message, PeerState peer) {
        long sequence = message.sequence();
        String subject = message.subject();
        switch (message.kind()) {
            case PING -> {
                if (subject.equals(sender.localRecord().name())) {
                    sender.sendToPeer(
                            peer, Kind.ACK, sequence, subject, null, MessagePriority.ANSWER);
                }
            }
            case ACK -> failureDetector.handleAck(sequence, subject, now);
            case PING_REQ -> failureDetector.handleProbeRequest(peer, sequence, subject, now);
            case SYNC_REQUEST -> antiEntropy.respond(replyAddress, message);
            case SYNC_RESPONSE -> antiEntropy.handleResponse(message);
        }
    }
}
