package junipercourse.decision.api;

/** Describes how accurate {@link EngineListing#rating()} is. */
public enum CapacityRating {
    /** The endpoint list carries no ratings. */
    OFF,
    /** The rating is the nominal capacity of the engine's kind. */
    NOMINAL,
    /** The rating is a rough estimate. */
    ROUGH,
    /** The rating follows the engine's current capacity. */
    LIVE
}
