package junipercourse.decision.state;

import java.util.PriorityQueue;

/** Schedules requests for evaluation, each at the earliest requested time. */
public final class EvaluationQueue {
    private final PriorityQueue<Entry> queue = new PriorityQueue<>();
    private long nextSequence;

    /** A scheduled evaluation. An entry is stale if its request has been rescheduled since. */
    private record Entry(double dueAt, long sequence, PendingRequest request)
            implements Comparable<Entry> {
        @Override
        public int compareTo(Entry other) {
            return dueAt != other.dueAt
                    ? Double.compare(dueAt, other.dueAt)
                    : Long.compare(sequence, other.sequence);
        }
    }

    /** Schedules an evaluation, unless one is already scheduled at the same time or earlier. */
    public void schedule(double dueAt, PendingRequest request) {
        if (dueAt < request.nextEvaluationAt()) {
            request.setNextEvaluationAt(dueAt);
            queue.add(new Entry(dueAt, nextSequence++, request));
        }
    }

    /** Removes and returns the next request whose evaluation is due; null if there is none. */
    public PendingRequest poll(double now) {
        while (nextDueAt() <= now) {
            Entry entry = queue.poll();
            PendingRequest request = entry.request;
            if (entry.dueAt == request.nextEvaluationAt() && !request.isClosed()) {
                request.setNextEvaluationAt(Double.POSITIVE_INFINITY);
                return request;
            }
        }
        return null;
    }

    /** Returns the time of the next entry; infinity if there is none. */
    public double nextDueAt() {
        return queue.isEmpty() ? Double.POSITIVE_INFINITY : queue.peek().dueAt;
    }
}
