package junipercourse.scale;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import junipercourse.SocketTestSupport;

/** The scale run of the fleet, for each size in turn; {@link ScaleRun} tells of its properties. */
public final class ScaleMain {
    private static final int WARM_SIZE = 90;

    private final List<Integer> sizes =
            list("scale.sizes", "45,90").stream().map(Integer::valueOf).toList();
    private final List<String> plays = list("scale.plays", String.join(",", FleetScenarios.ALL));
    private final int realCount = Integer.getInteger("scale.real", 6);
    private final int threads =
            Integer.getInteger(
                    "scale.threads",
                    Math.max(1, Math.min(4, Runtime.getRuntime().availableProcessors() / 2)));
    private final long seed = Long.getLong("scale.seed", 34);
    private final boolean packaged = !"false".equals(System.getProperty("scale.packaged"));
    private final double delay = number("scale.delay", 0);
    private final double leastS = number("scale.least", 5);
    private final double calmS = number("scale.calm", 10);
    private final double apartS = number("scale.apart", 20);
    private final double memoryMb = number("scale.memory", 11) * 1024;
    private final double wallS = number("scale.wall", 1800);
    private final ResultWriter results =
            new ResultWriter(
                    Path.of(System.getProperty("scale.out", "target/scale.jsonl")),
                    "fleet",
                    HostMetrics.told(),
                    System.getProperty("scale.variant", "landed"),
                    seed);

    /** Runs all; the exit code tells whether all plays were run. */
    public static void main(String[] arguments) throws IOException {
        Thread parent =
                new Thread(
                        () -> {
                            try {
                                System.in.transferTo(
                                        OutputStream.nullOutputStream()); // its end is that of who
                                // started this
                            } catch (IOException e) {
                                System.out.println("the starter's pipe broke: " + e);
                            }
                            System.exit(2);
                        },
                        "parent");
        parent.setDaemon(true);
        parent.start();
        System.exit(new ScaleMain().run() ? 0 : 1);
    }

    private static List<String> list(String key, String fallback) {
        return Arrays.asList(System.getProperty(key, fallback).split(","));
    }

    private static double number(String key, double fallback) {
        return Double.parseDouble(System.getProperty(key, Double.toString(fallback)));
    }

    /** True if all plays were run. */
    boolean run() throws IOException {
        System.out.printf(
                "scale run: sizes %s, plays %s, %d real, %d hollow threads, seed %d; at most"
                        + " %.0f MB and %.0f s, about %d s in all; %d processes%n",
                sizes,
                plays,
                realCount,
                threads,
                seed,
                memoryMb,
                wallS,
                (int) (sizes.size() * (70 + calmS * 3 + apartS)),
                realCount + 1);
        if (!FleetScenarios.ALL.containsAll(plays)) {
            throw new IllegalArgumentException(
                    "plays are " + FleetScenarios.ALL + ", got " + plays);
        }
        RunLimits guard = new RunLimits(memoryMb, wallS);
        boolean all = true;
        warmUp();
        for (int size : sizes) {
            all &= run(size, guard);
        }
        return all;
    }

    /** Runs a small fleet unmeasured, so that the first size is not charged with a cold JVM. */
    private void warmUp() throws IOException {
        Path folder = Files.createTempDirectory("scale");
        try (ScaleFleet fleet = new ScaleFleet(folder, WARM_SIZE, 0, threads, false, 0, seed)) {
            fleet.startAll();
            SocketTestSupport.sleepMillis((long) (number("scale.warm", 10) * 1e3));
        } finally {
            delete(folder);
        }
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path each : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(each);
            }
        }
    }

    private boolean run(int size, RunLimits guard) throws IOException {
        List<String> left = Collections.synchronizedList(new ArrayList<>(plays));
        left.remove("start");
        left.add(0, "start"); // nothing is without it
        Path folder = Files.createTempDirectory("scale");
        try (ScaleFleet fleet =
                        new ScaleFleet(folder, size, realCount, threads, packaged, delay, seed);
                ScenarioRecorder meter = new ScenarioRecorder(fleet, results, guard)) {
            Thread hook =
                    new Thread(
                            () -> {
                                fleet.real.forEach(RealMember::close);
                                notRun(
                                        size,
                                        left,
                                        new RunLimits.RunAbortedException("ended from outside"));
                                for (int later :
                                        sizes.subList(sizes.indexOf(size) + 1, sizes.size())) {
                                    notRun(
                                            later,
                                            new ArrayList<>(plays),
                                            new RunLimits.RunAbortedException(
                                                    "ended from outside"));
                                }
                            },
                            "end-real");
            Runtime.getRuntime().addShutdownHook(hook);
            FleetScenarios all =
                    new FleetScenarios(fleet, meter, guard, seed, leastS, calmS, apartS);
            try {
                while (!left.isEmpty()) {
                    all.play(left.get(0));
                    left.remove(0);
                }
            } finally {
                fleet.real.forEach(RealMember::close);
                Runtime.getRuntime().removeShutdownHook(hook);
            }
        } catch (IOException | RuntimeException e) {
            notRun(size, left, e);
            return false;
        } finally {
            delete(folder);
        }
        return true;
    }

    /** Writes and forgets what is left: a second reason, as when real ones were ended, is none. */
    private synchronized void notRun(int size, List<String> left, Exception why) {
        if (left.isEmpty()) {
            return;
        }
        System.out.println("cut short at " + size + " members: " + why);
        if (!(why instanceof RunLimits.RunAbortedException)) {
            why.printStackTrace(System.out);
        }
        for (String play : left) {
            results.addInvalid(
                    play, size, "not_run", "plays", 1, 1, 1, "cut short: " + why.getMessage());
        }
        left.clear();
    }
}
