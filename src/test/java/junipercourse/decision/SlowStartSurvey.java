package junipercourse.decision;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Simulates thousands of days for fleets of 2 to 100 dispatchers. A long run that is not part of
 * the build: {@code mvn -q -B -ntp test -Dtest=SlowStartSurvey -Ddays=100}, with {@code
 * -Dsites=main,short,long,even} and {@code -Dsizes=2,10,100} for a selection and {@code -Dseed=}
 * for other days. Prints a line for each size and scenario and fails if rule 4 is broken on one day
 * in 1,000 or more. Single-threaded; a day takes 0.05 to 0.6 s.
 */
class SlowStartSurvey {
    private final int days = Integer.getInteger("days", 25);
    private final long seed = Long.getLong("seed", 1_000);
    private final List<String> brokenDays = new ArrayList<>();
    private int simulatedDays;

    @Test
    void keepsColdEnginesWithinTheLimitOnAllButOneDayInAThousand() {
        List<String> sites = List.of(System.getProperty("sites", "main,short,long").split(","));
        int[] sizes =
                Arrays.stream(System.getProperty("sizes", "2,5,10,20,30,60,100").split(","))
                        .mapToInt(Integer::parseInt)
                        .toArray();
        Stream.of(SlowStartSite.MAIN, SlowStartSite.SHORT, SlowStartSite.LONG, SlowStartSite.EVEN)
                .filter(candidate -> sites.contains(candidate.name()))
                .forEach(
                        site -> {
                            for (int dispatchers : sizes) {
                                for (SlowStartSimulation.Scenario scenario :
                                        SlowStartSimulation.Scenario.values()) {
                                    simulateDays(site, dispatchers, scenario);
                                }
                            }
                        });
        assertTrue(
                brokenDays.size() * 1000 < simulatedDays,
                brokenDays.size() + " of " + simulatedDays + " days: " + brokenDays);
    }

    private void simulateDays(
            SlowStartSite site, int dispatchers, SlowStartSimulation.Scenario scenario) {
        long windowCount = 0;
        long overloadedWindows = 0;
        long startCount = 0;
        long overloadedStarts = 0;
        long brokenStarts = 0;
        double maxLoadRatio = 0;
        double usedCapacityShares = 0;
        for (int i = 0; i < days; i++) {
            long daySeed = seed * dispatchers + i + 77_000_000L * scenario.ordinal();
            boolean isDayBroken = false;
            for (StartingEngineModel.RampResult result :
                    new SlowStartSimulation(site, dispatchers, scenario, daySeed)
                            .evaluateStarts()) {
                windowCount += result.windowCount();
                overloadedWindows += result.overloadedWindows();
                startCount++;
                overloadedStarts += result.isOverloaded() ? 1 : 0;
                brokenStarts += result.isRuleBroken() ? 1 : 0;
                isDayBroken |= result.isRuleBroken();
                maxLoadRatio = Math.max(maxLoadRatio, result.maxLoadRatio());
                usedCapacityShares += result.usedCapacityShare();
            }
            simulatedDays++;
            if (isDayBroken) {
                brokenDays.add(
                        site.name() + " " + dispatchers + " " + scenario + " seed " + daySeed);
            }
        }
        System.out.printf(
                Locale.ROOT,
                "%-6s%4d %-13s windows over %.4f%%, starts %d, over %d, told %d; "
                        + "fullest %.2f of the line, used %.2f%n",
                site.name(),
                dispatchers,
                scenario,
                100.0 * overloadedWindows / windowCount,
                startCount,
                overloadedStarts,
                brokenStarts,
                maxLoadRatio,
                usedCapacityShares / startCount);
    }
}
