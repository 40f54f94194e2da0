package junipercourse.decision.estimation;

import java.util.ArrayDeque;

/** Counts events within a sliding window. The number of events in one window bounds its size. */
public final class SlidingWindowCounter {
    private final ArrayDeque<Double> times = new ArrayDeque<>();

    /** Adds an event at the current time. */
    public void add(double now) {
        times.add(now);
    }

    /** Returns the number of events after the start of the window and removes earlier ones. */
    public int countAfter(double windowStart) {
        while (!times.isEmpty() && times.peek() <= windowStart) {
            times.poll();
        }
        return times.size();
    }
}
