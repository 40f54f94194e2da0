package junipercourse.decision.estimation;

import junipercourse.decision.api.DecisionSettings;
import junipercourse.decision.state.DecisionDefaults;

/**
 * All estimators of one decision module.
 *
 * @param traffic share of all traffic that this dispatcher receives
 * @param quota detects requests that exceed the quota of their tenant
 * @param latency expected latency and work of requests
 * @param speed slowdown of each engine relative to the median
 * @param congestion slowdown caused by congestion
 * @param workload average threads and memory of the queries in flight
 */
public record Estimators(
        TrafficShareEstimator traffic,
        QuotaLimiter quota,
        LatencyEstimator latency,
        EngineSpeedEstimator speed,
        CongestionEstimator congestion,
        WorkloadMix workload) {
    private static final double CONGESTION_PRIOR_WORK_SECONDS = 2;

    /** Creates estimators without samples. */
    public static Estimators create(DecisionSettings settings) {
        TrafficShareEstimator traffic = new TrafficShareEstimator(settings);
        CongestionEstimator congestion =
                new CongestionEstimator(
                        DecisionDefaults.EVIDENCE_DECAY_SECONDS,
                        CONGESTION_PRIOR_WORK_SECONDS,
                        DecisionDefaults.BASELINE_SLOWDOWN);
        return new Estimators(
                traffic,
                new QuotaLimiter(settings, traffic),
                new LatencyEstimator(congestion),
                new EngineSpeedEstimator(),
                congestion,
                new WorkloadMix());
    }
}
