package junipercourse.decision.api;

/**
 * Describes a machine type of engines.
 *
 * @param name its name in the settings
 * @param cores number of cores; 0 if unknown
 * @param memoryMb memory in MB; 0 if unknown
 */
public record EngineKind(String name, double cores, double memoryMb) {}
