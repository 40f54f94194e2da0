package junipercourse.decision.api;

/** Describes how an attempt or a load probe ended. */
public enum AttemptOutcome {
    /** The engine answered. */
    OK(false),
    /** The engine reported an error. */
    ERROR(false),
    /** The engine rejected the attempt because it was at its limit. */
    REJECTED(true),
    /** The engine did not answer before the timeout of the attempt. */
    TIMEOUT(false),
    /** No connection could be established. */
    UNREACHABLE(true),
    /** The connection broke. */
    RESET(false),
    /** The attempt was cancelled. */
    CANCELLED(false),
    /**
     * The platform discarded the attempt because the request was already complete or had used up
     * its attempts.
     */
    OBSOLETE(true),
    /**
     * The dispatcher wrote no byte of the attempt, so the outcome says nothing about the engine.
     */
    NOT_SENT(true);

    private final boolean neverRan;

    AttemptOutcome(boolean neverRan) {
        this.neverRan = neverRan;
    }

    /** Returns true if the outcome proves that the engine did not execute the query. */
    public boolean neverRan() {
        return neverRan;
    }
}
