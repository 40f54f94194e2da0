package junipercourse.log;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Lines on their way to a reader who may be slow or gone: a bound on what waits, and a count of
 * what was dropped for it. Whoever adds never waits; the one who takes does.
 */
final class LineQueue {
    private final int maxChars;
    private final Deque<String> lines = new ArrayDeque<>();
    private int queuedChars;
    private long droppedLines;
    private long unreportedDrops;
    private boolean isClosed;

    /** {@code mostChars} bounds all lines that wait. */
    LineQueue(int maxChars) {
        this.maxChars = maxChars;
    }

    /** Adds a line, or drops it if too much waits already. */
    synchronized void add(String line) {
        if (isClosed || queuedChars + line.length() > maxChars) {
            droppedLines++;
            unreportedDrops++;
            return;
        }
        lines.add(line);
        queuedChars += line.length();
        notifyAll();
    }

    /** The next line, or a word on those dropped once there is room; null once closed and empty. */
    synchronized String take() throws InterruptedException {
        while (lines.isEmpty() && unreportedDrops == 0 && !isClosed) {
            wait();
        }
        String line = lines.poll();
        if (line != null) {
            queuedChars -= line.length();
            return line;
        }
        if (unreportedDrops > 0) {
            String notice =
                    unreportedDrops
                            + " lines of the log were dropped: nobody read them in time"
                            + System.lineSeparator();
            unreportedDrops = 0;
            return notice;
        }
        return null;
    }

    /** Nothing more is taken in. */
    synchronized void close() {
        isClosed = true;
        notifyAll();
    }

    /** Lines dropped since the start. */
    synchronized long droppedLines() {
        return droppedLines;
    }
}
