package junipercourse.decision.estimation;

import junipercourse.decision.api.DecisionSettings;
import junipercourse.decision.api.Tenant;
import junipercourse.decision.state.DecisionDefaults;

/** Estimates the share of the traffic of all dispatchers that this one receives. */
public final class TrafficShareEstimator {
    // The estimate is at least a fourth of an even share.
    private static final double EVEN_SHARE_DIVISOR = 4;
    private static final double INITIAL_AVERAGING_SECONDS = 2;

    private final int dispatcherCount;
    private final double totalQuota;
    private double requestsPerSecond;
    private double updatedAt;
    private double startedAt;
    private boolean started;

    /** Creates an estimator that assumes an even share. */
    public TrafficShareEstimator(DecisionSettings settings) {
        dispatcherCount = settings.dispatcherCount();
        totalQuota = settings.tenants().stream().mapToDouble(Tenant::quotaPerSecond).sum();
        requestsPerSecond = totalQuota / dispatcherCount;
    }

    /** Starts the measurement at the time of the module's first event. */
    public void start(double now) {
        started = true;
        startedAt = now;
        updatedAt = now;
    }

    /** Returns true after {@link #start} was called. */
    public boolean isStarted() {
        return started;
    }

    /** Counts a request; the measurement must have been started. */
    public void recordRequest(double now) {
        assert started : "the measurement has not been started";
        double secondsSinceLast = now - updatedAt;
        updatedAt = now;
        double averagingSeconds =
                Math.min(
                        DecisionDefaults.TRAFFIC_AVERAGING_SECONDS,
                        INITIAL_AVERAGING_SECONDS + now - startedAt);
        requestsPerSecond =
                requestsPerSecond * Math.exp(-secondsSinceLast / averagingSeconds)
                        + 1 / averagingSeconds;
    }

    /** Returns the requests per second that this dispatcher receives. */
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

    /** Returns the seconds over which the traffic was measured, from 1 to the averaging time. */
    public double observedSeconds(double now) {
        return Math.max(1, Math.min(DecisionDefaults.TRAFFIC_AVERAGING_SECONDS, now - startedAt));
    }
}
