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
 * the back tier has less load or is the only one with capacity; restarts go to the back tier.
 */
public final class EngineSelector {
    private static final double RANDOM_COST = 0.12; // threads per core, so that nobody herds
    private static final double AFFINITY_BONUS = 0.4; // threads per core, for the first engine
    private static final double BLOCKED_PENALTY =
            1.0; // threads per core, behind a load of the group
    private static final double PREVIOUS_ENGINE_PENALTY = 1; // threads per core

    private final DispatchState state;
    private final SendConstraints constraints;
    private final CongestionEstimator congestion;
    private final PeerLoadGossip gossip;
    private final CandidateSampler sampler;
    private final EngineCapacity capacity;
    private final FairShareLimiter fairShare;

    /** The best engine of one tier, and the least load among those whose load is known. */
    private static final class TierChoice {
        private double leastLoad = Double.POSITIVE_INFINITY;
        private double bestCost = Double.POSITIVE_INFINITY;
        private EngineState bestEngine;
    }

    /** Creates a selector. */
    public EngineSelector(
            DispatchState state,
            SendConstraints constraints,
            CongestionEstimator congestion,
            PeerLoadGossip gossip,
            CandidateSampler sampler,
            EngineCapacity capacity,
            FairShareLimiter fairShare) {
        this.state = state;
        this.constraints = constraints;
        this.congestion = congestion;
        this.gossip = gossip;
        this.sampler = sampler;
        this.capacity = capacity;
        this.fairShare = fairShare;
    }

    /** Returns the engine for the next attempt of a request; null if none has capacity. */
    public EngineState select(double now, PendingRequest request) {
        if (!fairShare.allows(request)) {
            return null;
        }
        boolean allLoadsKnown = areAllLoadsKnown();
        TierChoice front = new TierChoice();
        TierChoice back = new TierChoice();
        for (EngineState engine : request.candidateEngines()) {
            if (isUsable(now, request, engine)) {
                TierChoice choice = engine.tier() == Tier.BACK ? back : front;
                consider(now, request, engine, choice, allLoadsKnown);
            }
        }
        return choose(request, front, back);
    }

    /** Engines without a report look idle, unless gossip tells or the front tier is congested. */
    private boolean areAllLoadsKnown() {
        boolean frontCongested =
                congestion.slowdownFactor(Tier.FRONT)
                        > DecisionDefaults.CONGESTED_SLOWDOWN
                                * congestion.slowdownFactor(Tier.BACK);
        return state.settings().dispatcherCount() == 1 || gossip.isActive() || frontCongested;
    }

    private void consider(
            double now,
            PendingRequest request,
            EngineState engine,
            TierChoice choice,
            boolean allLoadsKnown) {
        double load = capacity.loadPerCore(now, engine);
        if (allLoadsKnown || isLoadKnown(now, request, engine)) {
            choice.leastLoad =
                    Math.min(choice.leastLoad, load * congestion.slowdownFactor(engine.tier()));
        }
        double cost = cost(request, engine, load) + state.random().nextDouble() * RANDOM_COST;
        if (cost < choice.bestCost && capacity.fits(now, request, engine, request.isRestarting())) {
            choice.bestCost = cost;
            choice.bestEngine = engine;
        }
    }

    private boolean isLoadKnown(double now, PendingRequest request, EngineState engine) {
        double reportAge = now - engine.externalLoad().reportedAt();
        return engine.tier() == Tier.FRONT
                || request.isRestarting()
                || constraints.slowStart().isWarmingUp(now, engine)
                || reportAge < DecisionDefaults.LOAD_REPORT_DECAY_SECONDS;
    }

    private EngineState choose(PendingRequest request, TierChoice front, TierChoice back) {
        boolean toBack =
                request.isRestarting()
                        ? back.leastLoad < Double.POSITIVE_INFINITY
                        : back.leastLoad < front.leastLoad;
        TierChoice preferred = toBack ? back : front;
        TierChoice other = toBack ? front : back;
        boolean backCongested =
                congestion.slowdownFactor(Tier.BACK) > DecisionDefaults.CONGESTED_SLOWDOWN;
        boolean stayInTier =
                preferred.bestEngine != null || request.isRestarting() || !toBack && backCongested;
        return stayInTier ? preferred.bestEngine : other.bestEngine;
    }

    private double cost(PendingRequest request, EngineState engine, double load) {
        double cost =
                load
                        - AFFINITY_BONUS * sampler.affinity(request, engine)
                        + sampler.loadPlacementCost(request, engine);
        boolean usesTableLocks =
                request.queryClass().blockedByLoads() || request.queryClass().loadsTables();
        boolean blocked = usesTableLocks && engine.inFlight().locksTableGroup(request.tableGroup());
        return cost
                + (blocked ? BLOCKED_PENALTY : 0)
                + (engine == request.previousEngine() ? PREVIOUS_ENGINE_PENALTY : 0);
    }

    /**
     * Returns true if a request may be sent to an engine at all, as a probation if it is ejected.
     */
    private boolean isUsable(double now, PendingRequest request, EngineState engine) {
        if (!constraints.maySend(now, request, engine)) {
            return false;
        }
        EngineHealth health = engine.health();
        return !health.isEjected()
                || engine.inFlight().attemptCount() == 0
                        && now >= health.nextProbationAt() + probationDelay(request);
    }

    /** Requests whose retry is not harmless are the last to be risked on a probation. */
    private static double probationDelay(PendingRequest request) {
        return request.queryClass().idempotency() == Idempotency.IDEMPOTENT
                ? 0
                : DecisionDefaults.MAX_BACKOFF_SECONDS;
    }
}
