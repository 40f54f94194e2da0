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

    /** Adds an id; the oldest one is dropped for it if there are too many. */
    void add(String id) {
        if (ids.size() >= MAX_IDS) {
            Iterator<String> oldest = ids.iterator();
            oldest.next();
            oldest.remove();
        }
        ids.add(id);
    }

    boolean contains(String id) {
        return ids.contains(id);
    }
}
