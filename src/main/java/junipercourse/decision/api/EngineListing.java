package junipercourse.decision.api;

/**
 * One entry of the endpoint list.
 *
 * @param id the engine
 * @param zone index of its zone in the settings
 * @param kind index of its {@link EngineKind} in the settings
 * @param cell its cell, used by {@link DeduplicationScope#CELL}
 * @param stage whether it accepts work
 * @param rating its relative capacity
 * @param startedAt time at which it was started, in seconds; 0 if that was long ago
 */
public record EngineListing(
        EngineId id,
        int zone,
        int kind,
        int cell,
        EngineStage stage,
        double rating,
        double startedAt) {}
