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
    private static final double MAX_MEMORY_SHARE = 0.95; // in grants: estimates scatter

    private final Estimators estimators;
    private final SlowStartController slowStart;
    private final LoadEstimator load;
    private final PeerLoadGossip gossip;
    private final MemoryGrants grants;

    /** Creates the check. */
    public EngineCapacity(
            Estimators estimators,
            SlowStartController slowStart,
            LoadEstimator load,
            PeerLoadGossip gossip,
            MemoryGrants grants) {
        this.estimators = estimators;
        this.slowStart = slowStart;
        this.load = load;
        this.gossip = gossip;
        this.grants = grants;
    }

    /** Returns the load of an engine in threads per core, more if the engine is slow. */
    double loadPerCore(double now, EngineState engine) {
        return (engine.inFlight().threads() + load.externalThreads(now, engine))
                / engine.cores()
                * Math.exp(estimators.speed().relativeLogSlowdown(engine));
    }

    /** Returns true if an attempt of a request fits an engine. */
    public boolean fits(double now, PendingRequest request, EngineState engine, boolean restart) {
        double externalThreads = load.externalThreads(now, engine);
        return threadsFit(now, request, engine, restart, externalThreads)
                && memoryFits(request, engine, externalThreads);
    }

    private boolean threadsFit(
            double now,
            PendingRequest request,
            EngineState engine,
            boolean restart,
            double externalThreads) {
        double bound =
                DecisionDefaults.MAX_THREADS_PER_CORE
                        * engine.cores()
                        * Math.exp(-estimators.speed().relativeLogSlowdown(engine))
                        * slowStart.capacityShare(now, engine)
                        * (restart ? DecisionDefaults.RESTART_CAPACITY_FACTOR : 1);
        double halfOfRequest = request.queryClass().threads() / 2.0;
        return engine.inFlight().threads() + externalThreads + halfOfRequest <= bound;
    }

    private boolean memoryFits(PendingRequest request, EngineState engine, double externalThreads) {
        double externalMb =
                gossip.isActive()
                        ? engine.externalLoad().peerMemoryMb()
                        : externalThreads * estimators.workload().mbPerThread();
        double granted = engine.inFlight().memoryMb() + externalMb + grants.grantMb(request);
        return engine.memoryMb() <= 0
                || engine.inFlight().attemptCount() == 0
                || granted <= engine.memoryMb() * MAX_MEMORY_SHARE;
    }
}
