package junipercourse.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * The measurements of {@link ServingSlopes} at small sizes: each metric is written and positive.
 */
class ServingSlopesTest {
    /** Metrics that may be 0 in a run as short as this one. */
    private static final Set<String> MAY_BE_ZERO =
            Set.of(
                    "cpu_per_query_collector",
                    "cpu_per_query_kernel",
                    "cpu_per_query_compiler",
                    "refused_or_closed_early",
                    "idle_cpu",
                    "cpu_per_event_under_load_loop");

    @TempDir private Path folder;

    @Test
    void eachMeasurementWritesItsMetrics() throws Exception {
        Path file = folder.resolve("out");
        ResultWriter results =
                new ResultWriter(file, "serving", ServingSlopes.describeMachine(), "test", 0);
        try (ServingHarness harness = new ServingHarness(folder, results, false)) {
            ServingMeasurements measurements = new ServingMeasurements(harness);
            measurements.measureStart(3, 1);
            measurements.measureQueries(4, 0.1, 0.4, 50);
            measurements.measureIdleWithPlatformLimit(6, 0.1);
            measurements.measureIdle(8, 0.2);
            measurements.measureRunningQueries(5, 3, 0.2);
            measurements.measureHandshake(50, 0.4, 50);
            new EndpointListBenchmark(harness, 8).measure(40, 200, 5, 50, 0.3);
        }
        List<JsonObject> lines =
                Files.readAllLines(file).stream().map(line -> Json.parse(line).asObject()).toList();
        assertEquals(
                Set.of(
                        "start",
                        "rest",
                        "query-at-50",
                        "query-fresh-groups",
                        "idle-1024-descriptors",
                        "idle",
                        "in-hand",
                        "handshake",
                        "list"),
                lines.stream().map(line -> line.getString("play", "")).collect(Collectors.toSet()));
        for (JsonObject line : lines) {
            String metric = line.getString("figure", "");
            assertTrue(
                    line.getDouble("median", 0) > 0 || MAY_BE_ZERO.contains(metric),
                    line::toString);
            assertTrue(line.getDouble("worst", 0) >= line.getDouble("median", 0), line::toString);
            assertEquals("serving", line.getString("suite", ""), line::toString);
        }
    }

    @Test
    void failedMeasurementIsReportedAndOthersContinue() throws Exception {
        Path file = folder.resolve("out");
        ResultWriter results =
                new ResultWriter(file, "serving", ServingSlopes.describeMachine(), "test", 0);
        try (ServingHarness harness = new ServingHarness(folder, results, false)) {
            ServingSlopes.measureSizes(
                    harness,
                    "part",
                    new int[] {1, 2},
                    size -> {
                        if (size == 1) {
                            throw new AssertionError("no luck");
                        }
                        harness.addMetric("part", size, "figure", "s", "", 3, 1, 2);
                    });
        }
        List<JsonObject> lines =
                Files.readAllLines(file).stream().map(line -> Json.parse(line).asObject()).toList();
        assertEquals(2, lines.size());
        assertTrue(
                !lines.get(0).getBoolean("counts", true)
                        && lines.get(0).getString("why", "").contains("no luck"),
                lines.get(0)::toString);
        assertTrue(lines.get(1).getBoolean("counts", false), lines.get(1)::toString);
        assertEquals(2.0, lines.get(1).getDouble("median", 0));
        assertEquals(3.0, lines.get(1).getDouble("worst", 0));
    }
}
