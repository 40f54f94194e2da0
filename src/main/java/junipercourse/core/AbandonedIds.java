package junipercourse.core;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Ids of queries whose client left after an engine may have begun to run them, and which must not
 * run twice. Clients use a new id for each query; one that comes again would have its effect again.
 */
final class AbandonedIds {
    private static final int MAX_IDS = 4096; // limits memory use

    private final Set<String> ids = new LinkedHashSet<>();

    /** Adds an id. Returns the oldest one, which is dropped if there are too many, or null. */
    String add(String id) {
        String dropped = null;
        if (ids.size() >= MAX_IDS) {
            Iterator<String> oldest = ids.iterator();
            dropped = oldest.next();
            oldest.remove();
        }
        ids.add(id);
        return dropped;
    }

    boolean contains(String id) {
        return ids.contains(id);
    }
}
