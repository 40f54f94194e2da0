package junipercourse.fleet.membership;

import java.util.ArrayList;
import java.util.List;
import junipercourse.fleet.membership.GossipMessage.Kind;
import junipercourse.fleet.membership.SendBudget.MessagePriority;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Contacts members outside the regular probes: unreachable members, seeds that are not present,
 * members whose digest differs, and random members on leaving.
 */
final class PeerContact {
    private static final int LEAVE_BROADCASTS = 8;
    private static final int PEERS_PER_LEAVE_BROADCAST = 6;
    private static final double DIFFERING_PROBE_INTERVAL_SECONDS = 0.5;
    private static final int MAX_DIFFERING_PROBES = 4;

    private static final double MIN_JITTER_FACTOR = 0.75; // the maximum is 1.25

    private final MembershipSettings settings;
    private final List<String> seeds;
    private final MemberTable memberTable;
    private final MessageSender sender;
    private final UniformRandomProvider random;
    private double nextReconnectAt;
    private int leaveBroadcastsSent;

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
     * Periodically probes a random unreachable member, and contacts a random seed unless it is
     * present, so that the members detect the end of a partition.
     */
    void reconnect(double now) {
        if (now < nextReconnectAt) {
            return;
        }
        nextReconnectAt =
                now + settings.reconnectInterval() * (MIN_JITTER_FACTOR + random.nextDouble() / 2);
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
     * Probes a few alive members whose last digest differs from ours. Does nothing in a fleet that
     * is so large that convergence is judged by a sample.
     */
    void probeDifferingPeers(double now) {
        if (memberTable.presentCount() - 1 > MemberTable.AGREEMENT_SAMPLE_SIZE) {
            return;
        }
        int probesSent = 0;
        for (PeerState peer : memberTable.peers()) {
            if (probesSent < MAX_DIFFERING_PROBES
                    && peer.record.status() == MemberStatus.ALIVE
                    && peer.digest != memberTable.digest()
                    && now >= peer.nextProbeAt
                    && !peer.record.name().equals(sender.localRecord().name())) {
                probesSent++;
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

    /** Sends our leave to some random members; returns true if no further broadcast is due. */
    boolean broadcastLeave() {
        List<PeerState> others = new ArrayList<>();
        memberTable.peers().forEach(others::add);
        others.removeIf(peer -> !peer.record.isPresent());
        for (int i = 0; i < PEERS_PER_LEAVE_BROADCAST && !others.isEmpty(); i++) {
            PeerState peer = others.remove(random.nextInt(others.size()));
            sender.sendToPeer(
                    peer,
                    Kind.PING,
                    sender.nextSequence(),
                    peer.record.name(),
                    null,
                    MessagePriority.ANSWER);
        }
        return ++leaveBroadcastsSent >= LEAVE_BROADCASTS;
    }
}
