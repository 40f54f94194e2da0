package junipercourse.decision;

import java.util.List;
import junipercourse.decision.api.EndpointUpdateKind;
import junipercourse.decision.api.EngineKind;
import junipercourse.decision.api.EngineListing;
import junipercourse.decision.api.EngineStage;
import junipercourse.decision.constraints.SlowStartController;
import junipercourse.decision.health.OutlierDetector;
import junipercourse.decision.health.ReinstatementReason;
import junipercourse.decision.state.DispatchState;
import junipercourse.decision.state.EngineState;

/** Applies updates of the endpoint list to the engines and their tiers. */
final class EndpointListUpdater {
    private static final EngineKind UNKNOWN_KIND = new EngineKind("", 0, 0);

    private final DispatchState state;
    private final OutlierDetector outlierDetector;
    private final SlowStartController slowStart;

    EndpointListUpdater(
            DispatchState state, OutlierDetector outlierDetector, SlowStartController slowStart) {
        this.state = state;
        this.outlierDetector = outlierDetector;
        this.slowStart = slowStart;
    }

    /** Applies an update; must not be called for {@link EndpointUpdateKind#FAILED}. */
    void apply(double now, EndpointUpdateKind kind, List<EngineListing> entries) {
        if (kind != EndpointUpdateKind.DELTA) {
            state.engines().all().forEach(EngineState::clearListing);
        }
        entries.forEach(this::apply);
        removeUnlisted();
        state.engines().assignTiers();
        state.engines().recordListUpdate(kind != EndpointUpdateKind.CACHED);
        if (state.engines().isKnownToBeEmpty()) {
            state.requests()
                    .waiting()
                    .forEach(request -> state.requests().evaluations().schedule(now, request));
        }
        state.requests().scheduleAdmission();
    }

    private void apply(EngineListing entry) {
        EngineState engine = state.engines().findOrAdd(entry.id());
        if (engine.isDraining() && entry.stage() == EngineStage.READY) {
            outlierDetector.reinstate(engine, ReinstatementReason.RELISTED);
        }
        engine.applyListing(entry, resolveKind(entry));
        if (entry.startedAt() > 0 && entry.startedAt() > engine.slowStart().startedAt()) {
            engine.resetSlowdown();
            slowStart.startSlowStart(engine, entry.startedAt());
        }
    }

    private EngineKind resolveKind(EngineListing entry) {
        List<EngineKind> kinds = state.settings().engineKinds();
        return entry.kind() < kinds.size() ? kinds.get(entry.kind()) : UNKNOWN_KIND;
    }

    private void removeUnlisted() {
        List<EngineState> removed =
                state.engines().all().stream()
                        .filter(engine -> !engine.isListed())
                        .filter(engine -> engine.inFlight().attemptCount() == 0)
                        .toList();
        removed.forEach(engine -> outlierDetector.reinstate(engine, ReinstatementReason.REMOVED));
        state.engines().removeAll(removed);
    }
}
