package junipercourse.scale;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** CPU time by thread and memory of another process, read from the operating system and its JVM. */
final class ProcessMetrics {
    private static final double SECONDS_PER_NANO = 1e-9;
    private static final double TICKS_PER_SECOND = 100; // unit of the kernel time in /proc/PID/stat
    private static final double PAGE_BYTES = 4096;
    private static final Pattern HISTOGRAM_TOTAL = Pattern.compile("(?m)^Total +\\d+ +(\\d+)");

    private enum ThreadKind {
        LOOP,
        COMPILER,
        COLLECTOR,
        OTHER
    }

    /** CPU time of a thread at its last reading. */
    private record ThreadCpuTime(ThreadKind kind, double seconds) {}

    private final Map<String, ThreadCpuTime> threadTimes = new HashMap<>();
    private double endedThreadSeconds;
    private final long pid;

    ProcessMetrics(long pid) {
        this.pid = pid;
    }

    /**
     * CPU seconds: in total, of the event loop, the JIT compiler and the garbage collector, and in
     * the kernel.
     */
    record CpuTime(double total, double loop, double compiler, double collector, double kernel) {
        CpuTime since(CpuTime before) {
            return new CpuTime(
                    total - before.total,
                    loop - before.loop,
                    compiler - before.compiler,
                    collector - before.collector,
                    kernel - before.kernel);
        }
    }

    /**
     * Reads the CPU time so far: to the nanosecond for each thread, in ticks of 10 ms for the
     * kernel time and for threads that ended between two readings.
     */
    CpuTime readCpuTime() {
        try (DirectoryStream<Path> threads = Files.newDirectoryStream(procFile("task"))) {
            for (Path thread : threads) {
                try {
                    String name = Files.readString(thread.resolve("comm")).trim();
                    double threadSeconds =
                            Long.parseLong(
                                            Files.readString(thread.resolve("schedstat"))
                                                    .split(" ")[0])
                                    * SECONDS_PER_NANO;
                    threadTimes.put(
                            thread.getFileName().toString(),
                            new ThreadCpuTime(threadKind(name), threadSeconds));
                } catch (NoSuchFileException e) {
                    continue; // the thread has just ended
                }
            }
            // from the third field on
            String[] stat = Files.readString(procFile("stat")).split("\\) ")[1].split(" ");
            double kernel = Long.parseLong(stat[12]) / TICKS_PER_SECOND;
            double threadTotal =
                    threadTimes.values().stream().mapToDouble(ThreadCpuTime::seconds).sum();
            endedThreadSeconds =
                    Math.max(
                            endedThreadSeconds,
                            Long.parseLong(stat[11]) / TICKS_PER_SECOND + kernel - threadTotal);
            return new CpuTime(
                    threadTotal + endedThreadSeconds,
                    cpuSeconds(ThreadKind.LOOP),
                    cpuSeconds(ThreadKind.COMPILER),
                    cpuSeconds(ThreadKind.COLLECTOR),
                    kernel);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private double cpuSeconds(ThreadKind kind) {
        return threadTimes.values().stream()
                .filter(thread -> thread.kind == kind)
                .mapToDouble(ThreadCpuTime::seconds)
                .sum();
    }

    /** The kernel truncates thread names to 15 characters. */
    private static ThreadKind threadKind(String name) {
        return name.startsWith("junipercourse")
                ? ThreadKind.LOOP
                : name.matches("C[12] Comp.*")
                        ? ThreadKind.COMPILER
                        : name.equals("VM Thread") ? ThreadKind.COLLECTOR : ThreadKind.OTHER;
    }

    /** Resident memory in bytes. */
    double readResidentBytes() {
        try {
            return Long.parseLong(Files.readString(procFile("statm")).split(" ")[1]) * PAGE_BYTES;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Heap bytes in use after a full garbage collection, which {@code GC.class_histogram} starts
     * with.
     */
    double readHeapBytes() throws IOException, InterruptedException {
        Matcher matcher = HISTOGRAM_TOTAL.matcher(runJcmd("GC.class_histogram"));
        if (!matcher.find()) {
            throw new IOException("no heap total in the output of jcmd GC.class_histogram");
        }
        return Long.parseLong(matcher.group(1));
    }

    private String runJcmd(String command) throws IOException, InterruptedException {
        Process process =
                new ProcessBuilder(
                                System.getProperty("java.home") + "/bin/jcmd",
                                Long.toString(pid),
                                command)
                        .redirectErrorStream(true)
                        .start();
        String output = new String(process.getInputStream().readAllBytes());
        if (process.waitFor() != 0) {
            throw new IOException(output);
        }
        return output;
    }

    private Path procFile(String file) {
        return Path.of("/proc/" + pid + "/" + file);
    }
}
