package junipercourse.pg;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The sessions whose clients have sent messages that are not processed yet, since a query of the
 * session is open or others are served first. What is processed meanwhile on other sessions may
 * have been sent later.
 */
final class UnprocessedInput {
    private final Set<Session> sessions = new LinkedHashSet<>();

    /** Adds a session, which leaves when it has nothing unprocessed or is removed. */
    void add(Session session) {
        sessions.add(session);
    }

    /** Removes a session that is closed. */
    void remove(Session session) {
        sessions.remove(session);
    }

    /** Returns when the oldest unprocessed bytes may have arrived; infinity if there are none. */
    double oldestArrival() {
        double oldest = Double.POSITIVE_INFINITY;
        for (Iterator<Session> all = sessions.iterator(); all.hasNext(); ) {
            double since = all.next().unprocessedSince();
            if (since == Double.POSITIVE_INFINITY) {
                all.remove();
            }
            oldest = Math.min(oldest, since);
        }
        return oldest;
    }
}
