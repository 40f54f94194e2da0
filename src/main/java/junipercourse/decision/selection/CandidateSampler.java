package junipercourse.decision.selection;

import java.util.List;
import junipercourse.decision.constraints.SendConstraints;
import junipercourse.decision.state.DecisionDefaults;
import junipercourse.decision.state.DispatchState;
import junipercourse.decision.state.EngineState;
import junipercourse.decision.state.PendingRequest;
import junipercourse.decision.state.Tier;

/**
 * Samples the few engines of each tier that are considered for a request. Ranking all engines would
 * take longer and make all dispatchers select the same engine.
 */
public final class CandidateSampler {
    private static final int FRONT_AFFINITY_ENGINES = 4; // preferred for reads of a table group
    private static final int TABLE_LOAD_AFFINITY_ENGINES = 2; // preferred for table loads
    private static final double TABLE_LOAD_AFFINITY_WEIGHT = 0.8; // threads per core, first engine

    private final DispatchState state;
    private final boolean hasTableLoadingClasses;

    /** Creates a sampler. */
    public CandidateSampler(DispatchState state) {
        this.state = state;
        this.hasTableLoadingClasses = state.hasLoadingClasses();
    }

    /**
     * Replaces the candidates of a request by a new sample, for its first attempt, a retry or a
     * restart.
     */
    public void sample(PendingRequest request) {
        sample(
                request,
                request.isRestarting()
                        ? DecisionDefaults.FRONT_CANDIDATES
                        : DecisionDefaults.BACK_CANDIDATES);
    }

    /** Replaces the candidates of a request by a new sample for a restart. */
    public void sampleForRestart(PendingRequest request) {
        sample(request, DecisionDefaults.FRONT_CANDIDATES);
    }

    private void sample(PendingRequest request, int backCandidates) {
        List<EngineState> candidates = request.candidateEngines();
        candidates.clear();
        affinityEngines(request).stream()
                .filter(engine -> SendConstraints.placementAllows(request, engine))
                .forEach(candidates::add);
        drawCandidates(request, Tier.FRONT, DecisionDefaults.FRONT_CANDIDATES);
        drawCandidates(request, Tier.BACK, DecisionDefaults.FRONT_CANDIDATES + backCandidates);
    }

    private void drawCandidates(PendingRequest request, Tier tier, int maxCandidates) {
        List<EngineState> candidates = request.candidateEngines();
        List<EngineState> engines = state.engines().readyEngines(tier);
        for (int index = 0; index < engines.size() && candidates.size() < maxCandidates; index++) {
            int drawnIndex = index + state.random().nextInt(engines.size() - index);
            state.engines().swap(tier, index, drawnIndex);
            EngineState engine = engines.get(index);
            if (SendConstraints.placementAllows(request, engine) && !candidates.contains(engine)) {
                candidates.add(engine);
            }
        }
    }

    /**
     * Returns the engines that all dispatchers prefer for reads of a table group, so that a few
     * engines keep it cached. Returns none if any class loads tables: freshly loaded groups do not
     * stay cached, and reads would concentrate on the engines where loads lock the group.
     */
    List<EngineState> affinityEngines(PendingRequest request) {
        return hasTableLoadingClasses
                ? List.of()
                : state.engines().preferredEngines(request.tableGroup(), FRONT_AFFINITY_ENGINES, 1);
    }

    /**
     * Returns the cost, in threads per core, that accounts for table loads placed by other
     * dispatchers. All dispatchers place the loads of a table group on the same few engines, chosen
     * by hash, and queries that a load would block avoid these engines, since load reports do not
     * say which groups are locked by the loads of others. The cost is largest for the most
     * preferred engine, and negative for the loads themselves.
     */
    double tableLoadPlacementCost(PendingRequest request, EngineState engine) {
        boolean loadsTables = request.queryClass().loadsTables();
        if (!hasTableLoadingClasses || !loadsTables && !request.queryClass().blockedByLoads()) {
            return 0;
        }
        int rank =
                state.engines()
                        .preferredEngines(request.tableGroup(), TABLE_LOAD_AFFINITY_ENGINES, 0)
                        .indexOf(engine);
        double weight =
                rank < 0
                        ? 0
                        : TABLE_LOAD_AFFINITY_WEIGHT
                                * (1 - (double) rank / TABLE_LOAD_AFFINITY_ENGINES);
        return loadsTables ? -weight : weight;
    }

    /** Returns the affinity of an engine to the table group of a request, from 0 to 1. */
    double affinityScore(PendingRequest request, EngineState engine) {
        int rank = affinityEngines(request).indexOf(engine);
        if (rank < 0) {
            return 0;
        }
        return engine.tier() == Tier.BACK ? 1 : 1 - (double) rank / FRONT_AFFINITY_ENGINES;
    }
}
