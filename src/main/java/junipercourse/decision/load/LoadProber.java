package junipercourse.decision.load;

import java.util.ArrayList;
import java.util.List;
import junipercourse.decision.state.DispatchState;
import junipercourse.decision.state.EngineState;
import junipercourse.decision.state.PendingRequest;

/** Probes the candidates of a request whose load reports are old, within a budget. */
public final class LoadProber {
    private static final double PROBES_PER_REQUEST = 0.35; // probes scale with traffic
    private static final int MAX_CONCURRENT_PROBES = 3; // more would crowd the least loaded engine
    private static final double FRESH_REPORT_SECONDS = 0.4; // reports lag as much
    private static final double PROBE_WAIT_SECONDS = 0.01; // a few round trips

    private final DispatchState state;
    private final PeerLoadGossip gossip;
    private double probeBudget;

    /** Creates a prober without budget. */
    public LoadProber(DispatchState state, PeerLoadGossip gossip) {
        this.state = state;
        this.gossip = gossip;
    }

    /** Adds the probes that a new request pays for. */
    public void recordRequest() {
        probeBudget = Math.min(probeBudget + PROBES_PER_REQUEST, MAX_CONCURRENT_PROBES);
    }

    /** Probes the candidates of a request whose reports are old; the request waits for them. */
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

    /** Returns true while a request waits for the reports of its candidates. */
    public boolean isAwaitingReports(double now, PendingRequest request) {
        return now < request.awaitReportsUntil()
                && request.candidateEngines().stream()
                        .anyMatch(engine -> engine.externalLoad().isProbeInFlight());
    }
}
