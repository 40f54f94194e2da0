package junipercourse.decision.api;

/**
 * Identifies an engine. All dispatchers use the same id for the same engine.
 *
 * @param value number assigned by the endpoint list
 */
public record EngineId(long value) implements Comparable<EngineId> {
    @Override
    public int compareTo(EngineId other) {
        return Long.compare(value, other.value);
    }
}
