package junipercourse.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import junipercourse.fleet.membership.MembershipSettings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * A small scale run: hollow members behave like real members, and the run writes what it measures.
 */
class ScaleRunTest {
    private static final long SEED = Long.getLong("scale.seed", 34);
    private static final int SIZE = 14;
    private static final int REAL_MEMBERS = 2;

    /** Send budget of a member's protocol per second; the run's product file keeps the default. */
    private static final int SEND_BUDGET_BYTES = MembershipSettings.defaults().bytesPerSecond();

    @TempDir private Path folder;

    @Test
    void hollowAndRealMembersAgreeAfterKillAndPartition() throws Exception {
        System.out.println("seed " + SEED);
        Path resultFile = folder.resolve("out.jsonl");
        ResultWriter results =
                new ResultWriter(resultFile, "fleet", HostMetrics.describe(), "test", SEED);
        RunLimits limits = new RunLimits(11 * 1024, 60);
        try (ScaleFleet fleet = new ScaleFleet(folder, SIZE, REAL_MEMBERS, 1, false, 0, SEED);
                ScenarioRecorder recorder = new ScenarioRecorder(fleet, results, limits)) {
            FleetScenarios scenarios = new FleetScenarios(fleet, recorder, limits, SEED, 1, 1, 3);
            for (String scenario :
                    List.of("start", "calm", "kill", "restart", "regions", "events")) {
                scenarios.runScenario(scenario);
                assertNull(fleet.findDisagreement(), scenario);
                assertNull(fleet.findRealDisagreement(), scenario);
            }
        }
        List<JsonObject> lines =
                Files.readAllLines(resultFile).stream()
                        .map(line -> Json.parse(line).asObject())
                        .toList();
        for (String scenario : List.of("start", "kill", "restart", "regions_healed")) {
            assertEquals(0, median(lines, scenario, "unsettled"), scenario);
            assertEquals(0, median(lines, scenario, "real_unsettled"), scenario);
            assertTrue(median(lines, scenario, "settled") > 0, scenario);
            assertTrue(median(lines, scenario, "bytes_out") > 0, scenario);
        }
        for (JsonObject line : lines) {
            if (line.getString("figure", "").equals("bytes_out_worst_second")) {
                assertTrue(
                        line.getDouble("worst", SEND_BUDGET_BYTES + 1) <= SEND_BUDGET_BYTES,
                        line::toString);
            }
        }
        assertEquals(50 * (SIZE - REAL_MEMBERS), median(lines, "events", "events_heard"));
        assertTrue(median(lines, "calm", "datagrams_in") > 0);
        median(lines, "calm", "heap"); // only its presence is checked: other tests share the heap
    }

    /** When a limit is exceeded, the run aborts and states the reason. */
    @Test
    void exceededMemoryLimitAbortsRun() throws Exception {
        RunLimits limits = new RunLimits(1, 60);
        try (ScaleFleet fleet = new ScaleFleet(folder, SIZE, 0, 1, false, 0, SEED)) {
            limits.checkUsage(fleet);
        }
        boolean aborted = false;
        try {
            limits.throwIfAborted();
        } catch (RunLimits.RunAbortedException e) {
            aborted = e.getMessage().contains("1 allowed");
        }
        assertTrue(aborted);
        assertFalse(Files.exists(folder.resolve("out.jsonl")));
    }

    private static double median(List<JsonObject> lines, String scenario, String metric) {
        return lines.stream()
                .filter(
                        line ->
                                line.getString("play", "").equals(scenario)
                                        && line.getString("figure", "").equals(metric))
                .findFirst()
                .orElseThrow()
                .getDouble("median", -1);
    }
}
