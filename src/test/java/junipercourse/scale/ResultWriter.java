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
 * Writes the metrics of a measurement tool as one JSON object per line. Each line is appended at
 * once, so that results are kept when the run is aborted. Every line has all fields.
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
     * @param suite the kind of run: {@code fleet}, {@code world}, {@code serving} or {@code module}
     * @param machine description of the machine for readers
     * @param variant a free label that distinguishes runs of different code
     */
    public ResultWriter(Path file, String suite, String machine, String variant, long seed) {
        this.file = file;
        this.suite = suite;
        this.machine = machine;
        this.variant = variant;
        this.seed = seed;
    }

    /**
     * Writes a valid metric; {@code median} and {@code worst} are over {@code count} members or
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

    /** Median and maximum of at least one value. */
    static double[] medianAndWorst(double... values) {
        DoubleHistogram histogram = new DoubleHistogram(HISTOGRAM_DIGITS);
        for (double value : values) {
            histogram.recordValue(value);
        }
        // the histogram's own maximum is NaN if all values are 0
        return new double[] {
            histogram.getValueAtPercentile(50), DoubleStream.of(values).max().orElseThrow()
        };
    }

    /**
     * Writes a metric that is not valid, because the machine was the bottleneck or the run was
     * aborted.
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

    /**
     * Rejects infinity and NaN, which JSON cannot represent and which indicate a bug of the tool.
     */
    private static double roundToMicros(double value) {
        if (!Double.isFinite(value)) {
            throw new IllegalArgumentException(value + " is not a finite number");
        }
        return Math.rint(value * 1e6) / 1e6;
    }
}
