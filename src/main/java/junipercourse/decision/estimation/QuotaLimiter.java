package junipercourse.decision.estimation;

import java.util.List;
import junipercourse.decision.api.DecisionSettings;
import junipercourse.decision.api.QueryRequest;
import junipercourse.decision.api.Tenant;

/** Decides which requests exceed their tenant's quota, by a token bucket for each tenant. */
public final class QuotaLimiter {
    private static final double BURST_SECONDS = 1.5; // of a tenant's quota may arrive at once
    private static final double SHARE_TOLERANCE = 1.1; // the own share of traffic is an estimate
    private static final double BURST_STANDARD_DEVIATIONS =
            2; // few requests arrive unevenly by chance

    private final List<Tenant> tenants;
    private final List<TokenBucket> buckets;
    private final TrafficShareEstimator traffic;

    /** Creates a limiter for the tenants of the settings. */
    public QuotaLimiter(DecisionSettings settings, TrafficShareEstimator traffic) {
        this.tenants = settings.tenants();
        this.buckets = tenants.stream().map(tenant -> new TokenBucket()).toList();
        this.traffic = traffic;
    }

    /** Returns true if a request exceeds its tenant's quota; counts it against the quota if not. */
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
