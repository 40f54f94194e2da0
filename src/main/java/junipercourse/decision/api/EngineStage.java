package junipercourse.decision.api;

/** States whether an engine accepts work. */
public enum EngineStage {
    /** The engine accepts queries. */
    READY,
    /** The engine completes its queries and accepts no others. */
    DRAINING,
    /** The engine is no longer listed. */
    GONE
}
