package junipercourse.log;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Bounded queue of log lines for a reader that may be slow or gone. Adding never blocks: a line
 * that does not fit is dropped and counted. Taking blocks.
 */
final class LineQueue {
    private final int maxChars;
    private final Deque<String> lines = new ArrayDeque<>();
    private int queuedChars;
    private long droppedLines;
    private long unreportedDrops;
    private boolean isClosed;

    /**
     * @param maxChars total length of all queued lines
     */
    LineQueue(int maxChars) {
        this.maxChars = maxChars;
    }

    /** Adds a line, or drops it if the queue is full or closed. */
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

    /**
     * Returns the next line, or a notice of dropped lines once the queue is empty; null once the
     * queue is closed and empty.
     */
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
                            + " log lines were dropped: standard error was not read in time"
                            + System.lineSeparator();
            unreportedDrops = 0;
            return notice;
        }
        return null;
    }

    /** Rejects further lines; queued lines can still be taken. */
    synchronized void close() {
        isClosed = true;
        notifyAll();
    }

    /** Returns the number of lines dropped so far. */
    synchronized long droppedLines() {
        return droppedLines;
    }
}
