package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** The file {@code record.txt} of a case: what was sent, answered and run, and when. */
public final class Record implements AutoCloseable {
    private final long start = System.nanoTime();
    private final PrintWriter out;

    public Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8), true);
    }

    public double seconds() {
        return (System.nanoTime() - start) / 1e9;
    }

    /** Writes one line with its time and who saw it. */
    public synchronized void line(String who, String what) {
        out.printf("%8.3f %-10s %s%n", seconds(), who, what);
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
