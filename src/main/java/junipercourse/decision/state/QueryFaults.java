package junipercourse.decision.state;

/** The errors of one request, and the engine that they are attributed to. */
public final class QueryFaults {
    private int errors;
    private boolean poisonQuery;
    private EngineState blamedEngine;

    /** Returns the number of attempts that ended with an error. */
    public int errors() {
        return errors;
    }

    /** Counts an attempt that ended with an error. */
    public void addError() {
        errors++;
    }

    /**
     * Returns true if this is a poison query: it fails at any engine, so its errors do not count
     * against engines.
     */
    public boolean isPoisonQuery() {
        return poisonQuery;
    }

    /** Marks the query as a poison query. */
    public void markPoisonQuery() {
        poisonQuery = true;
    }

    /** Returns the engine that the errors are attributed to; null if there is none. */
    public EngineState blamedEngine() {
        return blamedEngine;
    }

    /** Sets the engine that the errors are attributed to. */
    public void blame(EngineState engine) {
        blamedEngine = engine;
    }
}
