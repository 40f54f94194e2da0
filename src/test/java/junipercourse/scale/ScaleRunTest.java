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
 * The scale run in the small: that its members are what they stand for, and that it writes what it
 * sees.
 */
class ScaleRunTest {
    private static final long SEED = Long.getLong("scale.seed", 34);
    private static final int SIZE = 14;
    private static final int REAL = 2;

    /**
     * What a member's view may send in any second; the product file of the run leaves it at that.
     */
    private static final int BUDGET = MembershipSettings.defaults().bytesPerSecond();

    @TempDir private Path folder;

    @Test
    void hollowAndRealMembersAreEqualsThroughAKillAndACut() throws Exception {
        System.out.println("seed " + SEED);
        Path out = folder.resolve("out.jsonl");
        ResultWriter results = new ResultWriter(out, "fleet", HostMetrics.told(), "test", SEED);
        RunLimits guard = new RunLimits(11 * 1024, 60);
        try (ScaleFleet fleet = new ScaleFleet(folder, SIZE, REAL, 1, false, 0, SEED);
                ScenarioRecorder meter = new ScenarioRecorder(fleet, results, guard)) {
            FleetScenarios plays = new FleetScenarios(fleet, meter, guard, SEED, 1, 1, 3);
            for (String play : List.of("start", "calm", "kill", "restart", "regions", "events")) {
                plays.play(play);
                assertNull(fleet.disagreement(), play);
                assertNull(fleet.realDisagreement(), play);
            }
        }
        List<JsonObject> lines =
                Files.readAllLines(out).stream().map(line -> Json.parse(line).asObject()).toList();
        for (String play : List.of("start", "kill", "restart", "regions_healed")) {
            assertEquals(0, figure(lines, play, "unsettled"), play);
            assertEquals(0, figure(lines, play, "real_unsettled"), play);
            assertTrue(figure(lines, play, "settled") > 0, play);
            assertTrue(figure(lines, play, "bytes_out") > 0, play);
        }
        for (JsonObject line : lines) {
            if (line.getString("figure", "").equals("bytes_out_worst_second")) {
                assertTrue(line.getDouble("worst", BUDGET + 1) <= BUDGET, line::toString);
            }
        }
        assertEquals(50 * (SIZE - REAL), figure(lines, "events", "events_heard"));
        assertTrue(figure(lines, "calm", "datagrams_in") > 0);
        figure(lines, "calm", "heap"); // it is there; here others share the heap
    }

    /** Past a bound the run ends by itself and says why. */
    @Test
    void aPassedBoundCutsTheRunShort() throws Exception {
        RunLimits guard = new RunLimits(1, 60);
        try (ScaleFleet fleet = new ScaleFleet(folder, SIZE, 0, 1, false, 0, SEED)) {
            guard.look(fleet);
        }
        boolean cut = false;
        try {
            guard.check();
        } catch (RunLimits.RunAbortedException e) {
            cut = e.getMessage().contains("1 allowed");
        }
        assertTrue(cut);
        assertFalse(Files.exists(folder.resolve("out.jsonl")));
    }

    private static double figure(List<JsonObject> lines, String play, String figure) {
        return lines.stream()
                .filter(
                        line ->
                                line.getString("play", "").equals(play)
                                        && line.getString("figure", "").equals(figure))
                .findFirst()
                .orElseThrow()
                .getDouble("median", -1);
    }
}
