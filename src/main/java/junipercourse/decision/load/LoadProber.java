package junipercourse.decision.load;

import java.util.ArrayList;
import java.util.List;
import junipercourse.decision.state.DispatchState;
import junipercourse.decision.state.EngineState;
import junipercourse.decision.state.PendingRequest;

/**
 * Sends load probes to those candidates of a request whose load reports are old, within a budget.
 */
public final class LoadProber {
    // The number of probes is proportional to the traffic.
    private static final double PROBES_PER_REQUEST = 0.35;
    // More probes would make requests concentrate on the least loaded engine.
    private static final int MAX_CONCURRENT_PROBES = 3;
    // Reports lag by about as much.
    private static final double FRESH_REPORT_SECONDS = 0.4;
    // A few network round trips.
    private static final double PROBE_WAIT_SECONDS = 0.01;

    private final DispatchState state;
    private final PeerLoadGossip gossip;
    private double probeBudget;

    /** Creates a prober with an empty budget. */
    public LoadProber(DispatchState state, PeerLoadGossip gossip) {
        this.state = state;
        this.gossip = gossip;
    }

    /** Increases the probe budget for a new request. */
    public void recordRequest() {
        probeBudget = Math.min(probeBudget + PROBES_PER_REQUEST, MAX_CONCURRENT_PROBES);
    }

    /**
     * Probes those candidates of a request whose load reports are old, and makes the request wait
     * for the results.
     */
    public void probeCandidates(double now, PendingRequest request) {
        if (!state.settings().limits().probesAllowed() || gossip.isActive()) {
            return;
        }
        List<EngineState> stale = new ArrayList<>(request.candidateEngines());
        stale.removeIf(engine -> !needsProbe(now, engine));
        for (EngineState engine : stale.subList(0, Math.min(stale.size(), (int) probeBudget))) {
            probeBudget--;
            engine.externalLoad().setProbeInFlight(true);
            state.actions().probeEngine(engine.id());
            request.awaitReports(now + PROBE_WAIT_SECONDS);
            state.requests().evaluations().schedule(request.awaitReportsUntil(), request);
        }
    }

    private static boolean needsProbe(double now, EngineState engine) {
        boolean reportIsFresh = now - engine.externalLoad().reportedAt() < FRESH_REPORT_SECONDS;
        boolean isInBackoff =
                engine.health().isEjected() && now < engine.health().nextProbationAt();
        return !engine.externalLoad().isProbeInFlight() && !reportIsFresh && !isInBackoff;
    }

    /** Returns true while a request waits for load probes of its candidates. */
    public boolean isAwaitingReports(double now, PendingRequest request) {
        return now < request.awaitReportsUntil()
                && request.candidateEngines().stream()
                        .anyMatch(engine -> engine.externalLoad().isProbeInFlight());
    }
}
