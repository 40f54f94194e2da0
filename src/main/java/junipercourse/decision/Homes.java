package junipercourse.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** Rendezvous hashing: the same few engines of each tier for a table group, whoever asks. */
final class Homes {
    private static final int MOST_CACHED = 4096; // groups; bounds memory
    private final Map<Float, List<Node>> cache = new HashMap<>();

    /** To be called when a tier changes. */
    void clear() {
        cache.clear();
    }

    /** The first {@code count} of a tier by hash, then the first {@code others} of another. */
    List<Node> of(float group, List<Node> tier, int count, List<Node> other, int others) {
        List<Node> homes = cache.get(group);
        if (homes == null) {
            homes = new ArrayList<>(first(group, tier, count));
            homes.addAll(first(group, other, others));
            if (cache.size() >= MOST_CACHED) {
                cache.clear();
            }
            cache.put(group, homes);
        }
        return homes;
    }

    private static List<Node> first(float group, List<Node> tier, int count) {
        Map<Node, Long> hashes = new HashMap<>();
        tier.forEach(n -> hashes.put(n, hash(group, n)));
        return tier.stream().sorted(Comparator.comparing(hashes::get)).limit(count).toList();
    }

    private static long hash(float group, Node n) {
        return new SplittableRandom(n.id.value() * 31 + Float.floatToIntBits(group)).nextLong();
    }
}
