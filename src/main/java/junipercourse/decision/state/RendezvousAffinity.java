package junipercourse.decision.state;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Selects preferred engines for a table group by rendezvous hashing, so that all dispatchers prefer
 * the same engines of each tier.
 */
public final class RendezvousAffinity {
    private static final int MAX_CACHED_GROUPS = 4096; // limits memory use
    private static final int ID_MULTIPLIER = 31;

    private final Map<Float, List<EngineState>> cache = new HashMap<>();

    /** Clears the cached results. Must be called whenever the engines of a tier change. */
    public void clear() {
        cache.clear();
    }

    /**
     * Returns the front tier engines with the lowest hashes, followed by those of the back tier.
     */
    public List<EngineState> preferredEngines(
            float tableGroup,
            List<EngineState> front,
            int frontCount,
            List<EngineState> back,
            int backCount) {
        List<EngineState> preferred = cache.get(tableGroup);
        if (preferred == null) {
            preferred = new ArrayList<>(firstByHash(tableGroup, front, frontCount));
            preferred.addAll(firstByHash(tableGroup, back, backCount));
            if (cache.size() >= MAX_CACHED_GROUPS) {
                cache.clear();
            }
            cache.put(tableGroup, preferred);
        }
        return preferred;
    }

    private static List<EngineState> firstByHash(
            float tableGroup, List<EngineState> tier, int count) {
        Map<EngineState, Long> hashes = new HashMap<>();
        tier.forEach(engine -> hashes.put(engine, hash(tableGroup, engine)));
        return tier.stream().sorted(Comparator.comparing(hashes::get)).limit(count).toList();
    }

    private static long hash(float tableGroup, EngineState engine) {
        long seed = engine.id().value() * ID_MULTIPLIER + Float.floatToIntBits(tableGroup);
        return new SplittableRandom(seed).nextLong();
    }
}
