package junipercourse.decision.api;

/**
 * Describes a tenant.
 *
 * @param name its name in the settings
 * @param quotaShare its share of the service
 * @param quotaPerSecond quota in requests per second, summed over all dispatchers
 */
public record Tenant(String name, double quotaShare, double quotaPerSecond) {}
