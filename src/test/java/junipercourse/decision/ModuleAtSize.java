package junipercourse.decision;

import com.sun.management.OperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import junipercourse.scale.ResultWriter;
import org.junit.jupiter.api.Test;

/**
 * Measures the module alone for 2 to 720 dispatchers, with engines in the ratio of 980 to 720. A
 * long run that is not part of the build: {@code mvn -o -q -B -ntp test -Dtest=ModuleAtSize
 * -Dscale.out=FILE}, with {@code -Dsizes=2,15,30,100,180,360,720}, {@code -Dseeds=3} (2 from 360
 * on) and {@code -Dseed=} for others. The seed of a line is the first of its runs. Single-threaded.
 */
class ModuleAtSize {
    private static final double LOAD = 0.7; // of the capacity of the warm engines
    private static final double STEP_SECONDS = 0.02;
    private static final double LIGHT_STEP_SECONDS = 0.005;
    private static final int MAX_LIGHT_ENGINES =
            98; // 310,000 queries a second for all engines take too long
    private static final double MAX_UNANSWERED_SHARE =
            0.05; // above it the result shows the small number of engines, not the module
    private static final int[] LISTED_ENGINE_COUNTS = {10, 100, 300, 980};

    private final long seed = Long.getLong("seed", 34_000);
    private final int seeds = Integer.getInteger("seeds", 3);
    private final ResultWriter results =
            new ResultWriter(
                    Path.of(System.getProperty("scale.out", "target/module.jsonl")),
                    "module",
                    describeMachine(),
                    System.getProperty("scale.variant", "landed"),
                    seed);

    private String invalidReason =
            ""; // why the current results are invalid; empty if they are valid

    private static String describeMachine() {
        OperatingSystemMXBean system =
                (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
        return system.getAvailableProcessors()
                + " cores, "
                + (system.getTotalMemorySize() >> 30)
                + " GiB";
    }

    static int engineCount(int dispatchers) {
        return Math.round(dispatchers * 980f / 720);
    }

    @Test
    void measuresProcessorTimeOfOneInstance() {
        for (int engineCount : LISTED_ENGINE_COUNTS) {
            recordMetric(
                    "one_instance",
                    engineCount,
                    "cpu_per_query",
                    "us",
                    new DecisionCost(SlowStartSite.MAIN, engineCount)
                            .measureMicrosPerQuery(5, 10_000));
            recordMetric(
                    "one_instance_no_loads",
                    engineCount,
                    "cpu_per_query",
                    "us",
                    new DecisionCost(SlowStartSite.EVEN, engineCount)
                            .measureMicrosPerQuery(5, 10_000));
            recordMetric(
                    "one_instance",
                    engineCount,
                    "cpu_per_change",
                    "us",
                    new DecisionCost(SlowStartSite.MAIN, engineCount)
                            .measureMicrosPerChange(5, 1_000));
        }
    }

    @Test
    void measuresHeapOfOneInstance() {
        for (int engineCount : LISTED_ENGINE_COUNTS) {
            recordMetric(
                    "one_instance",
                    engineCount,
                    "heap",
                    "B",
                    DecisionCost.measureHeapBytes(SlowStartSite.MAIN, engineCount));
        }
    }

    private static int[] readSizes(String defaultSizes) {
        return Arrays.stream(System.getProperty("sizes", defaultSizes).split(","))
                .mapToInt(Integer::parseInt)
                .toArray();
    }

    /**
     * Queries of about a second of work, so that few fit on a cold engine. All engines are
     * modelled.
     */
    @Test
    void measuresOneColdEngine() {
        for (int dispatchers : readSizes("2,15,30,100,180,360,720")) {
            measureReplacement(
                    "one_cold_engine",
                    dispatchers,
                    SlowStartSite.MAIN,
                    STEP_SECONDS,
                    engineCount(dispatchers),
                    dispatchers < 360 ? seeds : 2);
        }
    }

    /**
     * The same with 316 queries a second for each engine, of which 41 of 136 and 98 of 980 are
     * modelled. With fewer, the share of a dispatcher in all their threads is below one query, and
     * queries are not admitted.
     */
    @Test
    void measuresOneColdEngineWithLightQueries() {
        for (int dispatchers : readSizes("2,100,720")) {
            int engineCount =
                    Math.min(
                            engineCount(dispatchers),
                            Math.max(41, MAX_LIGHT_ENGINES * dispatchers / 720));
            measureReplacement(
                    "one_cold_engine_light",
                    dispatchers,
                    lightSite(),
                    LIGHT_STEP_SECONDS,
                    engineCount,
                    dispatchers < 360 ? 2 : 1);
        }
    }

    /**
     * Returns a site whose mean query is so short that an engine at this load serves 316 queries a
     * second.
     */
    static SlowStartSite lightSite() {
        SlowStartSite main = SlowStartSite.MAIN;
        double scale = main.cores() * LOAD / 316 / main.meanRequestWorkSeconds();
        return new SlowStartSite(
                "light",
                main.cores(),
                main.guarantees(),
                main.classes(),
                main.classWeights(),
                Arrays.stream(main.meanWorkSeconds())
                        .map(workSeconds -> workSeconds * scale)
                        .toArray(),
                main.variationCoefficients());
    }

    /**
     * The scenarios of {@link FleetSlowStartTest} with their 24 engines, some of which start cold
     * at the same time.
     */
    @Test
    void measuresManyColdEngines() {
        for (int dispatchers : readSizes("100,720")) {
            for (SlowStartSimulation.Scenario scenario : SlowStartSimulation.Scenario.values()) {
                List<StartingEngineModel.RampResult> rampResults = new ArrayList<>();
                for (int i = 0; i < 2; i++) {
                    rampResults.addAll(
                            new SlowStartSimulation(
                                            SlowStartSite.MAIN, dispatchers, scenario, seed + i)
                                    .evaluateStarts());
                }
                String scenarioName = "cold_day_" + scenario.name().toLowerCase(Locale.ROOT);
                recordMetric(
                        scenarioName,
                        dispatchers,
                        "sum_by_line",
                        "ratio",
                        rampResults.stream()
                                .mapToDouble(StartingEngineModel.RampResult::maxLoadRatio)
                                .toArray());
                recordMetric(
                        scenarioName,
                        dispatchers,
                        "starts_broken",
                        "starts",
                        rampResults.stream()
                                .mapToDouble(result -> result.isRuleBroken() ? 1 : 0)
                                .toArray());
                recordMetric(
                        scenarioName,
                        dispatchers,
                        "ramp_used",
                        "ratio",
                        rampResults.stream()
                                .mapToDouble(StartingEngineModel.RampResult::usedCapacityShare)
                                .toArray());
            }
        }
    }

    private void measureReplacement(
            String scenario,
            int dispatchers,
            SlowStartSite site,
            double stepSeconds,
            int engineCount,
            int maxSeeds) {
        List<EngineReplacementSimulation.ReplacementResult> runs = new ArrayList<>();
        for (int i = 0; i < Math.min(seeds, maxSeeds); i++) {
            long startNanos = System.nanoTime();
            runs.add(
                    new EngineReplacementSimulation(
                                    site, stepSeconds, dispatchers, engineCount, LOAD, seed + i)
                            .evaluate());
            System.out.printf(
                    Locale.ROOT,
                    "%s, %d dispatchers, %d engines, %.0f s: %s%n",
                    scenario,
                    dispatchers,
                    engineCount,
                    (System.nanoTime() - startNanos) / 1e9,
                    runs.get(i));
        }
        double unansweredShare =
                runs.stream()
                        .mapToDouble(EngineReplacementSimulation.ReplacementResult::unansweredShare)
                        .max()
                        .orElseThrow();
        invalidReason =
                unansweredShare > MAX_UNANSWERED_SHARE && engineCount < engineCount(dispatchers)
                        ? "too few engines modelled: "
                                + Math.round(100 * unansweredShare)
                                + "% found no room"
                        : "";
        recordRuns(scenario, dispatchers, "engines", "engines", runs, run -> engineCount);
        recordRuns(
                scenario,
                dispatchers,
                "sum_by_line",
                "ratio",
                runs,
                run -> run.ramp().maxLoadRatio());
        recordRuns(
                scenario,
                dispatchers,
                "windows_over_line",
                "windows",
                runs,
                run -> run.ramp().overloadedWindows());
        recordRuns(
                scenario,
                dispatchers,
                "starts_broken",
                "starts",
                runs,
                run -> run.ramp().isRuleBroken() ? 1 : 0);
        recordRuns(
                scenario,
                dispatchers,
                "sum_by_line_once_warm",
                "ratio",
                runs,
                EngineReplacementSimulation.ReplacementResult::maxLoadRatioAfterRamp);
        recordAge(
                scenario,
                dispatchers,
                "first_query_age",
                runs,
                EngineReplacementSimulation.ReplacementResult::firstQueryAgeSeconds);
        recordAge(
                scenario,
                dispatchers,
                "full_share_age",
                runs,
                EngineReplacementSimulation.ReplacementResult::fullShareAgeSeconds);
        recordRuns(
                scenario,
                dispatchers,
                "queries_first_window",
                "queries",
                runs,
                EngineReplacementSimulation.ReplacementResult::firstWindowQueries);
        recordRuns(
                scenario,
                dispatchers,
                "borne_first_window",
                "queries",
                runs,
                EngineReplacementSimulation.ReplacementResult::firstWindowCapacity);
        recordRuns(
                scenario,
                dispatchers,
                "ramp_used",
                "ratio",
                runs,
                run -> run.ramp().usedCapacityShare());
        recordRuns(
                scenario,
                dispatchers,
                "ramp_by_warm_engine",
                "ratio",
                runs,
                EngineReplacementSimulation.ReplacementResult::rampShare);
        recordRuns(
                scenario,
                dispatchers,
                "once_warm_by_engine",
                "ratio",
                runs,
                EngineReplacementSimulation.ReplacementResult::shareAfterRamp);
        recordRuns(
                scenario,
                dispatchers,
                "queries_per_dispatcher",
                "1/s",
                runs,
                run -> run.queriesPerSecond() / dispatchers);
        recordRuns(
                scenario,
                dispatchers,
                "unanswered",
                "ratio",
                runs,
                EngineReplacementSimulation.ReplacementResult::unansweredShare);
    }

    /**
     * Records an age. If some runs did not reach it, they count as the end of the run and the
     * result is invalid.
     */
    private void recordAge(
            String scenario,
            int dispatchers,
            String metric,
            List<EngineReplacementSimulation.ReplacementResult> runs,
            ToDoubleFunction<EngineReplacementSimulation.ReplacementResult> valueOfRun) {
        double maxAgeSeconds =
                SlowStartSite.MAIN.guarantees().slowStartSeconds()
                        + EngineReplacementSimulation.AFTER_RAMP_SECONDS;
        double[] ages = runs.stream().mapToDouble(valueOfRun).toArray();
        long unreachedCount = Arrays.stream(ages).filter(Double::isNaN).count();
        if (unreachedCount == 0) {
            recordMetric(scenario, dispatchers, metric, "s", ages);
        } else {
            double[] sorted =
                    Arrays.stream(ages)
                            .map(age -> Double.isNaN(age) ? maxAgeSeconds : age)
                            .sorted()
                            .toArray();
            results.addInvalid(
                    scenario,
                    dispatchers,
                    metric,
                    "s",
                    sorted[sorted.length / 2],
                    maxAgeSeconds,
                    sorted.length,
                    unreachedCount + " of " + sorted.length + " days ended before");
        }
    }

    private void recordRuns(
            String scenario,
            int dispatchers,
            String metric,
            String unit,
            List<EngineReplacementSimulation.ReplacementResult> runs,
            ToDoubleFunction<EngineReplacementSimulation.ReplacementResult> valueOfRun) {
        recordMetric(
                scenario,
                dispatchers,
                metric,
                unit,
                runs.stream().mapToDouble(valueOfRun).toArray());
    }

    /**
     * Records the median and the worst value: the largest, or the smallest where a higher value is
     * better.
     */
    private void recordMetric(
            String scenario, int dispatchers, String metric, String unit, double... values) {
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        boolean isHigherBetter =
                List.of(
                                "queries_first_window",
                                "borne_first_window",
                                "ramp_used",
                                "ramp_by_warm_engine",
                                "queries_per_dispatcher")
                        .contains(metric);
        int count = sorted.length;
        double median = (sorted[(count - 1) / 2] + sorted[count / 2]) / 2;
        double worst = isHigherBetter ? sorted[0] : sorted[count - 1];
        if (invalidReason.isEmpty()) {
            results.add(scenario, dispatchers, metric, unit, median, worst, count);
        } else {
            results.addInvalid(
                    scenario, dispatchers, metric, unit, median, worst, count, invalidReason);
        }
        System.out.printf(
                Locale.ROOT,
                "%-22s %4d %-22s %10.3f %10.3f %s (%d)%n",
                scenario,
                dispatchers,
                metric,
                median,
                worst,
                unit,
                count);
    }
}
