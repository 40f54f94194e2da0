package junipercourse.decision;

import com.sun.management.OperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import junipercourse.scale.Results;
import org.junit.jupiter.api.Test;

/**
 * The pure module from 2 dispatchers to 720, each before engines in the ratio of 980 to 720. A long
 * run, not part of the build: {@code mvn -o -q -B -ntp test -Dtest=ModuleAtSize -Dscale.out=FILE},
 * with {@code -Dsizes=2,15,30,100,180,360,720}, {@code -Dseeds=3} (2 from 360 on) and {@code
 * -Dseed=} for others. Each line's seed is the first of its days. One thread.
 */
class ModuleAtSize {
    private static final double LOAD = 0.7; // of what the warm engines can do
    private static final double STEP_S = 0.02;
    private static final double LIGHT_STEP_S = 0.005;
    private static final int LIGHT_ENGINES =
            98; // modelled at most: 310,000 queries a second take too long
    private static final double UNANSWERED =
            0.05; // beyond it the few engines are seen, not the module
    private static final int[] LISTED = {10, 100, 300, 980};

    private final long seed = Long.getLong("seed", 34_000);
    private final int seeds = Integer.getInteger("seeds", 3);
    private final Results results =
            new Results(
                    Path.of(System.getProperty("scale.out", "target/module.jsonl")),
                    "module",
                    machine(),
                    System.getProperty("scale.variant", "landed"),
                    seed);

    private String unusable = ""; // why the figures at hand do not count

    private static String machine() {
        OperatingSystemMXBean os =
                (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
        return os.getAvailableProcessors() + " cores, " + (os.getTotalMemorySize() >> 30) + " GiB";
    }

    static int engines(int gateways) {
        return Math.round(gateways * 980f / 720);
    }

    @Test
    void oneInstance() {
        for (int engines : LISTED) {
            figure(
                    "one_instance",
                    engines,
                    "cpu_per_query",
                    "us",
                    new DecisionCost(SlowStartSite.MAIN, engines).perQuery(5, 10_000));
            figure(
                    "one_instance_no_loads",
                    engines,
                    "cpu_per_query",
                    "us",
                    new DecisionCost(SlowStartSite.EVEN, engines).perQuery(5, 10_000));
            figure(
                    "one_instance",
                    engines,
                    "cpu_per_change",
                    "us",
                    new DecisionCost(SlowStartSite.MAIN, engines).perChange(5, 1_000));
        }
    }

    @Test
    void heapOfOneInstance() {
        for (int engines : LISTED) {
            figure(
                    "one_instance",
                    engines,
                    "heap",
                    "B",
                    DecisionCost.heap(SlowStartSite.MAIN, engines));
        }
    }

    private static int[] sizes(String usual) {
        return Arrays.stream(System.getProperty("sizes", usual).split(","))
                .mapToInt(Integer::parseInt)
                .toArray();
    }

    /** Queries of a second of work, so that few fit a cold engine: all engines are modelled. */
    @Test
    void oneColdEngine() {
        for (int size : sizes("2,15,30,100,180,360,720")) {
            join(
                    "one_cold_engine",
                    size,
                    SlowStartSite.MAIN,
                    STEP_S,
                    engines(size),
                    size < 360 ? seeds : 2);
        }
    }

    /**
     * The same on 316 queries a second for each engine, of which 41 of 136 and 98 of 980 are
     * modelled. With too few a dispatcher's part of all their threads is under one query, and
     * queries find no room.
     */
    @Test
    void oneColdEngineOfLightQueries() {
        for (int size : sizes("2,100,720")) {
            int count = Math.min(engines(size), Math.max(41, LIGHT_ENGINES * size / 720));
            join("one_cold_engine_light", size, light(), LIGHT_STEP_S, count, size < 360 ? 2 : 1);
        }
    }

    /** Work of the mean query such that an engine at this load does 316 of them a second. */
    static SlowStartSite light() {
        SlowStartSite m = SlowStartSite.MAIN;
        double part = m.cores() * LOAD / 316 / m.mean();
        return new SlowStartSite(
                "light",
                m.cores(),
                m.rules(),
                m.classes(),
                m.share(),
                Arrays.stream(m.meanWork()).map(w -> w * part).toArray(),
                m.cv());
    }

    /**
     * The days of {@link FleetSlowStartTest} with their 24 engines, of which a part comes up cold
     * at once.
     */
    @Test
    void daysOfManyColdEngines() {
        for (int size : sizes("100,720")) {
            for (SlowStartSimulation.Trouble t : SlowStartSimulation.Trouble.values()) {
                List<StartingEngineModel.Verdict> starts = new ArrayList<>();
                for (int i = 0; i < 2; i++) {
                    starts.addAll(
                            new SlowStartSimulation(SlowStartSite.MAIN, size, t, seed + i)
                                    .starts());
                }
                String play = "cold_day_" + t.name().toLowerCase(Locale.ROOT);
                figure(
                        play,
                        size,
                        "sum_by_line",
                        "ratio",
                        starts.stream().mapToDouble(StartingEngineModel.Verdict::most).toArray());
                figure(
                        play,
                        size,
                        "starts_broken",
                        "starts",
                        starts.stream().mapToDouble(v -> v.broken() ? 1 : 0).toArray());
                figure(
                        play,
                        size,
                        "ramp_used",
                        "ratio",
                        starts.stream().mapToDouble(StartingEngineModel.Verdict::used).toArray());
            }
        }
    }

    private void join(String play, int size, SlowStartSite site, double step, int count, int most) {
        List<EngineReplacementSimulation.Joined> days = new ArrayList<>();
        for (int i = 0; i < Math.min(seeds, most); i++) {
            long from = System.nanoTime();
            days.add(
                    new EngineReplacementSimulation(site, step, size, count, LOAD, seed + i)
                            .joined());
            System.out.printf(
                    Locale.ROOT,
                    "%s, %d dispatchers, %d engines, %.0f s: %s%n",
                    play,
                    size,
                    count,
                    (System.nanoTime() - from) / 1e9,
                    days.get(i));
        }
        double unanswered =
                days.stream()
                        .mapToDouble(EngineReplacementSimulation.Joined::missed)
                        .max()
                        .orElseThrow();
        unusable =
                unanswered > UNANSWERED && count < engines(size)
                        ? "too few engines modelled: "
                                + Math.round(100 * unanswered)
                                + "% found no room"
                        : "";
        many(play, size, "engines", "engines", days, d -> count);
        many(play, size, "sum_by_line", "ratio", days, d -> d.cold().most());
        many(play, size, "windows_over_line", "windows", days, d -> d.cold().over());
        many(play, size, "starts_broken", "starts", days, d -> d.cold().broken() ? 1 : 0);
        many(
                play,
                size,
                "sum_by_line_once_warm",
                "ratio",
                days,
                EngineReplacementSimulation.Joined::mostAfter);
        age(play, size, "first_query_age", days, EngineReplacementSimulation.Joined::firstAge);
        age(play, size, "full_share_age", days, EngineReplacementSimulation.Joined::shareAge);
        many(
                play,
                size,
                "queries_first_window",
                "queries",
                days,
                EngineReplacementSimulation.Joined::firstWindow);
        many(
                play,
                size,
                "borne_first_window",
                "queries",
                days,
                EngineReplacementSimulation.Joined::bears);
        many(play, size, "ramp_used", "ratio", days, d -> d.cold().used());
        many(
                play,
                size,
                "ramp_by_warm_engine",
                "ratio",
                days,
                EngineReplacementSimulation.Joined::rampPart);
        many(
                play,
                size,
                "once_warm_by_engine",
                "ratio",
                days,
                EngineReplacementSimulation.Joined::shareAfter);
        many(play, size, "queries_per_dispatcher", "1/s", days, d -> d.queriesPerS() / size);
        many(play, size, "unanswered", "ratio", days, EngineReplacementSimulation.Joined::missed);
    }

    /** An age that was not reached in the day is told as the day's end and does not count. */
    private void age(
            String play,
            int size,
            String figure,
            List<EngineReplacementSimulation.Joined> days,
            ToDoubleFunction<EngineReplacementSimulation.Joined> value) {
        double end =
                SlowStartSite.MAIN.rules().slowStartSeconds() + EngineReplacementSimulation.AFTER_S;
        double[] ages = days.stream().mapToDouble(value).toArray();
        long never = Arrays.stream(ages).filter(Double::isNaN).count();
        if (never == 0) {
            figure(play, size, figure, "s", ages);
        } else {
            double[] sorted =
                    Arrays.stream(ages).map(a -> Double.isNaN(a) ? end : a).sorted().toArray();
            results.invalid(
                    play,
                    size,
                    figure,
                    "s",
                    sorted[sorted.length / 2],
                    end,
                    sorted.length,
                    never + " of " + sorted.length + " days ended before");
        }
    }

    private void many(
            String play,
            int size,
            String figure,
            String unit,
            List<EngineReplacementSimulation.Joined> days,
            ToDoubleFunction<EngineReplacementSimulation.Joined> value) {
        figure(play, size, figure, unit, days.stream().mapToDouble(value).toArray());
    }

    /** The largest passes for the worst; of what is better the more there is, the least. */
    private void figure(String play, int size, String figure, String unit, double... values) {
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        boolean more =
                List.of(
                                "queries_first_window",
                                "borne_first_window",
                                "ramp_used",
                                "ramp_by_warm_engine",
                                "queries_per_dispatcher")
                        .contains(figure);
        int n = sorted.length;
        double median = (sorted[(n - 1) / 2] + sorted[n / 2]) / 2;
        double worst = more ? sorted[0] : sorted[n - 1];
        if (unusable.isEmpty()) {
            results.add(play, size, figure, unit, median, worst, n);
        } else {
            results.invalid(play, size, figure, unit, median, worst, n, unusable);
        }
        System.out.printf(
                Locale.ROOT,
                "%-22s %4d %-22s %10.3f %10.3f %s (%d)%n",
                play,
                size,
                figure,
                median,
                worst,
                unit,
                n);
    }
}
