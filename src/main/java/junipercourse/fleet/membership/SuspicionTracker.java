package junipercourse.fleet.membership;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Confirms suspicions: probes suspects repeatedly and declares those unreachable that never
 * acknowledge. Another member's report of unreachability does not replace our own probes; it only
 * reduces how many are needed. In a large fleet the members that did not raise a suspicion probe
 * rarely and at random times, since otherwise all members would probe each suspect at once.
 */
final class SuspicionTracker {
    /** Maximum number of suspects that are probed in one tick. */
    private static final int MAX_PROBES_PER_TICK = 8;

    /** Failed probes that are required before a suspect is declared unreachable. */
    private static final int MIN_FAILED_PROBES = 3;

    /** The same if another member has reported the suspect unreachable. */
    private static final int MIN_FAILED_PROBES_IF_REPORTED = 1;

    /** Minimum probe interval once enough probes have failed, until the suspicion timeout. */
    private static final double CONFIRMED_PROBE_INTERVAL_SECONDS = 1;

    /** Up to this fleet size, all members probe a suspect immediately. */
    private static final int MAX_MEMBERS_ALL_PROBE = 20;

    /**
     * Rate of probes that a suspect in a larger fleet gets from all members together after a report
     * that it is unreachable; their first probes are spread accordingly.
     */
    private static final double CONFIRMATION_PROBES_PER_SECOND = 400;

    /**
     * Rate of probes that a suspect gets from all members that did not raise the suspicion; needed
     * because the member that did may have failed.
     */
    private static final double OTHERS_PROBES_PER_SECOND = 1;

    private static final double MIN_INTERVAL_SECONDS = 0.2;
    private static final double MAX_INTERVAL_SECONDS = 0.4;
    private static final double INTERVAL_PER_MEMBER_SECONDS = 0.02;

    /** The probe timeout to which the intervals above apply; they scale with the configured one. */
    private static final double REFERENCE_PROBE_TIMEOUT_SECONDS = 0.1;

    private final MembershipSettings settings;
    private final MemberTable memberTable;
    private final UniformRandomProvider random;

    /** Sends probes. */
    interface Prober {
        /** Sends a probe; returns false if the send budget does not allow it now. */
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
     * Handles another member's report that a suspect is unreachable: one failed probe of our own
     * then confirms it.
     */
    void handleUnreachableReport(PeerState peer, double now) {
        peer.reportedUnreachable = true;
        double spreadSeconds =
                memberTable.size() <= MAX_MEMBERS_ALL_PROBE
                        ? 0
                        : memberTable.size() / CONFIRMATION_PROBES_PER_SECOND;
        peer.nextProbeAt = now + random.nextDouble() * spreadSeconds;
    }

    /**
     * Probes the unresponsive peers and suspects that are due, and reports suspects that are
     * confirmed unreachable.
     *
     * @param silenceSeconds time since the last message from any member
     */
    void tick(double silenceSeconds, double now, Prober prober, StatusChangeListener listener) {
        boolean isIsolated =
                silenceSeconds > 4 * settings.probeTimeout()
                        && silenceSeconds < settings.isolationGrace();
        double ownInterval = probeInterval();
        double othersInterval =
                memberTable.size() <= MAX_MEMBERS_ALL_PROBE
                        ? ownInterval
                        : memberTable.size() / OTHERS_PROBES_PER_SECOND;
        int probesSent = 0;
        List<PeerState> unreachable = new ArrayList<>();
        for (PeerState peer : memberTable.peers()) {
            if (peer.unresponsive && now >= peer.nextProbeAt && prober.probe(peer, now)) {
                peer.nextProbeAt = now + ownInterval;
            }
            if (peer.record.status() != MemberStatus.SUSPECT) {
                continue;
            }
            if (!isIsolated && isConfirmedUnreachable(peer, now)) {
                unreachable.add(peer);
            } else if (now >= peer.nextProbeAt
                    && probesSent < MAX_PROBES_PER_TICK
                    && prober.probe(peer, now)) {
                probesSent++;
                double interval =
                        peer.suspectedByUs || peer.reportedUnreachable
                                ? ownInterval
                                : othersInterval;
                boolean hasEnoughFailures = peer.failedProbes >= MIN_FAILED_PROBES;
                peer.nextProbeAt =
                        now
                                + (hasEnoughFailures
                                        ? Math.max(interval, CONFIRMED_PROBE_INTERVAL_SECONDS)
                                        : interval);
            }
        }
        for (PeerState peer : unreachable) {
            listener.accept(peer.record.with(MemberStatus.UNREACHABLE));
        }
    }

    /**
     * Returns the seconds between probes of a suspect; more in a larger fleet or slower network.
     */
    private double probeInterval() {
        double bySize = INTERVAL_PER_MEMBER_SECONDS * memberTable.size();
        double limited = Math.min(MAX_INTERVAL_SECONDS, Math.max(MIN_INTERVAL_SECONDS, bySize));
        return limited * settings.probeTimeout() / REFERENCE_PROBE_TIMEOUT_SECONDS;
    }

    /**
     * Returns true if enough probes have failed and the suspicion timeout is over; a report of
     * another member replaces the timeout.
     */
    private static boolean isConfirmedUnreachable(PeerState peer, double now) {
        int requiredFailures =
                peer.reportedUnreachable ? MIN_FAILED_PROBES_IF_REPORTED : MIN_FAILED_PROBES;
        return peer.failedProbes >= requiredFailures
                && (peer.reportedUnreachable || now >= peer.suspicionDeadline);
    }
}
