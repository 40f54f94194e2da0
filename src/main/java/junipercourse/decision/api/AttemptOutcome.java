package junipercourse.decision.api;

/** Describes how an attempt or a load probe ended. */
public enum AttemptOutcome {
    /** The engine answered. */
    OK(false),
    /** The engine reported an error. */
    ERROR(false),
    /** The engine rejected the attempt because it was at its limit. */
    REJECTED(true),
    /** No answer arrived in time. */
    TIMEOUT(false),
    /** No connection could be established. */
    UNREACHABLE(true),
    /** The connection broke. */
    RESET(false),
    /** The attempt was cancelled. */
    CANCELLED(false),
    /**
     * The platform dropped the attempt, since the request had ended or had used up its attempts.
     */
    OBSOLETE(true),
    /** The dispatcher wrote none of its bytes; the outcome says nothing about the engine. */
    NOT_SENT(true);

    private final boolean neverRan;

    AttemptOutcome(boolean neverRan) {
        this.neverRan = neverRan;
    }

    /** Returns true if the outcome proves that the attempt had no effect. */
    public boolean neverRan() {
        return neverRan;
    }
}
