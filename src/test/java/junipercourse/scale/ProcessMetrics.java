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

/** What the system and the JVM tell of another process: processor time by thread, memory. */
final class ProcessMetrics {
    private static final double NS = 1e-9;
    private static final double TICKS_S = 100; // in which the system splits off the kernel's part
    private static final double PAGE = 4096;
    private static final Pattern TOTAL = Pattern.compile("(?m)^Total +\\d+ +(\\d+)");

    private enum ThreadKind {
        LOOP,
        COMPILER,
        COLLECTOR,
        OTHER
    }

    /** What a thread had spent when it was last seen. */
    private record ThreadCpuTime(ThreadKind group, double seconds) {}

    private final Map<String, ThreadCpuTime> seen = new HashMap<>();
    private double unseen;
    private final long pid;

    ProcessMetrics(long pid) {
        this.pid = pid;
    }

    /**
     * Processor seconds: in all, of the I/O thread, the compiler and the collector, and in the
     * kernel.
     */
    record CpuTime(double all, double loop, double compiler, double collector, double kernel) {
        CpuTime since(CpuTime before) {
            return new CpuTime(
                    all - before.all,
                    loop - before.loop,
                    compiler - before.compiler,
                    collector - before.collector,
                    kernel - before.kernel);
        }
    }

    /**
     * By the nanosecond for each thread; by ticks of 10 ms the kernel's part, and what threads have
     * spent that ended between two looks.
     */
    CpuTime cpu() {
        try (DirectoryStream<Path> threads = Files.newDirectoryStream(of("task"))) {
            for (Path t : threads) {
                try {
                    String name = Files.readString(t.resolve("comm")).trim();
                    double s =
                            Long.parseLong(Files.readString(t.resolve("schedstat")).split(" ")[0])
                                    * NS;
                    seen.put(t.getFileName().toString(), new ThreadCpuTime(group(name), s));
                } catch (NoSuchFileException e) {
                    continue; // it has just ended
                }
            }
            // the third field and on
            String[] stat = Files.readString(of("stat")).split("\\) ")[1].split(" ");
            double kernel = Long.parseLong(stat[12]) / TICKS_S;
            double all = seen.values().stream().mapToDouble(ThreadCpuTime::seconds).sum();
            unseen = Math.max(unseen, Long.parseLong(stat[11]) / TICKS_S + kernel - all);
            return new CpuTime(
                    all + unseen,
                    of(ThreadKind.LOOP),
                    of(ThreadKind.COMPILER),
                    of(ThreadKind.COLLECTOR),
                    kernel);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private double of(ThreadKind group) {
        return seen.values().stream()
                .filter(s -> s.group == group)
                .mapToDouble(ThreadCpuTime::seconds)
                .sum();
    }

    /** The system keeps 15 characters of a thread's name. */
    private static ThreadKind group(String name) {
        return name.startsWith("junipercourse")
                ? ThreadKind.LOOP
                : name.matches("C[12] Comp.*")
                        ? ThreadKind.COMPILER
                        : name.equals("VM Thread") ? ThreadKind.COLLECTOR : ThreadKind.OTHER;
    }

    /** Resident bytes. */
    double resident() {
        try {
            return Long.parseLong(Files.readString(of("statm")).split(" ")[1]) * PAGE;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Bytes of heap that a collection of everything leaves, which telling them begins with. */
    double heap() throws IOException, InterruptedException {
        Matcher m = TOTAL.matcher(jcmd("GC.class_histogram"));
        if (!m.find()) {
            throw new IOException("the JVM told no heap");
        }
        return Long.parseLong(m.group(1));
    }

    private String jcmd(String command) throws IOException, InterruptedException {
        Process p =
                new ProcessBuilder(
                                System.getProperty("java.home") + "/bin/jcmd",
                                Long.toString(pid),
                                command)
                        .redirectErrorStream(true)
                        .start();
        String told = new String(p.getInputStream().readAllBytes());
        if (p.waitFor() != 0) {
            throw new IOException(told);
        }
        return told;
    }

    private Path of(String what) {
        return Path.of("/proc/" + pid + "/" + what);
    }
}
