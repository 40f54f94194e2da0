package junipercourse.core;

/** Why a query is refused because of its id, by which engines know it. */
public enum IdConflict {
    /** A query of this id is open or has an attempt running. */
    OPEN,

    /** A query of this id may have had an effect, and its client has left. */
    ABANDONED,

    /** Another process of this dispatcher has an open or abandoned query of this id, or had one. */
    HELD_BY_ANOTHER_PROCESS
}
