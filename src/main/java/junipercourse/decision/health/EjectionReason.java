package junipercourse.decision.health;

/** The reason for which an engine was ejected. */
public enum EjectionReason {
    /** The engine cannot be reached, or its connections break. */
    DEAD("dead"),
    /** The attempts at the engine show no activity. */
    SILENT("silent"),
    /** The engine answers with errors. */
    FAILING("failing");

    private final String label;

    EjectionReason(String label) {
        this.label = label;
    }

    /** Returns the text of the reason in log lines. */
    String label() {
        return label;
    }
}
