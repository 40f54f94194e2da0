package junipercourse.fleet.membership;

import java.util.ArrayList;
import java.util.List;
import junipercourse.fleet.membership.GossipMessage.Kind;
import junipercourse.fleet.membership.SendBudget.MessagePriority;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Contacts members beyond the probes in turn: unreachable members and absent seeds, members whose
 * digest differs, and all on leaving.
 */
final class PeerContact {
    private static final int LEAVE_BROADCASTS = 8;
    private static final int LEAVE_BROADCAST_PEERS = 6;
    private static final double DIFFERING_PROBE_INTERVAL_SECONDS = 0.5;
    private static final int MAX_DIFFERING_PROBES = 4;

    private static final double MIN_JITTER = 0.75; // of the interval; 1.25 at most

    private final MembershipSettings settings;
    private final List<String> seeds;
    private final MemberTable memberTable;
    private final MessageSender sender;
    private final UniformRandomProvider random;
    private double nextReconnectAt;
    private int leaveBroadcasts;

    PeerContact(
            MembershipSettings settings,
            List<String> seeds,
            MemberTable memberTable,
            MessageSender sender,
            UniformRandomProvider random) {
        this.settings = settings;
        this.seeds = seeds;
        this.memberTable = memberTable;
        this.sender = sender;
        this.random = random;
    }

    /**
     * Probes unreachable members and absent seeds now and then, so that the end of a partition is
     * noticed.
     */
    void reconnect(double now) {
        if (now < nextReconnectAt) {
            return;
        }
        nextReconnectAt =
                now + settings.reconnectInterval() * (MIN_JITTER + random.nextDouble() / 2);
        PeerState unreachable =
                memberTable.randomMatching(
                        random, record -> record.status() == MemberStatus.UNREACHABLE);
        if (unreachable != null) {
            sender.sendToPeer(
                    unreachable,
                    Kind.PING,
                    sender.nextSequence(),
                    unreachable.record.name(),
                    null,
                    MessagePriority.PROBE);
        }
        if (seeds.isEmpty()) {
            return;
        }
        String seed = seeds.get(random.nextInt(seeds.size()));
        if (memberTable.randomMatching(
                        random, record -> record.isPresent() && record.address().equals(seed))
                == null) {
            sender.sendToAddress(
                    seed,
                    new MessageContent(
                            Kind.SYNC_REQUEST, sender.nextSequence(), sender.localRecord().name()),
                    MessagePriority.PROBE);
        }
    }

    /**
     * Probes a few present members that last sent another digest, as long as all of them must agree
     * for the fleet to converge.
     */
    void probeDiffering(double now) {
        if (memberTable.presentCount() - 1 > MemberTable.AGREEMENT_SAMPLE_SIZE) {
            return;
        }
        int probed = 0;
        for (PeerState peer : memberTable.peers()) {
            if (probed < MAX_DIFFERING_PROBES
                    && peer.record.status() == MemberStatus.ALIVE
                    && peer.digest != memberTable.digest()
                    && now >= peer.nextProbeAt
                    && !peer.record.name().equals(sender.localRecord().name())) {
                probed++;
                peer.nextProbeAt = now + DIFFERING_PROBE_INTERVAL_SECONDS;
                sender.sendToPeer(
                        peer,
                        Kind.PING,
                        sender.nextSequence(),
                        peer.record.name(),
                        null,
                        MessagePriority.ANTI_ENTROPY);
            }
        }
    }

    /** Sends some members our leave; returns true if that was the last time. */
    boolean broadcastLeave() {
        List<PeerState> others = new ArrayList<>();
        memberTable.peers().forEach(others::add);
        others.removeIf(peer -> !peer.record.isPresent());
        for (int i = 0; i < LEAVE_BROADCAST_PEERS && !others.isEmpty(); i++) {
            PeerState peer = others.remove(random.nextInt(others.size()));
            sender.sendToPeer(
                    peer,
                    Kind.PING,
                    sender.nextSequence(),
                    peer.record.name(),
                    null,
                    MessagePriority.ANSWER);
        }
        return ++leaveBroadcasts >= LEAVE_BROADCASTS;
    }
}
