package junipercourse.decision.api;

/** Describes what an engine does when memory grants exceed its memory. */
public enum OutOfMemoryPolicy {
    /** The query waits in the engine's queue. */
    QUEUE,
    /** The query is granted the remaining memory and spills to disk. */
    SHRINK_GRANT,
    /**
     * The query starts. All queries slow down while the memory in use exceeds that of the engine.
     */
    OVERCOMMIT
}
