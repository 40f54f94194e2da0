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
 * How the serving path of one dispatcher grows, measured by the deploy file's command line. A long
 * run, not part of the build, of the packaged program: {@code mvn -o -q -B -ntp test
 * -Dtest=ServingSlopes -Dscale.out=FILE -Dscale.variant=landed}. {@code
 * -Dscale.parts=engines,idle,hand,list,start,handshake} takes some of it, {@code
 * -Dscale.only=10,980} some of its sizes. It takes under six minutes, one core for the dispatcher
 * and one for what stands around it, and under 1 GB. A part that fails is told as not measured, and
 * the others go on.
 */
class ServingSlopes {
    private static final int[] ENGINES = {10, 100, 300, 980};
    private static final int[] CLIENTS = {500, 1000, 2000, 4722};
    private static final int[] IN_HAND = {0, 50, 200, 400};
    private static final int[] RATES = {100, 431};
    private static final String ALL = "start,engines,list,idle,hand,handshake";
    @TempDir private Path folder;

    /** One size of a part. */
    interface Measurement {
        void run(int size) throws Exception;
    }

    @Test
    void measure() throws Exception {
        assertTrue(
                Files.exists(Path.of("target/junipercourse.jar")),
                "the program is to be packaged first");
        List<String> parts = Arrays.asList(System.getProperty("scale.parts", ALL).split(","));
        ResultWriter results =
                new ResultWriter(
                        Path.of(System.getProperty("scale.out", "target/serving.jsonl")),
                        "serving",
                        machine(),
                        System.getProperty("scale.variant", "landed"),
                        0);
        System.out.println(
                "takes one dispatcher at a time, of 64 MB heap (256 MB where that does not hold"
                        + " the connections), and this JVM; under six minutes; parts: "
                        + parts);
        try (ServingHarness bench = new ServingHarness(folder, results, true)) {
            ServingMeasurements p = new ServingMeasurements(bench);
            if (parts.contains("start")) {
                each(bench, "start", ENGINES, n -> p.start(n, 3));
            }
            if (parts.contains("engines")) {
                each(bench, "engines", ENGINES, n -> p.engines(n, 5, 10, 100, 431));
            }
            if (parts.contains("list")) {
                each(
                        bench,
                        "list",
                        ENGINES,
                        n -> new EndpointListBenchmark(bench, n).measure(1000, 500, 100, 100, 3));
            }
            if (parts.contains("idle")) {
                each(bench, "idle-1024-descriptors", CLIENTS, n -> p.idlePlatform(n, 2));
                each(bench, "idle", CLIENTS, n -> p.idle(n, 5));
            }
            if (parts.contains("hand")) {
                each(bench, "in-hand", IN_HAND, n -> p.hand(n, 100, 2));
            }
            if (parts.contains("handshake")) {
                each(bench, "handshake", RATES, n -> p.handshake(1000, 5, n));
            }
        }
    }

    /** Measures a part at each size; what fails costs that size alone. */
    static void each(ServingHarness bench, String play, int[] sizes, Measurement part) {
        List<String> only = Arrays.asList(System.getProperty("scale.only", "").split(","));
        for (int size : sizes) {
            if (!only.contains("") && !only.contains(Integer.toString(size))) {
                continue;
            }
            try {
                part.run(size);
            } catch (Exception | AssertionError e) {
                bench.add(play, size, "not_measured", "", "not measured: " + e, 0);
            }
        }
    }

    static String machine() throws IOException {
        long total =
                ((com.sun.management.OperatingSystemMXBean)
                                ManagementFactory.getOperatingSystemMXBean())
                        .getTotalMemorySize();
        return Runtime.getRuntime().availableProcessors() + " cores, " + (total >> 30) + " GiB";
    }
}
