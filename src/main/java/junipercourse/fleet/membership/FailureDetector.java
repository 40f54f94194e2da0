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
 * Failure detection as in SWIM: probes members in turn, and asks others to probe a member that does
 * not answer; a member that misses two probes in a row becomes suspect. A probe that the budget
 * held back, or for which no other member could be asked, proves nothing.
 */
final class FailureDetector {
    private static final int MAX_OPEN_PROBES = 128;

    /**
     * Seconds between probes of one member: a member that knows few others at the start of a fleet
     * would otherwise probe these more often than they can answer.
     */
    private static final double MIN_PEER_INTERVAL_SECONDS = 0.5;

    /** Intervals by which a member that receives nothing probes less often, at most. */
    private static final int MAX_SLOWDOWN = 1;

    /** Members that we may examine at once: each takes several indirect probes. */
    private static final int MAX_UNRESPONSIVE_PEERS = 4;

    /** Bytes that an indirect probe needs after its first message; without them none is begun. */
    private static final int INDIRECT_PROBE_BYTES = 300;

    private final MembershipSettings settings;
    private final MemberTable memberTable;
    private final MessageSender sender;
    private final UniformRandomProvider random;
    private final SuspicionTracker suspicions;
    private final Map<Long, OpenProbe> probes = new LinkedHashMap<>();
    private final IndirectProbes indirectProbes;
    private final ProbeOrder probeOrder;
    private double nextProbeAt;
    private double lastHeardAnyAt;

    /** Local health score of Lifeguard: 0 while we receive messages. */
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
     * Starts afresh, at the start of an incarnation or after a stall: open probes are dropped, and
     * silence is counted from now.
     */
    void restart(double now) {
        probes.clear();
        indirectProbes.clear();
        lastHeardAnyAt = now;
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

    /** Notes that another member considers a peer unreachable. */
    void reportedUnreachable(PeerState peer, double now) {
        suspicions.reportedUnreachable(peer, now);
    }

    /** Notes a message of a peer's present incarnation. */
    void heard(PeerState peer, double now) {
        lastHeardAnyAt = now;
        peer.lastHeardAt = now;
        peer.unresponsive = false;
        if (peer.record.status() == MemberStatus.SUSPECT) {
            startSuspicion(peer, now);
        }
    }

    /**
     * Takes in an acknowledgement of a probe of ours, or of one that we made for another member.
     */
    void ackReceived(long sequence, String subject, double now) {
        OpenProbe probe = probes.get(sequence);
        if (probe != null && !isObsolete(probe) && probe.peer.record.name().equals(subject)) {
            probes.remove(sequence);
            localHealth = Math.max(0, localHealth - 1);
            heard(probe.peer, now);
        } else {
            indirectProbes.ackReceived(sequence, subject);
        }
    }

    /** Probes a member on behalf of another one. */
    void probeRequested(PeerState requester, long sequence, String subject, double now) {
        indirectProbes.probe(requester, sequence, subject, now);
    }

    /** Does what is due: timeouts, probes of suspects, and the next probe in turn. */
    void tick(double now, StatusChangeListener listener) {
        indirectProbes.tick(now);
        checkOpenProbes(now, listener);
        suspicions.tick(
                now - lastHeardAnyAt,
                now,
                (peer, at) -> probe(peer, at, MessagePriority.SUSPECT_PROBE),
                listener);
        if (now >= nextProbeAt) {
            PeerState next = probeOrder.next(sender.localRecord().name());
            if (next != null) {
                probe(next, now, MessagePriority.PROBE);
            }
            double wait =
                    Math.max(
                            settings.probeInterval(),
                            MIN_PEER_INTERVAL_SECONDS
                                    / Math.max(1, memberTable.presentCount() - 1));
            nextProbeAt =
                    Math.max(nextProbeAt + wait * (1 + Math.min(localHealth, MAX_SLOWDOWN)), now);
        }
    }

    private void checkOpenProbes(double now, StatusChangeListener listener) {
        double timeout = settings.probeTimeout() * (1 + localHealth);
        List<OpenProbe> timedOut = new ArrayList<>();
        for (Iterator<Map.Entry<Long, OpenProbe>> all = probes.entrySet().iterator();
                all.hasNext(); ) {
            Map.Entry<Long, OpenProbe> entry = all.next();
            OpenProbe probe = entry.getValue();
            double age = now - probe.sentAt;
            if (isObsolete(probe)) {
                all.remove();
            } else if (age >= 2 * timeout) {
                all.remove();
                if (probe.indirect) {
                    timedOut.add(probe);
                }
            } else if (!probe.indirect && age >= timeout && mayMarkUnresponsive(probe.peer)) {
                probeIndirectly(probe, entry.getKey());
            }
        }
        timedOut.forEach(probe -> probeTimedOut(probe, now, listener));
    }

    /** Asks other members for a probe, and repeats our own. */
    private void probeIndirectly(OpenProbe probe, long sequence) {
        PeerState peer = probe.peer;
        probe.indirect = peer.reportedUnreachable || indirectProbes.request(peer, sequence);
        if (probe.indirect) {
            sender.sendToPeer(
                    peer,
                    Kind.PING,
                    sequence,
                    peer.record.name(),
                    null,
                    MessagePriority.SUSPECT_PROBE);
        }
    }

    /** Returns true if the bounds allow to examine one more peer that nobody else suspects. */
    private boolean mayMarkUnresponsive(PeerState peer) {
        if (peer.record.status() == MemberStatus.SUSPECT || peer.unresponsive) {
            return true;
        }
        int unresponsive = 0;
        for (PeerState each : memberTable.peers()) {
            unresponsive += each.unresponsive || each.suspectedByUs ? 1 : 0;
        }
        return unresponsive < MAX_UNRESPONSIVE_PEERS
                && sender.availableRecordBytes(MessagePriority.SUSPECT_PROBE)
                        >= INDIRECT_PROBE_BYTES;
    }

    private void probeTimedOut(OpenProbe probe, double now, StatusChangeListener listener) {
        PeerState peer = probe.peer;
        boolean isolated = lastHeardAnyAt < probe.sentAt;
        localHealth =
                isolated
                        ? Math.min(settings.maxLocalHealth(), localHealth + 1)
                        : Math.max(0, localHealth - 1);
        if (peer.record.status() == MemberStatus.SUSPECT) {
            peer.failedProbes++;
            if (!peer.suspectedByUs) { // the member that raised the suspicion may be gone
                peer.suspectedByUs = true;
                peer.nextProbeAt = now;
            }
        } else if (isolated || missedAnother(probe)) { // isolated: nobody else can help
            peer.suspectedByUs = true;
            listener.accept(peer.record.with(MemberStatus.SUSPECT));
        } else if (!peer.unresponsive) {
            peer.unresponsive = true;
            peer.unresponsiveSince = now;
            peer.nextProbeAt = now;
        }
    }

    /** Returns true if the peer had missed an earlier probe when this one was sent. */
    private static boolean missedAnother(OpenProbe probe) {
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
        if (sent && probes.size() < MAX_OPEN_PROBES) {
            probes.put(sequence, new OpenProbe(peer, now));
        }
        return sent;
    }
}
