package junipercourse.decision.selection;

import junipercourse.decision.api.Idempotency;
import junipercourse.decision.constraints.SendConstraints;
import junipercourse.decision.estimation.CongestionEstimator;
import junipercourse.decision.load.PeerLoadGossip;
import junipercourse.decision.state.DecisionDefaults;
import junipercourse.decision.state.DispatchState;
import junipercourse.decision.state.EngineHealth;
import junipercourse.decision.state.EngineState;
import junipercourse.decision.state.PendingRequest;
import junipercourse.decision.state.Tier;

/**
 * Selects the engine for the next attempt of a request. First attempts go to the front tier, unless
 * the back tier has less load or is the only tier with capacity. Restarts go to the back tier.
 */
public final class EngineSelector {
    // Threads per core; keeps dispatchers from all selecting the same engine.
    private static final double MAX_RANDOM_COST = 0.12;
    private static final double AFFINITY_BONUS = 0.4; // threads per core, at affinity 1
    // Threads per core, for a request that would wait for a load of its table group.
    private static final double TABLE_LOCK_PENALTY = 1.0;
    private static final double PREVIOUS_ENGINE_PENALTY = 1; // threads per core

    private final DispatchState state;
    private final SendConstraints constraints;
    private final CongestionEstimator congestionEstimator;
    private final PeerLoadGossip gossip;
    private final CandidateSampler sampler;
    private final EngineCapacity engineCapacity;
    private final FairShareLimiter fairShareLimiter;

    /**
     * The engine with the lowest cost in one tier, and the lowest load among engines whose load is
     * known.
     */
    private static final class TierChoice {
        private double lowestLoad = Double.POSITIVE_INFINITY;
        private double bestCost = Double.POSITIVE_INFINITY;
        private EngineState bestEngine;
    }

    /** Creates a selector. */
    public EngineSelector(
            DispatchState state,
            SendConstraints constraints,
            CongestionEstimator congestionEstimator,
            PeerLoadGossip gossip,
            CandidateSampler sampler,
            EngineCapacity engineCapacity,
            FairShareLimiter fairShareLimiter) {
        this.state = state;
        this.constraints = constraints;
        this.congestionEstimator = congestionEstimator;
        this.gossip = gossip;
        this.sampler = sampler;
        this.engineCapacity = engineCapacity;
        this.fairShareLimiter = fairShareLimiter;
    }

    /**
     * Returns the engine for the next attempt of a request, or null if no candidate has capacity or
     * the request exceeds the fair share of this dispatcher.
     */
    public EngineState select(double now, PendingRequest request) {
        if (!fairShareLimiter.allows(now, request)) {
            return null;
        }
        boolean allLoadsKnown = areAllLoadsKnown(now);
        TierChoice frontChoice = new TierChoice();
        TierChoice backChoice = new TierChoice();
        for (EngineState engine : request.candidateEngines()) {
            if (isUsable(now, request, engine)) {
                TierChoice tierChoice = engine.tier() == Tier.BACK ? backChoice : frontChoice;
                considerEngine(now, request, engine, tierChoice, allLoadsKnown);
            }
        }
        return chooseEngine(now, request, frontChoice, backChoice);
    }

    /**
     * Returns true if the back tier may be compared even without recent load reports. An engine
     * without a report appears idle; this is accepted if there is a single dispatcher, if gossip
     * reports the load of the others, or if the front tier is the more congested one.
     */
    private boolean areAllLoadsKnown(double now) {
        boolean isFrontCongested =
                congestionEstimator.slowdownFactor(now, Tier.FRONT)
                        > DecisionDefaults.CONGESTED_SLOWDOWN
                                * congestionEstimator.slowdownFactor(now, Tier.BACK);
        return state.settings().dispatcherCount() == 1 || gossip.isActive() || isFrontCongested;
    }

    private void considerEngine(
            double now,
            PendingRequest request,
            EngineState engine,
            TierChoice tierChoice,
            boolean allLoadsKnown) {
        double loadPerCore = engineCapacity.loadPerCore(now, engine);
        if (allLoadsKnown || isLoadKnown(now, request, engine)) {
            tierChoice.lowestLoad =
                    Math.min(
                            tierChoice.lowestLoad,
                            loadPerCore * congestionEstimator.slowdownFactor(now, engine.tier()));
        }
        double cost =
                computeCost(request, engine, loadPerCore)
                        + state.random().nextDouble() * MAX_RANDOM_COST;
        if (cost < tierChoice.bestCost
                && engineCapacity.fits(now, request, engine, request.isRestarting())) {
            tierChoice.bestCost = cost;
            tierChoice.bestEngine = engine;
        }
    }

    private boolean isLoadKnown(double now, PendingRequest request, EngineState engine) {
        double reportAgeSeconds = now - engine.externalLoad().reportedAt();
        return engine.tier() == Tier.FRONT
                || request.isRestarting()
                || constraints.slowStart().isWarmingUp(now, engine)
                || reportAgeSeconds < DecisionDefaults.LOAD_REPORT_DECAY_SECONDS;
    }

    /**
     * Returns the best engine of the preferred tier, or else of the other one. A congested back
     * tier takes no first attempts that the front tier has no room for.
     */
    private EngineState chooseEngine(
            double now, PendingRequest request, TierChoice frontChoice, TierChoice backChoice) {
        boolean prefersBackTier =
                request.isRestarting()
                        ? backChoice.lowestLoad < Double.POSITIVE_INFINITY
                        : backChoice.lowestLoad < frontChoice.lowestLoad;
        TierChoice preferredChoice = prefersBackTier ? backChoice : frontChoice;
        TierChoice otherChoice = prefersBackTier ? frontChoice : backChoice;
        boolean isBackCongested =
                congestionEstimator.slowdownFactor(now, Tier.BACK)
                        > DecisionDefaults.CONGESTED_SLOWDOWN;
        boolean hasFrontTier = !state.engines().readyEngines(Tier.FRONT).isEmpty();
        boolean isTierFixed =
                preferredChoice.bestEngine != null
                        || request.isRestarting()
                        || !prefersBackTier && isBackCongested && hasFrontTier;
        return isTierFixed ? preferredChoice.bestEngine : otherChoice.bestEngine;
    }

    private double computeCost(PendingRequest request, EngineState engine, double loadPerCore) {
        double cost =
                loadPerCore
                        - AFFINITY_BONUS * sampler.affinityScore(request, engine)
                        + sampler.tableLoadPlacementCost(request, engine);
        boolean usesTableLocks =
                request.queryClass().blockedByLoads() || request.queryClass().loadsTables();
        boolean isBlocked =
                usesTableLocks && engine.inFlight().locksTableGroup(request.tableGroup());
        return cost
                + (isBlocked ? TABLE_LOCK_PENALTY : 0)
                + (engine == request.previousEngine() ? PREVIOUS_ENGINE_PENALTY : 0);
    }

    /**
     * Returns true if a request may be sent to an engine. An ejected engine without attempts may be
     * sent one as a probation.
     */
    private boolean isUsable(double now, PendingRequest request, EngineState engine) {
        if (!constraints.maySend(now, request, engine)) {
            return false;
        }
        EngineHealth health = engine.health();
        return !health.isEjected()
                || engine.inFlight().attemptCount() == 0
                        && now >= health.nextProbationAt() + probationDelaySeconds(request);
    }

    /**
     * Returns the delay before a request may be used as a probation. It is 0 for idempotent
     * requests, which can be retried if the probation fails; others wait, so that they are used
     * last.
     */
    private static double probationDelaySeconds(PendingRequest request) {
        return request.queryClass().idempotency() == Idempotency.IDEMPOTENT
                ? 0
                : DecisionDefaults.MAX_BACKOFF_SECONDS;
    }
}
