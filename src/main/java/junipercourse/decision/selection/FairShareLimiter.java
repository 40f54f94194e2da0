package junipercourse.decision.selection;

import junipercourse.decision.estimation.Estimators;
import junipercourse.decision.load.AggregateCapacity;
import junipercourse.decision.load.LoadEstimator;
import junipercourse.decision.load.PeerLoadGossip;
import junipercourse.decision.state.DecisionDefaults;
import junipercourse.decision.state.PendingRequest;

/**
 * Keeps this dispatcher's threads in flight within its share of what all engines can take. The
 * limit is looser while engines have little load, and tighter beyond the bound. Busy shares fall
 * when engines are overloaded, while congestion rises: more threads complete less work together.
 */
public final class FairShareLimiter {
    private static final double SHARE_TOLERANCE = 1; // by which much traffic may exceed its share
    private static final double OVER_QUOTA_SHARE =
            0.2; // of the limit is open to tenants over quota
    private static final double MIN_STRAIN = 0.3; // of the bound: a fleet with less load is idle
    private static final double MAX_STRAIN = 1.6; // leaves 0.6 threads per core: all keep a share

    private final Estimators estimators;
    private final LoadEstimator load;
    private final PeerLoadGossip gossip;
    private final AggregateCapacity capacity;

    /** Creates a limiter. */
    public FairShareLimiter(
            Estimators estimators,
            LoadEstimator load,
            PeerLoadGossip gossip,
            AggregateCapacity capacity) {
        this.estimators = estimators;
        this.load = load;
        this.gossip = gossip;
        this.capacity = capacity;
    }

    /**
     * Returns true if a request fits the limit; by chance if the limit is less than its threads.
     */
    boolean allows(PendingRequest request) {
        double ownShare = estimators.traffic().ownShare();
        double strain = strain(ownShare);
        double share = ownShare * (1 + SHARE_TOLERANCE * ownShare) * openShare(request);
        double limit =
                share
                        * capacity.warmCores()
                        * DecisionDefaults.MAX_THREADS_PER_CORE
                        / (strain * strain);
        double threads = request.queryClass().threads() * request.admissionDraw();
        return gossip.isActive() || capacity.ownThreads() + threads <= limit;
    }

    private static double openShare(PendingRequest request) {
        if (request.isRestarting()) {
            return DecisionDefaults.RESTART_CAPACITY_FACTOR;
        }
        return request.isOverQuota() ? OVER_QUOTA_SHARE : 1;
    }

    private double strain(double ownShare) {
        double congestion =
                estimators.congestion().slowdownFactor() / DecisionDefaults.CONGESTED_SLOWDOWN;
        double byOthers = (1 - ownShare) * Math.pow(congestion, 2);
        double byReports = load.usualThreadsPerCore() / DecisionDefaults.MAX_THREADS_PER_CORE;
        return Math.max(MIN_STRAIN, Math.max(byReports, Math.min(byOthers, MAX_STRAIN)));
    }
}
