package junipercourse.decision;

import java.util.ArrayDeque;

/** Counts what happened within a moving stretch of time. */
final class Window {
    private final ArrayDeque<Double> times = new ArrayDeque<>();

    void add(double now) {
        times.add(now);
    }

    /** How many lie after a time; the earlier ones are forgotten. */
    int countAfter(double from) {
        while (!times.isEmpty() && times.peek() <= from) {
            times.poll();
        }
        return times.size();
    }
}
