package junipercourse.decision.state;

/** The two pools of engines in the TAGS (task assignment by guessing size) design. */
public enum Tier {
    /** First attempts run here, up to the cutoff of their class. */
    FRONT,
    /** Attempts that exceeded their cutoff are restarted here and run to completion. */
    BACK
}
