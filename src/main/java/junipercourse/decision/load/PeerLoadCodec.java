package junipercourse.decision.load;

import java.nio.ByteBuffer;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import junipercourse.decision.api.EngineId;
import junipercourse.decision.state.EngineRegistry;
import junipercourse.decision.state.EngineState;

/**
 * Encodes the load that dispatchers exchange. An engine takes eight bytes, big-endian: its id (four
 * bytes), threads in multiples of 0.1 and memory in multiples of 16 MB (two bytes each, unsigned).
 */
final class PeerLoadCodec {
    /** Maximum number of engines in one message, which is limited to 256 bytes. */
    static final int MAX_ENGINES = 31;

    private static final double THREAD_STEP = 0.1;
    private static final double MEMORY_STEP_MB = 16;
    private static final int MAX_STEPS = 65535;
    private static final int UNSIGNED_SHORT_MASK = 0xffff;
    private static final long UNSIGNED_INT_MASK = 0xffffffffL;

    private PeerLoadCodec() {}

    /** Encodes the engines with the most threads in flight, as many as fit into one message. */
    static byte[] encode(Collection<EngineState> engines) {
        List<EngineState> busiest =
                engines.stream()
                        .filter(engine -> engine.inFlight().attemptCount() != 0)
                        .sorted(Comparator.comparingDouble(engine -> -engine.inFlight().threads()))
                        .limit(MAX_ENGINES)
                        .toList();
        ByteBuffer buffer = ByteBuffer.allocate(busiest.size() * Long.BYTES);
        for (EngineState engine : busiest) {
            buffer.putInt((int) engine.id().value());
            buffer.putShort(toSteps(engine.inFlight().threads() / THREAD_STEP));
            buffer.putShort(toSteps(engine.inFlight().memoryMb() / MEMORY_STEP_MB));
        }
        return buffer.array();
    }

    private static short toSteps(double value) {
        return (short) Math.min(MAX_STEPS, Math.round(value));
    }

    /** Decodes a message; entries that are incomplete or refer to unknown engines are skipped. */
    static Map<EngineState, PeerLoad> decode(byte[] payload, EngineRegistry engines) {
        Map<EngineState, PeerLoad> loads = new LinkedHashMap<>();
        ByteBuffer buffer = ByteBuffer.wrap(payload);
        while (buffer.remaining() >= Long.BYTES && loads.size() < MAX_ENGINES) {
            EngineState engine = engines.find(new EngineId(buffer.getInt() & UNSIGNED_INT_MASK));
            double threads = (buffer.getShort() & UNSIGNED_SHORT_MASK) * THREAD_STEP;
            double memoryMb = (buffer.getShort() & UNSIGNED_SHORT_MASK) * MEMORY_STEP_MB;
            if (engine != null) {
                loads.put(engine, new PeerLoad(threads, memoryMb));
            }
        }
        return loads;
    }
}
