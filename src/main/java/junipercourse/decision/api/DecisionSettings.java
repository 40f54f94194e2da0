package junipercourse.decision.api;

import java.util.List;

/**
 * Holds all settings of a decision module.
 *
 * @param dispatcherCount number of dispatchers that share the engines
 * @param dispatcherIndex position of this dispatcher among them, from 0
 * @param zone zone in which this dispatcher runs
 * @param pollsEndpoints whether the module must subscribe to the endpoint list
 * @param capacityRating accuracy of the ratings in the endpoint list
 * @param overQuotaWeight factor for the priority weight of a request whose tenant is over quota
 * @param loadReportChannel how load reports arrive
 * @param loadMetrics the values of a load report, in order
 * @param queryClasses all query classes; requests refer to them by position
 * @param tenants all tenants; requests refer to them by position
 * @param engineKinds all engine kinds; engines refer to them by position
 * @param limits mechanisms that the platform allows
 * @param guarantees guarantees that the dispatcher must fulfil
 * @param engineCapabilities features of the engines
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
     * @throws InvalidSettingsException if a required setting is missing or out of range
     */
    public DecisionSettings {
        if (queryClasses.isEmpty()) {
            throw new InvalidSettingsException("classes", "must contain at least one query class");
        }
        if (dispatcherCount < 1) {
            throw new InvalidSettingsException("gateways", Integer.toString(dispatcherCount));
        }
        for (QueryClass queryClass : queryClasses) {
            if (!isUsable(queryClass)) {
                throw new InvalidSettingsException(
                        "class " + queryClass.name(), "deadline, aim or threads is out of range");
            }
        }
    }

    private static boolean isUsable(QueryClass queryClass) {
        return queryClass.deadlineSeconds() > 0
                && queryClass.threads() >= 1
                && queryClass.latencyObjectiveSeconds() >= 0;
    }
}
