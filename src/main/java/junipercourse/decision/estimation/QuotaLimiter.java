package junipercourse.decision.estimation;

import java.util.List;
import junipercourse.decision.api.DecisionSettings;
import junipercourse.decision.api.QueryRequest;
import junipercourse.decision.api.Tenant;

/** Detects requests that exceed the quota of their tenant, with a token bucket for each tenant. */
public final class QuotaLimiter {
    // Seconds of a tenant's quota that may arrive at once.
    private static final double BURST_SECONDS = 1.5;
    // Above 1, since this dispatcher's share of the traffic is an estimate.
    private static final double SHARE_TOLERANCE = 1.1;
    // At low rates, random variation of arrivals must not exceed the quota.
    private static final double BURST_STANDARD_DEVIATIONS = 2;

    private final List<Tenant> tenants;
    private final List<TokenBucket> buckets;
    private final TrafficShareEstimator traffic;

    /** Creates a limiter for the tenants in the settings. */
    public QuotaLimiter(DecisionSettings settings, TrafficShareEstimator traffic) {
        this.tenants = settings.tenants();
        this.buckets = tenants.stream().map(tenant -> new TokenBucket()).toList();
        this.traffic = traffic;
    }

    /**
     * Returns true if a request exceeds the quota of its tenant; otherwise counts it against the
     * quota.
     */
    public boolean isOverQuota(double now, QueryRequest request) {
        if (request.tenant() < 0 || request.tenant() >= buckets.size()) {
            return false;
        }
        double quota = tenants.get(request.tenant()).quotaPerSecond();
        double tokensPerSecond = quota * traffic.ownShare() * SHARE_TOLERANCE;
        double burst = tokensPerSecond * BURST_SECONDS;
        double capacity = 1 + burst + BURST_STANDARD_DEVIATIONS * Math.sqrt(burst);
        return !buckets.get(request.tenant()).tryTake(now, tokensPerSecond, capacity);
    }
}
