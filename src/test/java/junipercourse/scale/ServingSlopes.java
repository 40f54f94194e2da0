package junipercourse.scale;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Measures how the costs of one dispatcher's serving path grow, with the deploy file's command
 * line. A long run of the packaged program that is not part of the build: {@code mvn -o -q -B -ntp
 * test -Dtest=ServingSlopes -Dscale.out=FILE -Dscale.variant=landed}. {@code
 * -Dscale.parts=engines,idle,hand,list,start,handshake} selects some measurements, {@code
 * -Dscale.only=10,980} some sizes. The run takes under six minutes, one core for the dispatcher and
 * one for the clients and engines, and under 1 GB. A measurement that fails is written as not
 * measured, and the others continue.
 */
class ServingSlopes {
    private static final int[] ENGINE_COUNTS = {10, 100, 300, 980};
    private static final int[] CLIENT_COUNTS = {500, 1000, 2000, 4722};
    private static final int[] RUNNING_QUERY_COUNTS = {0, 50, 200, 400};
    private static final int[] QUERY_RATES = {100, 431};
    private static final String ALL_PARTS = "start,engines,list,idle,hand,handshake";
    @TempDir private Path folder;

    /** Takes one measurement at one size. */
    interface Measurement {
        void run(int size) throws Exception;
    }

    @Test
    void measure() throws Exception {
        assertTrue(
                Files.exists(Path.of("target/junipercourse.jar")),
                "target/junipercourse.jar is missing: package the program first");
        List<String> parts = Arrays.asList(System.getProperty("scale.parts", ALL_PARTS).split(","));
        ResultWriter results =
                new ResultWriter(
                        Path.of(System.getProperty("scale.out", "target/serving.jsonl")),
                        "serving",
                        describeMachine(),
                        System.getProperty("scale.variant", "landed"),
                        0);
        System.out.println(
                "takes one dispatcher at a time, of 64 MB heap (256 MB where that does not hold"
                        + " the connections), and this JVM; under six minutes; parts: "
                        + parts);
        try (ServingHarness harness = new ServingHarness(folder, results, true)) {
            ServingMeasurements measurements = new ServingMeasurements(harness);
            if (parts.contains("start")) {
                measureSizes(
                        harness,
                        "start",
                        ENGINE_COUNTS,
                        size -> measurements.measureStart(size, 3));
            }
            if (parts.contains("engines")) {
                measureSizes(
                        harness,
                        "engines",
                        ENGINE_COUNTS,
                        size -> measurements.measureQueries(size, 5, 10, 100, 431));
            }
            if (parts.contains("list")) {
                measureSizes(
                        harness,
                        "list",
                        ENGINE_COUNTS,
                        size ->
                                new EndpointListBenchmark(harness, size)
                                        .measure(1000, 500, 100, 100, 3));
            }
            if (parts.contains("idle")) {
                measureSizes(
                        harness,
                        "idle-1024-descriptors",
                        CLIENT_COUNTS,
                        size -> measurements.measureIdleWithPlatformLimit(size, 2));
                measureSizes(
                        harness, "idle", CLIENT_COUNTS, size -> measurements.measureIdle(size, 5));
            }
            if (parts.contains("hand")) {
                measureSizes(
                        harness,
                        "in-hand",
                        RUNNING_QUERY_COUNTS,
                        size -> measurements.measureRunningQueries(size, 100, 2));
            }
            if (parts.contains("handshake")) {
                measureSizes(
                        harness,
                        "handshake",
                        QUERY_RATES,
                        size -> measurements.measureHandshake(1000, 5, size));
            }
        }
    }

    /** Takes a measurement at each selected size; a failure affects that size alone. */
    static void measureSizes(
            ServingHarness harness, String scenario, int[] sizes, Measurement measurement) {
        List<String> selectedSizes = Arrays.asList(System.getProperty("scale.only", "").split(","));
        for (int size : sizes) {
            if (!selectedSizes.contains("") && !selectedSizes.contains(Integer.toString(size))) {
                continue;
            }
            try {
                measurement.run(size);
            } catch (Exception | AssertionError e) {
                harness.addMetric(scenario, size, "not_measured", "", "not measured: " + e, 0);
            }
        }
    }

    static String describeMachine() throws IOException {
        long totalMemoryBytes =
                ((com.sun.management.OperatingSystemMXBean)
                                ManagementFactory.getOperatingSystemMXBean())
                        .getTotalMemorySize();
        return Runtime.getRuntime().availableProcessors()
                + " cores, "
                + (totalMemoryBytes >> 30)
                + " GiB";
    }
}
