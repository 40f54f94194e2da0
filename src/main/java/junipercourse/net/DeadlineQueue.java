package junipercourse.net;

import java.util.TreeSet;

/** The deadlines of an event loop, ordered by time, then by insertion. */
public final class DeadlineQueue {
    private final TreeSet<Entry> entries = new TreeSet<>();
    private long nextSequence;

    /** A scheduled deadline. */
    public static final class Entry implements Comparable<Entry> {
        private final double time;
        private final long sequence;
        private final Runnable task;

        private Entry(double time, long seq, Runnable task) {
            this.time = time;
            this.sequence = seq;
            this.task = task;
        }

        @Override
        public int compareTo(Entry other) {
            return time != other.time
                    ? Double.compare(time, other.time)
                    : Long.compare(sequence, other.sequence);
        }
    }

    Entry add(double time, Runnable task) {
        Entry entry = new Entry(time, nextSequence++, task);
        entries.add(entry);
        return entry;
    }

    void remove(Entry entry) {
        if (entry != null) {
            entries.remove(entry);
        }
    }

    /** The time of the next deadline; infinite if there is none. */
    double nextTime() {
        return entries.isEmpty() ? Double.POSITIVE_INFINITY : entries.first().time;
    }

    /** Removes and returns the first task that is due, or null. */
    Runnable pollDue(double now) {
        return nextTime() <= now ? entries.pollFirst().task : null;
    }
}
