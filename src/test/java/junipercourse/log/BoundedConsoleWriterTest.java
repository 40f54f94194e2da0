package junipercourse.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PipedInputStream;
import java.io.PipedOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import junipercourse.SocketTestSupport;
import org.junit.jupiter.api.Test;
import org.tinylog.Level;
import org.tinylog.core.LogEntry;

class BoundedConsoleWriterTest {
    private static LogEntry entry(String message) {
        return new LogEntry(
                null, null, null, null, null, null, -1, null, Level.INFO, message, null);
    }

    private static BoundedConsoleWriter writer(OutputStream out) {
        return new BoundedConsoleWriter(Map.of("format", "{level} {message}"), out);
    }

    @Test
    void writesAllInOrderAndLetsTheLastLinesOut() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        BoundedConsoleWriter w = writer(out);
        StringBuilder expected = new StringBuilder();
        for (int i = 0; i < 1000; i++) {
            w.write(entry("line " + i));
            expected.append("INFO line ").append(i).append(System.lineSeparator());
        }
        w.close();
        assertEquals(expected.toString(), out.toString(StandardCharsets.UTF_8));
    }

    /**
     * A pipe that nobody reads: the caller is not held up, memory stays bounded, what is lost is
     * counted.
     */
    @Test
    void nobodyReadingCostsLinesAndNothingElse() throws IOException {
        PipedOutputStream out = new PipedOutputStream();
        PipedInputStream in = new PipedInputStream(out, 1024);
        BoundedConsoleWriter w = writer(out);
        String text = "x".repeat(1000);
        long from = System.nanoTime();
        for (int i = 0; i < 5000; i++) {
            w.write(entry(text));
        }
        assertTrue(
                System.nanoTime() - from < 2_000_000_000L, "writing 5 MB to a full pipe took long");
        long dropped = w.lost();
        assertEquals(0, BoundedConsoleWriter.totalDroppedLines(), "of the process's own log");
        assertTrue(dropped > 4500 && dropped < 5000, "dropped " + dropped);
        StringBuilder got = new StringBuilder();
        while (got.indexOf("lines of the log were dropped") < 0) {
            got.append((char) in.read());
        }
        assertTrue(got.toString().endsWith(dropped + " lines of the log were dropped"));
        w.close();
    }

    /** A reader that has gone altogether: as before, and the end is not held up either. */
    @Test
    void aBrokenPipeEndsTheWritingOnly() {
        CountDownLatch failed = new CountDownLatch(1);
        BoundedConsoleWriter w =
                writer(
                        new OutputStream() {
                            @Override
                            public void write(int b) throws IOException {
                                failed.countDown();
                                throw new IOException("broken pipe");
                            }
                        });
        w.write(entry("first"));
        SocketTestSupport.await(() -> failed.getCount() == 0);
        long from = System.nanoTime();
        w.write(entry("second"));
        w.close();
        assertTrue(System.nanoTime() - from < 1_000_000_000L);
    }
}
