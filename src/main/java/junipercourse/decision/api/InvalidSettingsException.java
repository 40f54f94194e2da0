package junipercourse.decision.api;

/** Thrown if the settings of a decision module are invalid. */
public final class InvalidSettingsException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    private final String key;

    /**
     * Creates an exception.
     *
     * @param key the invalid setting, which the message begins with
     * @param problem what is wrong with it
     */
    public InvalidSettingsException(String key, String problem) {
        super(key + ": " + problem);
        this.key = key;
    }

    /** Returns the invalid setting. */
    public String key() {
        return key;
    }
}
