package junipercourse.decision;

import java.util.PriorityQueue;

/** Requests by the time at which they are to be looked at again, each at its earliest. */
final class Looks {
    private final PriorityQueue<Look> queue = new PriorityQueue<>();
    private long added;

    /** Void once its request asks for another time. */
    private record Look(double at, long seq, Job job) implements Comparable<Look> {
        @Override
        public int compareTo(Look o) {
            return at != o.at ? Double.compare(at, o.at) : Long.compare(seq, o.seq);
        }
    }

    void add(double at, Job job) {
        if (at < job.lookAt) {
            job.lookAt = at;
            queue.add(new Look(at, added++, job));
        }
    }

    /** The next request that is due, or null. */
    Job poll(double now) {
        while (next() <= now) {
            Look l = queue.poll();
            if (l.at == l.job.lookAt && !l.job.closed) {
                l.job.lookAt = Double.POSITIVE_INFINITY;
                return l.job;
            }
        }
        return null;
    }

    double next() {
        return queue.isEmpty() ? Double.POSITIVE_INFINITY : queue.peek().at;
    }
}
