package junipercourse.fleet.membership;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import junipercourse.fleet.membership.GossipMessage.Kind;
import junipercourse.fleet.membership.SendBudget.MessagePriority;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Chooses the incarnation of the local member, refutes claims about it, and yields it on conflict.
 *
 * <p>At the start, it requests the records of the local name from the seeds; the new incarnation
 * follows the highest known one. If no member responds in time, it begins one without, and raises
 * it as soon as a higher incarnation of the name is received.
 *
 * <p>If two processes use one name, the higher incarnation wins. A higher incarnation at the same
 * address belongs to a predecessor: the process raises its own above it. If the address differs,
 * the process yields: it drops its incarnation and probes that address. It begins a new one only
 * once the other process has left or has been silent for a time that doubles with each reclaim.
 */
final class LocalIncarnation {
    private static final double REQUEST_INTERVAL_SECONDS = 0.2;
    private static final double CONFLICT_REQUEST_INTERVAL_SECONDS = 0.5; // while yielding
    private static final int MAX_BACKOFF_DOUBLINGS = 12;

    boolean reuseIncarnation; // set by tests only

    private final MembershipSettings settings;
    private final MemberTable memberTable;
    private final MessageSender sender;
    private final List<String> seeds;
    private final UniformRandomProvider random;
    private final MemberRecord recordWithoutIncarnation;
    private final MembershipListener listener;
    private final YieldingProcess yieldingProcess;
    private final Set<String> respondedSeeds = new TreeSet<>();
    private double requestingSince;
    private double nextRequestAt;
    private long requestSequence;
    private long highestKnownIncarnation;
    private boolean memberResponded;
    private MemberRecord conflictingMember;
    private double conflictingHeardAt;
    private int reclaimCount;

    LocalIncarnation(
            MembershipSettings settings,
            MemberTable memberTable,
            MessageSender sender,
            MemberRecord recordWithoutIncarnation,
            List<String> seeds,
            UniformRandomProvider random,
            MembershipListener listener) {
        this.settings = settings;
        this.memberTable = memberTable;
        this.sender = sender;
        this.recordWithoutIncarnation = recordWithoutIncarnation;
        this.seeds = seeds;
        this.random = random;
        this.listener = listener;
        this.yieldingProcess = new YieldingProcess(listener);
        sender.localRecord(recordWithoutIncarnation);
    }

    /** Returns true while the local member has an incarnation. */
    boolean isActive() {
        return sender.localRecord().incarnation() > 0;
    }

    /**
     * Returns the other process that uses the local name, whether we yielded to it or it yielded to
     * us; null if there is none.
     */
    MemberRecord conflictingMember(double now) {
        return conflictingMember != null ? conflictingMember : yieldingProcess.recentRecord(now);
    }

    /** Records that a process at another address uses the local name and has yielded to us. */
    void recordYieldingProcess(MemberRecord other, double now) {
        yieldingProcess.recordHeard(other, sender.localRecord(), now);
    }

    void start(double now) {
        requestingSince = now;
        nextRequestAt = now;
        requestSequence = sender.nextSequence();
    }

    /** Restarts the timeouts after a stall: unread messages do not count as silence of others. */
    void handleStall(double now) {
        requestingSince = Math.max(requestingSince, now - settings.joinWait());
        conflictingHeardAt = now;
    }

    /** Sends requests that are due; returns true if a new incarnation must begin now. */
    boolean tick(double now) {
        if (conflictingMember != null) {
            if (conflictingMember.status() == MemberStatus.LEFT
                    || now - conflictingHeardAt
                            >= settings.nameConflictWait()
                                    * (1L << Math.min(reclaimCount, MAX_BACKOFF_DOUBLINGS))) {
                reclaimCount++;
                return true;
            }
        } else if (respondedSeeds.size() >= seeds.size()
                || memberResponded && now - requestingSince >= settings.joinWait()) {
            return true;
        } else if (now - requestingSince >= settings.joinTimeout()) {
            listener.log(
                    "no member answered a request for earlier incarnations of "
                            + recordWithoutIncarnation.name()
                            + " within "
                            + settings.joinTimeout()
                            + " s; starting without an answer");
            return true;
        }
        if (now >= nextRequestAt) {
            nextRequestAt =
                    now
                            + (conflictingMember == null
                                    ? REQUEST_INTERVAL_SECONDS
                                    : CONFLICT_REQUEST_INTERVAL_SECONDS);
            sendRequests();
        }
        return false;
    }

    private void sendRequests() {
        if (conflictingMember != null) {
            sender.sendToAddress(
                    conflictingMember.address(),
                    new MessageContent(Kind.PING, sender.nextSequence(), conflictingMember.name()),
                    MessagePriority.PROBE);
            PeerState peer =
                    memberTable.randomMatching(
                            random,
                            record ->
                                    record.isPresent()
                                            && !record.name()
                                                    .equals(recordWithoutIncarnation.name()));
            if (peer != null) {
                sender.sendToAddress(
                        peer.record.address(),
                        new MessageContent(
                                Kind.SYNC_REQUEST,
                                requestSequence,
                                recordWithoutIncarnation.name()),
                        MessagePriority.PROBE);
            }
            return;
        }
        for (String seed : seeds) {
            sender.sendToAddress(
                    seed,
                    new MessageContent(
                            Kind.SYNC_REQUEST, requestSequence, recordWithoutIncarnation.name()),
                    MessagePriority.PROBE);
        }
    }

    /** Handles a message while the local member has no incarnation. */
    void handleMessage(GossipMessage message, double now) {
        if (message.kind() == Kind.SYNC_RESPONSE
                && message.sequence() == requestSequence
                && !message.sender().equals(recordWithoutIncarnation.name())) {
            respondedSeeds.add(message.sender());
            memberResponded |= message.senderIncarnation() > 0;
        }
        if (conflictingMember != null
                && message.sender().equals(recordWithoutIncarnation.name())
                && message.senderIncarnation() >= conflictingMember.incarnation()) {
            conflictingHeardAt = now;
        }
    }

    /** Handles a record of the local name while the local member has no incarnation. */
    void handleRecord(MemberRecord record) {
        highestKnownIncarnation = Math.max(highestKnownIncarnation, record.incarnation());
        if (conflictingMember != null && record.compareTo(conflictingMember) > 0) {
            conflictingMember = record;
        }
    }

    /** Begins a new incarnation above all known ones; returns its first record. */
    MemberRecord begin() {
        conflictingMember = null;
        MemberRecord latestRecord = memberTable.latestRecord(recordWithoutIncarnation.name());
        if (latestRecord != null) {
            highestKnownIncarnation = Math.max(highestKnownIncarnation, latestRecord.incarnation());
        }
        highestKnownIncarnation =
                reuseIncarnation
                        ? MemberId.nextIncarnation(0, 1)
                        : MemberId.nextIncarnation(highestKnownIncarnation, random.nextInt());
        MemberRecord firstRecord =
                new MemberRecord(
                        recordWithoutIncarnation.name(),
                        highestKnownIncarnation,
                        0,
                        MemberStatus.ALIVE,
                        recordWithoutIncarnation.address(),
                        recordWithoutIncarnation.zone());
        sender.localRecord(firstRecord);
        listener.log("starting as " + firstRecord.memberId() + " at " + firstRecord.address());
        return firstRecord;
    }

    /** Returns the new local record, greater than the received one; null if we yield the name. */
    MemberRecord refuteOrYield(MemberRecord received, double now) {
        MemberRecord localRecord = sender.localRecord();
        boolean sameAddress = received.address().equals(localRecord.address());
        if (received.incarnation() == localRecord.incarnation()
                && sameAddress
                && received.status() != MemberStatus.LEFT) {
            MemberRecord refutation = localRecord.with((received.version() | 1) + 1);
            sender.localRecord(refutation);
            return refutation;
        }
        highestKnownIncarnation = Math.max(highestKnownIncarnation, received.incarnation());
        if (sameAddress
                || received.status() == MemberStatus.LEFT
                || received.incarnation() == localRecord.incarnation()) {
            listener.log(
                    "beginning a new incarnation: received a record of "
                            + received.memberId()
                            + " at "
                            + received.address()
                            + ", but the local member is "
                            + localRecord.memberId());
            return begin();
        }
        listener.log(
                "another process is "
                        + received.memberId()
                        + " at "
                        + received.address()
                        + "; "
                        + localRecord.memberId()
                        + " at "
                        + localRecord.address()
                        + " yields the name while the other responds");
        conflictingMember = received;
        conflictingHeardAt = now;
        nextRequestAt = now;
        sender.localRecord(recordWithoutIncarnation);
        return null;
    }
}
