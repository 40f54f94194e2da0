package junipercourse.decision.estimation;

import junipercourse.decision.api.DecisionSettings;
import junipercourse.decision.state.DecisionDefaults;

/**
 * All estimators of one decision module.
 *
 * @param traffic share of all traffic that arrives here
 * @param quota which requests exceed their tenant's quota
 * @param latency latency and work of requests
 * @param speed speed of each engine against the others
 * @param congestion slowdown by congestion
 * @param workload threads and memory of the average query in flight
 */
public record Estimators(
        TrafficShareEstimator traffic,
        QuotaLimiter quota,
        LatencyEstimator latency,
        EngineSpeedEstimator speed,
        CongestionEstimator congestion,
        WorkloadMix workload) {
    private static final double CONGESTION_DECAY_SECONDS = 3;
    private static final double CONGESTION_PRIOR_WORK_SECONDS = 2;

    /** Creates estimators without samples. */
    public static Estimators create(DecisionSettings settings) {
        TrafficShareEstimator traffic = new TrafficShareEstimator(settings);
        CongestionEstimator congestion =
                new CongestionEstimator(
                        CONGESTION_DECAY_SECONDS,
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
