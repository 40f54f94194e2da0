package junipercourse.admin;

/**
 * What operators' staff may ask and do; called on the second address's own threads, never on the
 * loop's.
 */
public interface AdminOperations {
    /** What became of a change. */
    enum MaintenanceResult {
        DONE,
        UNKNOWN_ENGINE,
        FAILED
    }

    /** Whether queries can be taken. */
    boolean isReady();

    /** Why not, in one short reason. */
    String describeReadiness();

    /** Figures as JSON. */
    String getStatisticsJson();

    /** Takes an engine out. */
    MaintenanceResult startMaintenance(String id);

    /** Takes an engine in again. */
    MaintenanceResult endMaintenance(String id);
}
