package junipercourse.decision.api;

import java.util.List;

/**
 * Holds all settings of a decision module.
 *
 * @param dispatchers number of dispatchers that share the engines
 * @param ordinal position of this dispatcher among them, from 0
 * @param zone zone in which this dispatcher runs
 * @param pollsEndpoints whether the endpoint list must be requested
 * @param capacityRating quality of the listed engines' ratings
 * @param overQuotaWeight share of its weight that a request keeps if its tenant is over quota
 * @param loadReportChannel how load reports arrive
 * @param loadMetrics the values of a load report, in order
 * @param queryClasses all query classes; requests name them by position
 * @param tenants all tenants; requests name them by position
 * @param engineKinds all engine kinds; engines name them by position
 * @param limits what the platform allows
 * @param guarantees what a dispatcher must keep
 * @param engineCapabilities how engines run queries
 */
public record DecisionSettings(
        int dispatcherCount,
        int dispatcherIndex,
        int zone,
        boolean pollsEndpoints,
        CapacityRating capacityRating,
        double overQuotaWeight,
        LoadReportChannel loadReportChannel,
        List<LoadMetric> loadMetrics,
        List<QueryClass> queryClasses,
        List<Tenant> tenants,
        List<EngineKind> engineKinds,
        PlatformLimits limits,
        ServiceGuarantees guarantees,
        EngineCapabilities engineCapabilities) {

    /**
     * Validates the settings.
     *
     * @throws InvalidSettingsException if a module cannot work with them
     */
    public DecisionSettings {
        if (queryClasses.isEmpty()) {
            throw new InvalidSettingsException("classes", "none given");
        }
        if (dispatcherCount < 1) {
            throw new InvalidSettingsException("gateways", Integer.toString(dispatcherCount));
        }
        for (QueryClass queryClass : queryClasses) {
            if (!isUsable(queryClass)) {
                throw new InvalidSettingsException(
                        "class " + queryClass.name(), "deadline, aim or threads");
            }
        }
    }

    private static boolean isUsable(QueryClass queryClass) {
        return queryClass.deadlineSeconds() > 0
                && queryClass.threads() >= 1
                && queryClass.latencyObjectiveSeconds() >= 0;
    }
}
