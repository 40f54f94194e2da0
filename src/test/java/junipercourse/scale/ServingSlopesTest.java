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

/** The parts of {@link ServingSlopes} in the small: each figure comes, is positive and counts. */
class ServingSlopesTest {
    /** What may be nothing in a run as short as this one. */
    private static final Set<String> MAY_BE_NONE =
            Set.of(
                    "cpu_per_query_collector",
                    "cpu_per_query_kernel",
                    "cpu_per_query_compiler",
                    "refused_or_closed_early",
                    "idle_cpu",
                    "cpu_per_event_under_load_loop");

    @TempDir private Path folder;

    @Test
    void eachPartTellsItsFigures() throws Exception {
        Path out = folder.resolve("out");
        ResultWriter results = new ResultWriter(out, "serving", ServingSlopes.machine(), "test", 0);
        try (ServingHarness bench = new ServingHarness(folder, results, false)) {
            ServingMeasurements p = new ServingMeasurements(bench);
            p.start(3, 1);
            p.engines(4, 0.1, 0.4, 50);
            p.idlePlatform(6, 0.1);
            p.idle(8, 0.2);
            p.hand(5, 3, 0.2);
            p.handshake(50, 0.4, 50);
            new EndpointListBenchmark(bench, 8).measure(40, 200, 5, 50, 0.3);
        }
        List<JsonObject> lines =
                Files.readAllLines(out).stream().map(l -> Json.parse(l).asObject()).toList();
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
                lines.stream().map(l -> l.getString("play", "")).collect(Collectors.toSet()));
        for (JsonObject l : lines) {
            String figure = l.getString("figure", "");
            assertTrue(l.getDouble("median", 0) > 0 || MAY_BE_NONE.contains(figure), l::toString);
            assertTrue(l.getDouble("worst", 0) >= l.getDouble("median", 0), l::toString);
            assertEquals("serving", l.getString("suite", ""), l::toString);
        }
    }

    @Test
    void whatFailsIsToldAndTheRestGoesOn() throws Exception {
        Path out = folder.resolve("out");
        ResultWriter results = new ResultWriter(out, "serving", ServingSlopes.machine(), "test", 0);
        try (ServingHarness bench = new ServingHarness(folder, results, false)) {
            ServingSlopes.each(
                    bench,
                    "part",
                    new int[] {1, 2},
                    n -> {
                        if (n == 1) {
                            throw new AssertionError("no luck");
                        }
                        bench.add("part", n, "figure", "s", "", 3, 1, 2);
                    });
        }
        List<JsonObject> lines =
                Files.readAllLines(out).stream().map(l -> Json.parse(l).asObject()).toList();
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
