package junipercourse.fleet.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import junipercourse.fleet.membership.GossipMessage.Kind;
import junipercourse.fleet.membership.SendBudget.MessagePriority;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Sends indirect probes on behalf of other members and forwards the acknowledgements to them, and
 * requests indirect probes from other members.
 */
final class IndirectProbes {
    /** Maximum number of relayed probes in progress; further requests are ignored. */
    private static final int MAX_RELAYED_PROBES = 256;

    private static final int LIFETIME_IN_PROBE_TIMEOUTS = 10;

    private final MembershipSettings settings;
    private final MemberTable memberTable;
    private final MessageSender sender;
    private final UniformRandomProvider random;
    private final Map<Long, RelayedProbe> relayedProbes = new HashMap<>();

    /** A probe in progress on behalf of a requester. */
    private record RelayedProbe(
            String requesterName, long requesterSequence, String subject, double expiresAt) {}

    IndirectProbes(
            MembershipSettings settings,
            MemberTable memberTable,
            MessageSender sender,
            UniformRandomProvider random) {
        this.settings = settings;
        this.memberTable = memberTable;
        this.sender = sender;
        this.random = random;
    }

    /** Drops all relayed probes. */
    void clear() {
        relayedProbes.clear();
    }

    /** Drops the relayed probes that were not acknowledged in time. */
    void dropExpired(double now) {
        relayedProbes.values().removeIf(relayedProbe -> now > relayedProbe.expiresAt);
    }

    /** Probes a member for a requester. */
    void probe(PeerState requester, long sequence, String subject, double now) {
        PeerState target = memberTable.find(subject);
        if (target == null
                || relayedProbes.size() >= MAX_RELAYED_PROBES
                || subject.equals(sender.localRecord().name())) {
            return;
        }
        long ownSequence = sender.nextSequence();
        relayedProbes.put(
                ownSequence,
                new RelayedProbe(
                        requester.record.name(),
                        sequence,
                        subject,
                        now + LIFETIME_IN_PROBE_TIMEOUTS * settings.probeTimeout()));
        sender.sendToPeer(
                target, Kind.PING, ownSequence, subject, null, MessagePriority.SUSPECT_PROBE);
    }

    /** Forwards an acknowledgement to the requester if it belongs to a relayed probe. */
    void forwardAck(long sequence, String subject) {
        RelayedProbe relayedProbe = relayedProbes.get(sequence);
        if (relayedProbe != null && relayedProbe.subject.equals(subject)) {
            relayedProbes.remove(sequence);
            PeerState requester = memberTable.find(relayedProbe.requesterName);
            PeerState target = memberTable.find(subject);
            if (requester != null && target != null) {
                sender.sendToPeer(
                        requester,
                        Kind.ACK,
                        relayedProbe.requesterSequence,
                        subject,
                        target.record,
                        MessagePriority.SUSPECT_PROBE);
            }
        }
    }

    /**
     * Requests indirect probes of a peer from random alive members. Returns true if at least one
     * request was sent, or there was none to send.
     */
    boolean requestProbes(PeerState target, long sequence) {
        List<PeerState> helpers = new ArrayList<>();
        for (PeerState peer : memberTable.peers()) {
            if (peer.record.status() == MemberStatus.ALIVE && peer != target && !isLocal(peer)) {
                helpers.add(peer);
            }
        }
        for (int i = 0; i < settings.indirectProbes() && i < helpers.size(); i++) {
            Collections.swap(helpers, i, i + random.nextInt(helpers.size() - i));
            if (!sender.sendToPeer(
                    helpers.get(i),
                    Kind.PING_REQ,
                    sequence,
                    target.record.name(),
                    target.record,
                    MessagePriority.SUSPECT_PROBE)) {
                return i > 0;
            }
        }
        return true;
    }

    private boolean isLocal(PeerState peer) {
        return peer.record.name().equals(sender.localRecord().name());
    }
}
