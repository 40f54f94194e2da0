package junipercourse.fleet.membership;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Resolves suspicions: probes suspects repeatedly and calls those unreachable that never answer.
 * The verdict of another member does not replace our own; it only shortens how long we probe. In a
 * large fleet the members that did not raise a suspicion probe rarely and not all at the same time,
 * since otherwise everybody would probe each suspect at once.
 */
final class SuspicionTracker {
    /** Most suspects probed in one tick. */
    private static final int MAX_PROBES_PER_TICK = 8;

    /** Probes without acknowledgement before we call a suspect unreachable. */
    private static final int MIN_FAILED_PROBES = 3;

    /** The same if another member has called it unreachable. */
    private static final int MIN_FAILED_PROBES_IF_REPORTED = 1;

    /** Seconds between probes once enough have failed, until the timeout. */
    private static final double CONFIRMED_PROBE_INTERVAL_SECONDS = 1;

    /** Up to so many members all probe a suspect at once. */
    private static final int MAX_MEMBERS_ALL_PROBE = 20;

    /**
     * Beyond that, the first probes of all members are spread so that a suspect gets so many a
     * second.
     */
    private static final double CONFIRMATION_PROBES_PER_SECOND = 400;

    /**
     * Probes a second from members that did not raise the suspicion: the one that did may be gone.
     */
    private static final double OTHERS_PROBES_PER_SECOND = 1;

    private static final double MIN_INTERVAL_SECONDS = 0.2;
    private static final double MAX_INTERVAL_SECONDS = 0.4;
    private static final double INTERVAL_PER_MEMBER_SECONDS = 0.02;

    /** The probe timeout for which these intervals are stated. */
    private static final double USUAL_PROBE_TIMEOUT_SECONDS = 0.1;

    private final MembershipSettings settings;
    private final MemberTable memberTable;
    private final UniformRandomProvider random;

    /** Probes a member once. */
    interface Prober {
        /** Sends a probe; returns false if it could not be sent now. */
        boolean probe(PeerState peer, double now);
    }

    SuspicionTracker(
            MembershipSettings settings, MemberTable memberTable, UniformRandomProvider random) {
        this.settings = settings;
        this.memberTable = memberTable;
        this.random = random;
    }

    /** Starts or restarts the suspicion timeout of a peer. */
    void startSuspicion(PeerState peer, int localHealth, double now) {
        peer.failedProbes = 0;
        peer.reportedUnreachable = false;
        peer.nextProbeAt =
                peer.suspectedByUs || memberTable.size() <= MAX_MEMBERS_ALL_PROBE
                        ? now
                        : now + random.nextDouble() * memberTable.size() / OTHERS_PROBES_PER_SECOND;
        peer.suspicionDeadline =
                now
                        + Math.min(
                                settings.suspicionMax(),
                                settings.suspicionMin() * (1 + localHealth));
    }

    /**
     * Notes that another member calls a suspect unreachable: one failed probe of our own decides.
     */
    void reportedUnreachable(PeerState peer, double now) {
        peer.reportedUnreachable = true;
        double spread =
                memberTable.size() <= MAX_MEMBERS_ALL_PROBE
                        ? 0
                        : memberTable.size() / CONFIRMATION_PROBES_PER_SECOND;
        peer.nextProbeAt = now + random.nextDouble() * spread;
    }

    /**
     * Probes the suspects that are due, and reports those that are unreachable.
     *
     * @param silenceSeconds how long we have received nothing from anybody
     */
    void tick(double silenceSeconds, double now, Prober prober, StatusChangeListener listener) {
        boolean isolated =
                silenceSeconds > 4 * settings.probeTimeout()
                        && silenceSeconds < settings.isolationGrace();
        double interval = probeInterval();
        double othersInterval =
                memberTable.size() <= MAX_MEMBERS_ALL_PROBE
                        ? interval
                        : memberTable.size() / OTHERS_PROBES_PER_SECOND;
        int probed = 0;
        List<PeerState> unreachable = new ArrayList<>();
        for (PeerState peer : memberTable.peers()) {
            if (peer.unresponsive && now >= peer.nextProbeAt && prober.probe(peer, now)) {
                peer.nextProbeAt = now + interval;
            }
            if (peer.record.status() != MemberStatus.SUSPECT) {
                continue;
            }
            if (!isolated && isResolved(peer, now)) {
                unreachable.add(peer);
            } else if (now >= peer.nextProbeAt
                    && probed < MAX_PROBES_PER_TICK
                    && prober.probe(peer, now)) {
                probed++;
                double wait =
                        peer.suspectedByUs || peer.reportedUnreachable ? interval : othersInterval;
                boolean confirmed = peer.failedProbes >= MIN_FAILED_PROBES;
                peer.nextProbeAt =
                        now + (confirmed ? Math.max(wait, CONFIRMED_PROBE_INTERVAL_SECONDS) : wait);
            }
        }
        for (PeerState peer : unreachable) {
            listener.accept(peer.record.with(MemberStatus.UNREACHABLE));
        }
    }

    /** Seconds between probes of one suspect: longer in a larger fleet or a slower network. */
    private double probeInterval() {
        double bySize = INTERVAL_PER_MEMBER_SECONDS * memberTable.size();
        double bounded = Math.min(MAX_INTERVAL_SECONDS, Math.max(MIN_INTERVAL_SECONDS, bySize));
        return bounded * settings.probeTimeout() / USUAL_PROBE_TIMEOUT_SECONDS;
    }

    /** Returns true if enough probes have failed and the suspicion timeout is over. */
    private static boolean isResolved(PeerState peer, double now) {
        int enough = peer.reportedUnreachable ? MIN_FAILED_PROBES_IF_REPORTED : MIN_FAILED_PROBES;
        return peer.failedProbes >= enough
                && (peer.reportedUnreachable || now >= peer.suspicionDeadline);
    }
}
