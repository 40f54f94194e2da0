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
    private static LogEntry createEntry(String message) {
        return new LogEntry(
                null, null, null, null, null, null, -1, null, Level.INFO, message, null);
    }

    private static BoundedConsoleWriter createWriter(OutputStream output) {
        return new BoundedConsoleWriter(Map.of("format", "{level} {message}"), output);
    }

    @Test
    void writesAllLinesInOrderWhenClosed() {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        BoundedConsoleWriter writer = createWriter(output);
        StringBuilder expected = new StringBuilder();
        for (int i = 0; i < 1000; i++) {
            writer.write(createEntry("line " + i));
            expected.append("INFO line ").append(i).append(System.lineSeparator());
        }
        writer.close();
        assertEquals(expected.toString(), output.toString(StandardCharsets.UTF_8));
    }

    /**
     * A full pipe that nobody reads must not block the caller or grow memory; dropped lines are
     * counted.
     */
    @Test
    void dropsAndCountsLinesWhenNobodyReads() throws IOException {
        PipedOutputStream output = new PipedOutputStream();
        PipedInputStream input = new PipedInputStream(output, 1024);
        BoundedConsoleWriter writer = createWriter(output);
        String text = "x".repeat(1000);
        long startNanos = System.nanoTime();
        for (int i = 0; i < 5000; i++) {
            writer.write(createEntry(text));
        }
        assertTrue(
                System.nanoTime() - startNanos < 2_000_000_000L,
                "writing 5 MB to a full pipe took too long");
        long dropped = writer.droppedLines();
        assertEquals(
                0,
                BoundedConsoleWriter.totalDroppedLines(),
                "lines dropped from the log of this process");
        assertTrue(dropped > 4500 && dropped < 5000, "dropped " + dropped);
        StringBuilder received = new StringBuilder();
        while (received.indexOf("log lines were dropped") < 0) {
            received.append((char) input.read());
        }
        assertTrue(received.toString().endsWith(dropped + " log lines were dropped"));
        writer.close();
    }

    /** A reader that has closed the pipe must not block the caller or delay closing. */
    @Test
    void callerIsNotBlockedWhenThePipeIsBroken() {
        CountDownLatch failed = new CountDownLatch(1);
        BoundedConsoleWriter writer =
                createWriter(
                        new OutputStream() {
                            @Override
                            public void write(int b) throws IOException {
                                failed.countDown();
                                throw new IOException("broken pipe");
                            }
                        });
        writer.write(createEntry("first"));
        SocketTestSupport.await(() -> failed.getCount() == 0);
        long startNanos = System.nanoTime();
        writer.write(createEntry("second"));
        writer.close();
        assertTrue(System.nanoTime() - startNanos < 1_000_000_000L);
    }
}
