package junipercourse.fleet.view;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Evidence by zone: who tried many members of one in vain, directly and through helpers, and heard nobody of
 * it meanwhile, need not try all the others one by one. A zone with fewer members than that is never judged
 * as a whole.
 */
final class Zones {
    /**
     * Distinct members tried in vain. Even if half of a zone were gone, so many drawn at random would all be
     * among these once in 256 times, and a word from any other ends it.
     */
    private static final int TRIED_LEAST = 8;

    private final double longest;
    private final Map<String, Silence> silences = new HashMap<>();

    private static final class Silence {
        private final Set<String> tried = new HashSet<>();
        private final double since;

        Silence(double since) {
            this.since = since;
        }
    }

    /** {@code longest}: how long a zone may pause without being called silent. */
    Zones(double longest) {
        this.longest = longest;
    }

    /** Somebody of this zone was heard. */
    void heard(String zone) {
        silences.remove(zone);
    }

    /** A member was asked, also through helpers, and nothing came of it. */
    void failed(Statement member, double asked) {
        if (!member.zone().isEmpty()) {
            silences.computeIfAbsent(member.zone(), z -> new Silence(asked)).tried.add(member.name());
        }
    }

    /** Our own silence proves nothing. */
    void restart() {
        silences.clear();
    }

    /** Whether nobody there is heard by us or by our helpers, as far as tries can tell. */
    boolean silent(String zone, double now) {
        Silence silence = silences.get(zone);
        return silence != null && silence.tried.size() >= TRIED_LEAST && now - silence.since > longest;
    }

    /** Whether any may be. */
    boolean none() {
        return silences.isEmpty();
    }
}
