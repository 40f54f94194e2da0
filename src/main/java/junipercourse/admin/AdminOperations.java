package junipercourse.admin;

/**
 * Operations that operators can request. They are called on the threads of the admin server, never
 * on the event loop.
 */
public interface AdminOperations {
    /** Outcome of a change of maintenance mode. */
    enum MaintenanceResult {
        DONE,
        UNKNOWN_ENGINE,
        FAILED
    }

    /** Returns true if queries can be accepted. */
    boolean isReady();

    /** Returns the current reason for the readiness state, in a few words. */
    String describeReadiness();

    /** Returns statistics as JSON. */
    String getStatisticsJson();

    /** Puts an engine into maintenance mode. */
    MaintenanceResult startMaintenance(String id);

    /** Returns an engine from maintenance mode to service. */
    MaintenanceResult endMaintenance(String id);
}
