package junipercourse.decision.api;

/** Thrown if the settings do not contain the class of a request. */
public final class UnknownQueryClassException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    private final int queryClass;

    /**
     * Creates an exception.
     *
     * @param queryClass the class index in the request
     */
    public UnknownQueryClassException(int queryClass) {
        super("query class " + queryClass + " is not in the settings");
        this.queryClass = queryClass;
    }

    /** Returns the class index in the request. */
    public int queryClass() {
        return queryClass;
    }
}
