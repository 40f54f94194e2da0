package junipercourse.decision.selection;

import junipercourse.decision.constraints.SlowStartController;
import junipercourse.decision.estimation.Estimators;
import junipercourse.decision.load.LoadEstimator;
import junipercourse.decision.load.PeerLoadGossip;
import junipercourse.decision.state.DecisionDefaults;
import junipercourse.decision.state.EngineState;
import junipercourse.decision.state.PendingRequest;

/** Decides whether an engine has the threads and the memory for one more attempt. */
public final class EngineCapacity {
    private static final double MAX_GRANTED_MEMORY_SHARE = 0.95; // memory estimates are inexact

    private final Estimators estimators;
    private final SlowStartController slowStartController;
    private final LoadEstimator loadEstimator;
    private final PeerLoadGossip gossip;
    private final MemoryGrants memoryGrants;

    /** Creates a capacity check. */
    public EngineCapacity(
            Estimators estimators,
            SlowStartController slowStartController,
            LoadEstimator loadEstimator,
            PeerLoadGossip gossip,
            MemoryGrants memoryGrants) {
        this.estimators = estimators;
        this.slowStartController = slowStartController;
        this.loadEstimator = loadEstimator;
        this.gossip = gossip;
        this.memoryGrants = memoryGrants;
    }

    /**
     * Returns the load of an engine in threads per core, scaled up for an engine that is slower
     * than the others.
     */
    double loadPerCore(double now, EngineState engine) {
        return (engine.inFlight().threads() + loadEstimator.externalThreads(now, engine))
                / engine.cores()
                * Math.exp(estimators.speed().relativeLogSlowdown(engine));
    }

    /**
     * Returns true if an engine has the threads and the memory for an attempt of a request.
     * Restarts have a higher thread limit.
     */
    public boolean fits(double now, PendingRequest request, EngineState engine, boolean isRestart) {
        double externalThreads = loadEstimator.externalThreads(now, engine);
        return threadsFit(now, request, engine, isRestart, externalThreads)
                && memoryFits(request, engine, externalThreads);
    }

    private boolean threadsFit(
            double now,
            PendingRequest request,
            EngineState engine,
            boolean isRestart,
            double externalThreads) {
        double maxThreads =
                DecisionDefaults.MAX_THREADS_PER_CORE
                        * engine.cores()
                        * Math.exp(-estimators.speed().relativeLogSlowdown(engine))
                        * slowStartController.capacityShare(now, engine)
                        * (isRestart ? DecisionDefaults.RESTART_CAPACITY_FACTOR : 1);
        double halfRequestThreads = request.queryClass().threads() / 2.0;
        return engine.inFlight().threads() + externalThreads + halfRequestThreads <= maxThreads;
    }

    private boolean memoryFits(PendingRequest request, EngineState engine, double externalThreads) {
        double externalMb =
                gossip.isActive()
                        ? engine.externalLoad().peerMemoryMb()
                        : externalThreads * estimators.workload().mbPerThread();
        double grantedMb =
                engine.inFlight().memoryMb() + externalMb + memoryGrants.grantMb(request);
        return engine.memoryMb() <= 0
                || engine.inFlight().attemptCount() == 0
                || grantedMb <= engine.memoryMb() * MAX_GRANTED_MEMORY_SHARE;
    }
}
