package junipercourse.fleet.membership;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import junipercourse.fleet.membership.GossipMessage.Kind;
import junipercourse.fleet.membership.SendBudget.MessagePriority;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * SWIM failure detection: probes members in turn, and requests indirect probes of a member that
 * does not acknowledge; a member that misses two probes in a row becomes suspect. A probe that the
 * send budget dropped, or whose indirect probes could not be sent, does not count as missed.
 */
final class FailureDetector {
    private static final int MAX_OPEN_PROBES = 128;

    /**
     * Minimum average interval between probes of the same member. Without it, a member that knows
     * few others while a fleet starts would probe them more often than they can answer.
     */
    private static final double MIN_PEER_INTERVAL_SECONDS = 0.5;

    /** Limits how far poor local health lengthens the probe interval: it doubles at most. */
    private static final int MAX_SLOWDOWN = 1;

    /** Limit of concurrently unresponsive peers, since each costs several indirect probes. */
    private static final int MAX_UNRESPONSIVE_PEERS = 4;

    /** Budget that indirect probes need beyond their first message; without it none starts. */
    private static final int INDIRECT_PROBE_BYTES = 300;

    private final MembershipSettings settings;
    private final MemberTable memberTable;
    private final MessageSender sender;
    private final UniformRandomProvider random;
    private final SuspicionTracker suspicions;
    private final Map<Long, OpenProbe> openProbes = new LinkedHashMap<>();
    private final IndirectProbes indirectProbes;
    private final ProbeOrder probeOrder;
    private double nextProbeAt;
    private double lastMessageReceivedAt;

    /** Lifeguard's local health score: 0 is healthy; each probe timeout in total silence adds 1. */
    private int localHealth;

    FailureDetector(
            MembershipSettings settings,
            MemberTable memberTable,
            MessageSender sender,
            UniformRandomProvider random) {
        this.settings = settings;
        this.memberTable = memberTable;
        this.sender = sender;
        this.random = random;
        this.probeOrder = new ProbeOrder(memberTable, random);
        this.indirectProbes = new IndirectProbes(settings, memberTable, sender, random);
        this.suspicions = new SuspicionTracker(settings, memberTable, random);
    }

    /**
     * Resets failure detection at the start of an incarnation or after a stall: drops open probes
     * and restarts suspicion timeouts, and measures silence from now.
     */
    void restart(double now) {
        openProbes.clear();
        indirectProbes.clear();
        lastMessageReceivedAt = now;
        nextProbeAt = now + random.nextDouble() * settings.probeInterval();
        for (PeerState peer : memberTable.peers()) {
            peer.unresponsive = false;
            if (peer.record.status() == MemberStatus.SUSPECT) {
                startSuspicion(peer, now);
            }
        }
    }

    /** Starts or restarts the suspicion timeout of a peer. */
    void startSuspicion(PeerState peer, double now) {
        suspicions.startSuspicion(peer, localHealth, now);
    }

    /** Handles another member's report that a peer is unreachable. */
    void handleUnreachableReport(PeerState peer, double now) {
        suspicions.handleUnreachableReport(peer, now);
    }

    /** Records that a message of a peer's current incarnation was received. */
    void recordHeard(PeerState peer, double now) {
        lastMessageReceivedAt = now;
        peer.lastHeardAt = now;
        peer.unresponsive = false;
        if (peer.record.status() == MemberStatus.SUSPECT) {
            startSuspicion(peer, now);
        }
    }

    /** Handles an acknowledgement of our own probe or of one sent on behalf of another member. */
    void handleAck(long sequence, String subject, double now) {
        OpenProbe probe = openProbes.get(sequence);
        if (probe != null && !isObsolete(probe) && probe.peer.record.name().equals(subject)) {
            openProbes.remove(sequence);
            localHealth = Math.max(0, localHealth - 1);
            recordHeard(probe.peer, now);
        } else {
            indirectProbes.forwardAck(sequence, subject);
        }
    }

    /** Probes a member on behalf of another one. */
    void handleProbeRequest(PeerState requester, long sequence, String subject, double now) {
        indirectProbes.probe(requester, sequence, subject, now);
    }

    /** Handles probe timeouts, probes suspects, and sends the next regular probe when due. */
    void tick(double now, StatusChangeListener listener) {
        indirectProbes.dropExpired(now);
        checkOpenProbes(now, listener);
        suspicions.tick(
                now - lastMessageReceivedAt,
                now,
                (peer, probeTime) -> probe(peer, probeTime, MessagePriority.SUSPECT_PROBE),
                listener);
        if (now >= nextProbeAt) {
            PeerState target = probeOrder.nextPeer(sender.localRecord().name());
            if (target != null) {
                probe(target, now, MessagePriority.PROBE);
            }
            double interval =
                    Math.max(
                            settings.probeInterval(),
                            MIN_PEER_INTERVAL_SECONDS
                                    / Math.max(1, memberTable.presentCount() - 1));
            nextProbeAt =
                    Math.max(
                            nextProbeAt + interval * (1 + Math.min(localHealth, MAX_SLOWDOWN)),
                            now);
        }
    }

    private void checkOpenProbes(double now, StatusChangeListener listener) {
        double timeout = settings.probeTimeout() * (1 + localHealth);
        List<OpenProbe> timedOut = new ArrayList<>();
        for (Iterator<Map.Entry<Long, OpenProbe>> iterator = openProbes.entrySet().iterator();
                iterator.hasNext(); ) {
            Map.Entry<Long, OpenProbe> entry = iterator.next();
            OpenProbe probe = entry.getValue();
            double age = now - probe.sentAt;
            if (isObsolete(probe)) {
                iterator.remove();
            } else if (age >= 2 * timeout) {
                iterator.remove();
                if (probe.isIndirect) {
                    timedOut.add(probe);
                }
            } else if (!probe.isIndirect && age >= timeout && mayMarkUnresponsive(probe.peer)) {
                probeIndirectly(probe, entry.getKey());
            }
        }
        timedOut.forEach(probe -> handleProbeTimeout(probe, now, listener));
    }

    /** Requests indirect probes from other members, and repeats the direct probe. */
    private void probeIndirectly(OpenProbe probe, long sequence) {
        PeerState peer = probe.peer;
        probe.isIndirect = peer.reportedUnreachable || indirectProbes.requestProbes(peer, sequence);
        if (probe.isIndirect) {
            sender.sendToPeer(
                    peer,
                    Kind.PING,
                    sequence,
                    peer.record.name(),
                    null,
                    MessagePriority.SUSPECT_PROBE);
        }
    }

    /** Returns true if the peer is unresponsive or suspect already, or may become unresponsive. */
    private boolean mayMarkUnresponsive(PeerState peer) {
        if (peer.record.status() == MemberStatus.SUSPECT || peer.unresponsive) {
            return true;
        }
        int count = 0;
        for (PeerState other : memberTable.peers()) {
            count += other.unresponsive || other.suspectedByUs ? 1 : 0;
        }
        return count < MAX_UNRESPONSIVE_PEERS
                && sender.availableRecordBytes(MessagePriority.SUSPECT_PROBE)
                        >= INDIRECT_PROBE_BYTES;
    }

    private void handleProbeTimeout(OpenProbe probe, double now, StatusChangeListener listener) {
        PeerState peer = probe.peer;
        boolean isIsolated = lastMessageReceivedAt < probe.sentAt;
        localHealth =
                isIsolated
                        ? Math.min(settings.maxLocalHealth(), localHealth + 1)
                        : Math.max(0, localHealth - 1);
        if (peer.record.status() == MemberStatus.SUSPECT) {
            peer.failedProbes++;
            if (!peer.suspectedByUs) { // the member that raised the suspicion may have failed
                peer.suspectedByUs = true;
                peer.nextProbeAt = now;
            }
        } else if (isIsolated || missedEarlierProbe(probe)) { // isolated: nobody else can probe
            peer.suspectedByUs = true;
            listener.accept(peer.record.with(MemberStatus.SUSPECT));
        } else if (!peer.unresponsive) {
            peer.unresponsive = true;
            peer.unresponsiveSince = now;
            peer.nextProbeAt = now;
        }
    }

    /** Returns true if the peer had already missed a probe when this one was sent. */
    private static boolean missedEarlierProbe(OpenProbe probe) {
        return probe.peer.unresponsive && probe.sentAt >= probe.peer.unresponsiveSince;
    }

    /**
     * Returns true if the peer has left, was removed, is unreachable or has another incarnation.
     */
    private boolean isObsolete(OpenProbe probe) {
        MemberRecord record = probe.peer.record;
        return !record.isPresent()
                || record.incarnation() != probe.incarnation
                || memberTable.find(record.name()) != probe.peer;
    }

    /** Sends a probe; returns false if it could not be sent. */
    private boolean probe(PeerState peer, double now, MessagePriority priority) {
        long sequence = sender.nextSequence();
        boolean sent =
                sender.sendToPeer(peer, Kind.PING, sequence, peer.record.name(), null, priority);
        if (sent && openProbes.size() < MAX_OPEN_PROBES) {
            openProbes.put(sequence, new OpenProbe(peer, now));
        }
        return sent;
    }
}
