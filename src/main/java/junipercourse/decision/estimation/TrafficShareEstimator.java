package junipercourse.decision.estimation;

import junipercourse.decision.api.DecisionSettings;
import junipercourse.decision.api.Tenant;
import junipercourse.decision.state.DecisionDefaults;

/** Estimates which share of all dispatchers' traffic arrives at this one. */
public final class TrafficShareEstimator {
    private static final double EVEN_SHARE_DIVISOR =
            4; // the share is at least a fourth of an even one
    private static final double INITIAL_AVERAGING_SECONDS = 2;

    private final int dispatcherCount;
    private final double totalQuota;
    private double requestsPerSecond;
    private double updatedAt;
    private double startedAt = Double.NaN; // as long as the module has not started
    private boolean started;

    /** Creates an estimator that assumes an even share. */
    public TrafficShareEstimator(DecisionSettings settings) {
        dispatcherCount = settings.dispatcherCount();
        totalQuota = settings.tenants().stream().mapToDouble(Tenant::quotaPerSecond).sum();
        requestsPerSecond = totalQuota / dispatcherCount;
    }

    /** Notes the time of the module's first event. */
    public void start(double now) {
        started = true;
        startedAt = now;
        updatedAt = now;
    }

    /** Returns true once {@link #start} was called. */
    public boolean isStarted() {
        return started;
    }

    /** Counts a request. */
    public void recordRequest(double now) {
        double secondsSinceLast = now - updatedAt;
        updatedAt = now;
        double averagingSeconds =
                Math.min(
                        DecisionDefaults.TRAFFIC_AVERAGING_SECONDS,
                        INITIAL_AVERAGING_SECONDS + now - startedAt);
        double weight = 1 / averagingSeconds;
        requestsPerSecond += weight * (1 - secondsSinceLast * requestsPerSecond);
    }

    /** Returns the requests a second that arrive here. */
    public double requestsPerSecond() {
        return requestsPerSecond;
    }

    /** Returns this dispatcher's share of all traffic, above 0 and at most 1. */
    public double ownShare() {
        double evenShare = 1.0 / dispatcherCount;
        return totalQuota > 0
                ? Math.max(
                        evenShare / EVEN_SHARE_DIVISOR, Math.min(1, requestsPerSecond / totalQuota))
                : evenShare;
    }

    /** Returns the seconds over which traffic was counted, from 1 to the averaging time. */
    public double observedSeconds(double now) {
        return Math.max(1, Math.min(DecisionDefaults.TRAFFIC_AVERAGING_SECONDS, now - startedAt));
    }
}
