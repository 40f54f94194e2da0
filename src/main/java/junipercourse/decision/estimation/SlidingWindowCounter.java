package junipercourse.decision.estimation;

import java.util.ArrayDeque;

/** Counts the events within a sliding window. Bounded by the events within one window. */
public final class SlidingWindowCounter {
    private final ArrayDeque<Double> times = new ArrayDeque<>();

    /** Adds an event. */
    public void add(double now) {
        times.add(now);
    }

    /** Returns the number of events after a time and forgets the earlier ones. */
    public int countAfter(double windowStart) {
        while (!times.isEmpty() && times.peek() <= windowStart) {
            times.poll();
        }
        return times.size();
    }
}
