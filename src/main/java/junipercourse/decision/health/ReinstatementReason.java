package junipercourse.decision.health;

/** The reason for which the ejection of an engine ended. */
public enum ReinstatementReason {
    /** The engine answered. */
    ANSWERED("readmitted"),
    /** The errors of the engine were caused by a poison query. */
    CLEARED("cleared"),
    /** The engine was draining and is listed as ready again. */
    RELISTED("put back"),
    /** The engine is no longer listed. */
    REMOVED("gone");

    private final String label;

    ReinstatementReason(String label) {
        this.label = label;
    }

    /** Returns the text of the reason in log lines. */
    String label() {
        return label;
    }
}
