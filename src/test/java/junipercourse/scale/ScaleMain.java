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

/**
 * Runs the scale scenarios of the fleet for each size in turn; {@link ScaleRun} documents the
 * properties.
 */
public final class ScaleMain {
    private static final int WARM_UP_SIZE = 90;

    private final List<Integer> sizes =
            listProperty("scale.sizes", "45,90").stream().map(Integer::valueOf).toList();
    private final List<String> scenarios =
            listProperty("scale.plays", String.join(",", FleetScenarios.ALL));
    private final int realCount = Integer.getInteger("scale.real", 6);
    private final int threadCount =
            Integer.getInteger(
                    "scale.threads",
                    Math.max(1, Math.min(4, Runtime.getRuntime().availableProcessors() / 2)));
    private final long seed = Long.getLong("scale.seed", 34);
    private final boolean packaged = !"false".equals(System.getProperty("scale.packaged"));
    private final double maxDelaySeconds = numberProperty("scale.delay", 0);
    private final double minDurationSeconds = numberProperty("scale.least", 5);
    private final double calmSeconds = numberProperty("scale.calm", 10);
    private final double partitionSeconds = numberProperty("scale.apart", 20);
    private final double maxMemoryMb = numberProperty("scale.memory", 11) * 1024;
    private final double wallSeconds = numberProperty("scale.wall", 1800);
    private final ResultWriter results =
            new ResultWriter(
                    Path.of(System.getProperty("scale.out", "target/scale.jsonl")),
                    "fleet",
                    HostMetrics.describe(),
                    System.getProperty("scale.variant", "landed"),
                    seed);

    /**
     * Runs all sizes; exits with 0 if all scenarios were run, 1 if not, 2 if the parent process
     * ended.
     */
    public static void main(String[] arguments) throws IOException {
        Thread parent =
                new Thread(
                        () -> {
                            try {
                                System.in.transferTo(
                                        OutputStream.nullOutputStream()); // ends when the parent
                                // process ends
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

    private static List<String> listProperty(String key, String fallback) {
        return Arrays.asList(System.getProperty(key, fallback).split(","));
    }

    private static double numberProperty(String key, double fallback) {
        return Double.parseDouble(System.getProperty(key, Double.toString(fallback)));
    }

    /** Returns true if all scenarios were run. */
    boolean run() throws IOException {
        System.out.printf(
                "scale run: sizes %s, plays %s, %d real, %d hollow threads, seed %d; at most"
                        + " %.0f MB and %.0f s, about %d s in all; %d processes%n",
                sizes,
                scenarios,
                realCount,
                threadCount,
                seed,
                maxMemoryMb,
                wallSeconds,
                (int) (sizes.size() * (70 + calmSeconds * 3 + partitionSeconds)),
                realCount + 1);
        if (!FleetScenarios.ALL.containsAll(scenarios)) {
            throw new IllegalArgumentException(
                    "plays are " + FleetScenarios.ALL + ", got " + scenarios);
        }
        RunLimits limits = new RunLimits(maxMemoryMb, wallSeconds);
        boolean allRun = true;
        warmUp();
        for (int size : sizes) {
            allRun &= run(size, limits);
        }
        return allRun;
    }

    /** Runs a small fleet without measuring it, so that the JVM is warm for the first size. */
    private void warmUp() throws IOException {
        Path folder = Files.createTempDirectory("scale");
        try (ScaleFleet fleet =
                new ScaleFleet(folder, WARM_UP_SIZE, 0, threadCount, false, 0, seed)) {
            fleet.startAll();
            SocketTestSupport.sleepMillis((long) (numberProperty("scale.warm", 10) * 1e3));
        } finally {
            delete(folder);
        }
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    private boolean run(int size, RunLimits limits) throws IOException {
        List<String> remaining = Collections.synchronizedList(new ArrayList<>(scenarios));
        remaining.remove("start");
        remaining.add(0, "start"); // all others need a started fleet
        Path folder = Files.createTempDirectory("scale");
        try (ScaleFleet fleet =
                        new ScaleFleet(
                                folder,
                                size,
                                realCount,
                                threadCount,
                                packaged,
                                maxDelaySeconds,
                                seed);
                ScenarioRecorder recorder = new ScenarioRecorder(fleet, results, limits)) {
            Thread hook =
                    new Thread(
                            () -> {
                                fleet.realMembers.forEach(RealMember::close);
                                writeNotRun(
                                        size,
                                        remaining,
                                        new RunLimits.RunAbortedException("ended from outside"));
                                for (int laterSize :
                                        sizes.subList(sizes.indexOf(size) + 1, sizes.size())) {
                                    writeNotRun(
                                            laterSize,
                                            new ArrayList<>(scenarios),
                                            new RunLimits.RunAbortedException(
                                                    "ended from outside"));
                                }
                            },
                            "end-real");
            Runtime.getRuntime().addShutdownHook(hook);
            FleetScenarios allRun =
                    new FleetScenarios(
                            fleet,
                            recorder,
                            limits,
                            seed,
                            minDurationSeconds,
                            calmSeconds,
                            partitionSeconds);
            try {
                while (!remaining.isEmpty()) {
                    allRun.runScenario(remaining.get(0));
                    remaining.remove(0);
                }
            } finally {
                fleet.realMembers.forEach(RealMember::close);
                Runtime.getRuntime().removeShutdownHook(hook);
            }
        } catch (IOException | RuntimeException e) {
            writeNotRun(size, remaining, e);
            return false;
        } finally {
            delete(folder);
        }
        return true;
    }

    /**
     * Writes the remaining scenarios as not run and clears them, so that a consequential failure,
     * as after the real members were closed, is not reported as a second cause.
     */
    private synchronized void writeNotRun(int size, List<String> remaining, Exception cause) {
        if (remaining.isEmpty()) {
            return;
        }
        System.out.println("cut short at " + size + " members: " + cause);
        if (!(cause instanceof RunLimits.RunAbortedException)) {
            cause.printStackTrace(System.out);
        }
        for (String scenario : remaining) {
            results.addInvalid(
                    scenario,
                    size,
                    "not_run",
                    "plays",
                    1,
                    1,
                    1,
                    "cut short: " + cause.getMessage());
        }
        remaining.clear();
    }
}
