package junipercourse.scale;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.LocalDate;
import java.util.stream.DoubleStream;
import org.HdrHistogram.DoubleHistogram;

/**
 * Figures of a measuring tool, one JSON object a line, appended to a file as they come, so that
 * what was measured stays when the run is cut short. All members are always there.
 */
public final class ResultWriter {
    private static final String COMMIT = System.getProperty("scale.commit", "unknown");

    private static final int HISTOGRAM_DIGITS = 3;

    private final Path file;
    private final String suite;
    private final String machine;
    private final String variant;
    private final long seed;

    /**
     * @param suite what was run: {@code fleet}, {@code world}, {@code serving} or {@code module}
     * @param machine what it ran on, for people
     * @param variant a free word that tells runs of different code apart
     */
    public ResultWriter(Path file, String suite, String machine, String variant, long seed) {
        this.file = file;
        this.suite = suite;
        this.machine = machine;
        this.variant = variant;
        this.seed = seed;
    }

    /**
     * A figure that counts; {@code median} and {@code worst} are over {@code count} members or
     * repeats.
     */
    public void add(
            String scenario,
            int size,
            String metric,
            String unit,
            double median,
            double worst,
            int count) {
        write(scenario, size, metric, unit, median, worst, count, true, "");
    }

    /** Median and greatest of some values, of which there is at least one. */
    static double[] medianAndWorst(double... values) {
        DoubleHistogram histogram = new DoubleHistogram(HISTOGRAM_DIGITS);
        for (double value : values) {
            histogram.recordValue(value);
        }
        // the histogram's own maximum is no number where all values are 0
        return new double[] {
            histogram.getValueAtPercentile(50), DoubleStream.of(values).max().orElseThrow()
        };
    }

    /**
     * A figure that is no measurement, since the machine was the bound or the run was cut short.
     */
    public void addInvalid(
            String scenario,
            int size,
            String metric,
            String unit,
            double median,
            double worst,
            int count,
            String reason) {
        write(scenario, size, metric, unit, median, worst, count, false, reason);
    }

    private synchronized void write(
            String scenario,
            int size,
            String metric,
            String unit,
            double median,
            double worst,
            int count,
            boolean valid,
            String reason) {
        JsonObject line =
                Json.object()
                        .add("suite", suite)
                        .add("play", scenario)
                        .add("size", size)
                        .add("variant", variant)
                        .add("seed", seed)
                        .add("day", LocalDate.now().toString())
                        .add("commit", COMMIT)
                        .add("machine", machine)
                        .add("figure", metric)
                        .add("unit", unit)
                        .add("median", roundToMicros(median))
                        .add("worst", roundToMicros(worst))
                        .add("count", count)
                        .add("counts", valid)
                        .add("why", reason);
        try {
            Files.writeString(
                    file, line + "\n", StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** JSON has no infinity and no NaN: a figure that is none is a fault of the tool. */
    private static double roundToMicros(double value) {
        if (!Double.isFinite(value)) {
            throw new IllegalArgumentException(value + " is no figure");
        }
        return Math.rint(value * 1e6) / 1e6;
    }
}
