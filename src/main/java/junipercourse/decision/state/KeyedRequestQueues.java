package junipercourse.decision.state;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * Queues the requests of each key in order of arrival, for classes that are {@link
 * junipercourse.decision.api.QueryClass#orderedByKey}. The number of open requests bounds its size;
 * {@link #removeIdleKeys} removes idle keys.
 */
public final class KeyedRequestQueues {
    private final Map<Long, KeyQueue> queues = new HashMap<>();

    /** The requests of one key. */
    private static final class KeyQueue {
        private final ArrayDeque<PendingRequest> requests = new ArrayDeque<>();
        private double blockedUntil = Double.NEGATIVE_INFINITY;
    }

    private KeyQueue findQueue(PendingRequest request) {
        return request.queryClass().orderedByKey() ? queues.get(request.query().key()) : null;
    }

    /** Appends a request to the queue of its key, if its class is ordered by key and it has one. */
    public void add(PendingRequest request) {
        if (request.queryClass().orderedByKey() && request.query().key() != 0) {
            queues.computeIfAbsent(request.query().key(), key -> new KeyQueue())
                    .requests
                    .add(request);
        }
    }

    /**
     * Returns true if a request is the first in the queue of its key and the key is not blocked, or
     * if it is not ordered by key. A block does not apply to a request that already had an attempt.
     */
    public boolean isNextForKey(double now, PendingRequest request) {
        KeyQueue queue = findQueue(request);
        if (queue == null) {
            return true;
        }
        boolean isUnblocked = request.attemptCount() > 0 || now >= queue.blockedUntil;
        return queue.requests.peek() == request && isUnblocked;
    }

    /**
     * Blocks the key of a request for other requests until a time, since an attempt may still run.
     */
    public void blockKey(PendingRequest request, double until) {
        KeyQueue queue = findQueue(request);
        if (queue != null) {
            queue.blockedUntil = until;
        }
    }

    /** Removes a request from the queue of its key. */
    public void remove(PendingRequest request) {
        KeyQueue queue = findQueue(request);
        if (queue != null) {
            queue.requests.remove(request);
        }
    }

    /** Removes the keys that have no requests and are not blocked. */
    public void removeIdleKeys(double now) {
        queues.values().removeIf(queue -> queue.requests.isEmpty() && now > queue.blockedUntil);
    }
}
