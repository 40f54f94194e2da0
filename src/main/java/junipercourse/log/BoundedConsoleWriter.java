package junipercourse.log;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import org.tinylog.core.LogEntry;
import org.tinylog.core.TinylogLoggingProvider;
import org.tinylog.provider.ProviderRegistry;
import org.tinylog.writers.AbstractFormatPatternWriter;
import org.tinylog.writers.Writer;

/**
 * The tinylog writer {@code bounded console}: writes to standard error from its own thread with a
 * bounded queue. tinylog's console writer blocks its caller when standard error is a full pipe that
 * nobody reads, and its writing thread has an unbounded queue. Here the caller is the I/O thread,
 * and the heap is small.
 */
public final class BoundedConsoleWriter extends AbstractFormatPatternWriter {
    private static final int MAX_QUEUED_CHARS = 256 * 1024; // up to 512 KB of a 64 MB heap
    private static final double CLOSE_TIMEOUT_SECONDS =
            0.25; // for the last lines; a reader that is gone must not delay the exit

    private final LineQueue queue = new LineQueue(MAX_QUEUED_CHARS);
    private final Thread thread;

    /** Called by tinylog with the writer's properties; {@code format} is the line pattern. */
    public BoundedConsoleWriter(Map<String, String> properties) {
        this(properties, new FileOutputStream(FileDescriptor.err));
    }

    BoundedConsoleWriter(Map<String, String> properties, OutputStream output) {
        super(properties);
        thread = new Thread(() -> write(output), "log");
        thread.setDaemon(true);
        thread.start();
    }

    private void write(OutputStream output) {
        try {
            for (String line = queue.take(); line != null; line = queue.take()) {
                output.write(line.getBytes(StandardCharsets.UTF_8));
            }
        } catch (IOException | InterruptedException e) {
            queue.close(); // the error cannot be logged; later lines count as dropped
        }
    }

    @Override
    public void write(LogEntry entry) {
        queue.add(render(entry));
    }

    @Override
    public void flush() {
        // the writing thread writes each line without delay
    }

    /** Waits up to the close timeout until the queued lines are written. */
    @Override
    public void close() {
        queue.close();
        try {
            thread.join((long) (CLOSE_TIMEOUT_SECONDS * 1e3));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns the number of lines dropped by this writer. */
    long droppedLines() {
        return queue.droppedLines();
    }

    /** Returns the number of log lines dropped since the start of the process. */
    public static long totalDroppedLines() {
        long total = 0;
        for (Writer writer : writers()) {
            total +=
                    writer instanceof BoundedConsoleWriter consoleWriter
                            ? consoleWriter.droppedLines()
                            : 0;
        }
        return total;
    }

    /** Writes the queued lines at process exit; lines logged afterwards are dropped. */
    public static void closeAll() {
        for (Writer writer : writers()) {
            if (writer instanceof BoundedConsoleWriter consoleWriter) {
                consoleWriter.close();
            }
        }
    }

    /**
     * Reads tinylog's list of writers: a static list here would be state shared by all dispatchers
     * of a JVM.
     */
    private static Collection<Writer> writers() {
        return ProviderRegistry.getLoggingProvider() instanceof TinylogLoggingProvider tinylog
                ? tinylog.getWriters()
                : List.of();
    }
}
