package junipercourse.decision.selection;

import java.util.List;
import junipercourse.decision.constraints.SendConstraints;
import junipercourse.decision.state.DecisionDefaults;
import junipercourse.decision.state.DispatchState;
import junipercourse.decision.state.EngineState;
import junipercourse.decision.state.PendingRequest;
import junipercourse.decision.state.Tier;

/**
 * Draws the few engines of each tier that are considered for a request. Ranking all engines would
 * take time and send all dispatchers to the same one.
 */
public final class CandidateSampler {
    private static final int FRONT_AFFINITY_ENGINES = 4; // where a table group is read first
    private static final int LOAD_AFFINITY_ENGINES = 2; // where a table group is loaded first
    private static final double LOAD_AFFINITY_WEIGHT = 0.8; // threads per core, for the first one

    private final DispatchState state;
    private final boolean hasLoadingClasses;

    /** Creates a sampler. */
    public CandidateSampler(DispatchState state) {
        this.state = state;
        this.hasLoadingClasses = state.hasLoadingClasses();
    }

    /** Draws the candidates of a request anew, for its first attempt, a retry or a restart. */
    public void sample(PendingRequest request) {
        sample(
                request,
                request.isRestarting()
                        ? DecisionDefaults.FRONT_CANDIDATES
                        : DecisionDefaults.BACK_CANDIDATES);
    }

    /** Draws the candidates of a restart. */
    public void sampleForRestart(PendingRequest request) {
        sample(request, DecisionDefaults.FRONT_CANDIDATES);
    }

    private void sample(PendingRequest request, int backCandidates) {
        List<EngineState> candidates = request.candidateEngines();
        candidates.clear();
        affinityEngines(request).stream()
                .filter(engine -> SendConstraints.placementAllows(request, engine))
                .forEach(candidates::add);
        draw(request, Tier.FRONT, DecisionDefaults.FRONT_CANDIDATES);
        draw(request, Tier.BACK, DecisionDefaults.FRONT_CANDIDATES + backCandidates);
    }

    private void draw(PendingRequest request, Tier tier, int maxCandidates) {
        List<EngineState> candidates = request.candidateEngines();
        List<EngineState> engines = state.engines().readyEngines(tier);
        for (int index = 0; index < engines.size() && candidates.size() < maxCandidates; index++) {
            int drawn = index + state.random().nextInt(engines.size() - index);
            state.engines().swap(tier, index, drawn);
            EngineState engine = engines.get(index);
            if (SendConstraints.placementAllows(request, engine) && !candidates.contains(engine)) {
                candidates.add(engine);
            }
        }
    }

    /**
     * Returns the engines at which all dispatchers read a table group first, so that a few engines
     * keep it cached; none if any class loads tables: freshly loaded groups do not stay cached, and
     * reads would gather where loads lock the group.
     */
    List<EngineState> affinityEngines(PendingRequest request) {
        return hasLoadingClasses
                ? List.of()
                : state.engines().preferredEngines(request.tableGroup(), FRONT_AFFINITY_ENGINES, 1);
    }

    /**
     * Returns the cost of an engine by the loads that other dispatchers place, in threads per core:
     * loads of a group gather on a few engines by hash, and queries that would wait for a load
     * avoid these, since no report tells which groups the loads of others lock.
     */
    double loadPlacementCost(PendingRequest request, EngineState engine) {
        boolean loads = request.queryClass().loadsTables();
        if (!hasLoadingClasses || !loads && !request.queryClass().blockedByLoads()) {
            return 0;
        }
        int rank =
                state.engines()
                        .preferredEngines(request.tableGroup(), LOAD_AFFINITY_ENGINES, 0)
                        .indexOf(engine);
        double weight =
                rank < 0 ? 0 : LOAD_AFFINITY_WEIGHT * (1 - (double) rank / LOAD_AFFINITY_ENGINES);
        return loads ? -weight : weight;
    }

    /** Returns the bonus of an engine for the table group of a request, as a share from 0 to 1. */
    double affinity(PendingRequest request, EngineState engine) {
        int rank = affinityEngines(request).indexOf(engine);
        if (rank < 0) {
            return 0;
        }
        return engine.tier() == Tier.BACK ? 1 : 1 - (double) rank / FRONT_AFFINITY_ENGINES;
    }
}
