package junipercourse.decision.selection;

import junipercourse.decision.estimation.Estimators;
import junipercourse.decision.load.AggregateCapacity;
import junipercourse.decision.load.LoadEstimator;
import junipercourse.decision.load.PeerLoadGossip;
import junipercourse.decision.state.DecisionDefaults;
import junipercourse.decision.state.PendingRequest;

/**
 * Limits this dispatcher's threads in flight to its share of the capacity of all engines. The limit
 * is looser while engines have little load, and tighter once their load exceeds the thread limit.
 * Load is also derived from congestion, since reported busy shares fall when engines are overloaded
 * while congestion rises: more threads complete less work together.
 */
public final class FairShareLimiter {
    private static final double SHARE_TOLERANCE = 1; // a large share may be exceeded by more
    private static final double OVER_QUOTA_LIMIT_SHARE = 0.2; // for tenants over quota
    private static final double MIN_LOAD_RATIO = 0.3; // of the thread limit; an idle fleet has less
    // The limit is then still 0.6 threads per core, so that every dispatcher keeps a share.
    private static final double MAX_CONGESTION_LOAD_RATIO = 1.6;

    private final Estimators estimators;
    private final LoadEstimator loadEstimator;
    private final PeerLoadGossip gossip;
    private final AggregateCapacity fleetCapacity;

    /** Creates a limiter. */
    public FairShareLimiter(
            Estimators estimators,
            LoadEstimator loadEstimator,
            PeerLoadGossip gossip,
            AggregateCapacity fleetCapacity) {
        this.estimators = estimators;
        this.loadEstimator = loadEstimator;
        this.gossip = gossip;
        this.fleetCapacity = fleetCapacity;
    }

    /**
     * Returns true if the threads of a request fit the limit, or if gossip is active. The threads
     * are scaled by the request's random admission draw, so that a request that needs more threads
     * than the limit is admitted with some probability.
     */
    boolean allows(double now, PendingRequest request) {
        double ownShare = estimators.traffic().ownShare();
        double loadRatio = fleetLoadRatio(now, ownShare);
        double adjustedShare = ownShare * (1 + SHARE_TOLERANCE * ownShare) * limitFactor(request);
        double maxThreads =
                adjustedShare
                        * fleetCapacity.warmCores()
                        * DecisionDefaults.MAX_THREADS_PER_CORE
                        / (loadRatio * loadRatio);
        double threads = request.queryClass().threads() * request.admissionDraw();
        return gossip.isActive() || fleetCapacity.ownThreads() + threads <= maxThreads;
    }

    private static double limitFactor(PendingRequest request) {
        if (request.isRestarting()) {
            return DecisionDefaults.RESTART_CAPACITY_FACTOR;
        }
        return request.isOverQuota() ? OVER_QUOTA_LIMIT_SHARE : 1;
    }

    private double fleetLoadRatio(double now, double ownShare) {
        double congestion =
                estimators.congestion().slowdownFactor(now) / DecisionDefaults.CONGESTED_SLOWDOWN;
        double congestionLoadRatio = (1 - ownShare) * Math.pow(congestion, 2);
        double reportedLoadRatio =
                loadEstimator.usualThreadsPerCore(now) / DecisionDefaults.MAX_THREADS_PER_CORE;
        return Math.max(
                MIN_LOAD_RATIO,
                Math.max(
                        reportedLoadRatio,
                        Math.min(congestionLoadRatio, MAX_CONGESTION_LOAD_RATIO)));
    }
}
