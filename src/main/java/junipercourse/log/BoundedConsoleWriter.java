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
 * tinylog's writer {@code bounded console}: writes to standard error from a thread of its own, with
 * a bound on what waits. tinylog's own console writer blocks its caller once a pipe is full that
 * nobody reads, and its writing thread keeps an unbounded queue; here the caller is the I/O thread,
 * and memory is scarce.
 */
public final class BoundedConsoleWriter extends AbstractFormatPatternWriter {
    private static final int MOST_CHARS = 256 * 1024; // 512 KB at most, of a heap of 64 MB
    private static final double CLOSE_S =
            0.25; // for the last lines; a reader that is gone is not waited for

    private final LineQueue queue = new LineQueue(MOST_CHARS);
    private final Thread thread;

    /** Made by tinylog, with the writer's properties; {@code format} is the pattern of a line. */
    public BoundedConsoleWriter(Map<String, String> properties) {
        this(properties, new FileOutputStream(FileDescriptor.err));
    }

    BoundedConsoleWriter(Map<String, String> properties, OutputStream out) {
        super(properties);
        thread = new Thread(() -> write(out), "log");
        thread.setDaemon(true);
        thread.start();
    }

    private void write(OutputStream out) {
        try {
            for (String line = queue.take(); line != null; line = queue.take()) {
                out.write(line.getBytes(StandardCharsets.UTF_8));
            }
        } catch (IOException | InterruptedException e) {
            queue.close(); // there is nowhere left to say so; what comes later is counted as
            // dropped
        }
    }

    @Override
    public void write(LogEntry entry) {
        queue.add(render(entry));
    }

    @Override
    public void flush() {
        // lines go out as soon as they can
    }

    /** Waits a moment for the last lines to go out. */
    @Override
    public void close() {
        queue.close();
        try {
            thread.join((long) (CLOSE_S * 1e3));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Lines that were dropped by this writer. */
    long lost() {
        return queue.dropped();
    }

    /** Lines of the process's log that were dropped since its start. */
    public static long totalDroppedLines() {
        long dropped = 0;
        for (Writer w : writers()) {
            dropped += w instanceof BoundedConsoleWriter ours ? ours.lost() : 0;
        }
        return dropped;
    }

    /** Lets the last lines out at the end of the process; what is logged later is lost. */
    public static void closeAll() {
        for (Writer w : writers()) {
            if (w instanceof BoundedConsoleWriter ours) {
                ours.close();
            }
        }
    }

    /**
     * tinylog's own list: kept here, it would be a variable that all dispatchers of a JVM share.
     */
    private static Collection<Writer> writers() {
        return ProviderRegistry.getLoggingProvider() instanceof TinylogLoggingProvider tinylog
                ? tinylog.getWriters()
                : List.of();
    }
}
