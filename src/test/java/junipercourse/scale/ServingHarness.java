package junipercourse.scale;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import junipercourse.DispatcherProcess;
import junipercourse.SocketTestSupport;
import junipercourse.SocketTestSupport.Client;

/**
 * One dispatcher after the other before stand-in engines, for the parts of {@link ServingSlopes}.
 * None of its processes outlives it, nor this JVM, however that ends.
 */
final class ServingHarness implements Closeable {
    static final int DEPLOYED_HEAP_MB = 64; // the deploy file's
    static final int PLATFORM_SOCKETS = 1024;
    private static final int SPARE_DESCRIPTORS =
            64; // beyond the configured limit: it must not need them

    /** Kills the process that takes this shell's place once the one that started it is gone. */
    private static final String WATCHED =
            "P=$PPID; (while kill -0 $$; do kill -0 $P || kill -9 $$; sleep 1;"
                    + " done >/dev/null 2>&1) & ";

    private static final String MEMBER =
            """
            {"id":"s-%08x","host_port":"%s:%d","locality":"east","flavor":"std","cell":0,
            "phase":"Ready","size":12.0,"up_since_ms":0}\
            """;
    private static final String KNOWN =
            """
            "offset":1,"batch":[{"offset":1,"topology":{"complete":true,"members":[%s]}}]\
            """;

    final ResultWriter results;
    final EngineFarm farm = new EngineFarm();
    private final Path folder;
    private final boolean deployed;
    private final List<RunningDispatcher> all = new ArrayList<>();
    private final Thread atEnd = new Thread(this::end);

    /**
     * By the deploy file's command line and the packaged program, or by the classes of the build.
     */
    ServingHarness(Path folder, ResultWriter results, boolean deployed) throws IOException {
        this.folder = folder;
        this.results = results;
        this.deployed = deployed;
        Runtime.getRuntime().addShutdownHook(atEnd);
    }

    /** What a part's dispatcher is to be. */
    record DispatcherSpec(int engines, int sockets, int heapMb, String bus) {
        static DispatcherSpec of(int engines) {
            return new DispatcherSpec(engines, PLATFORM_SOCKETS, DEPLOYED_HEAP_MB, "");
        }

        DispatcherSpec sockets(int limit) {
            return new DispatcherSpec(engines, limit, heapMb, bus);
        }

        DispatcherSpec heap(int mb) {
            return new DispatcherSpec(engines, sockets, mb, bus);
        }

        DispatcherSpec bus(InetSocketAddress at) {
            return new DispatcherSpec(
                    engines,
                    sockets,
                    heapMb,
                    at.getAddress().getHostAddress() + ":" + at.getPort());
        }
    }

    /** Starts one and returns at once. */
    RunningDispatcher start(DispatcherSpec site) throws IOException {
        int number = all.size();
        Path config = Files.writeString(folder.resolve("config" + number + ".json"), config(site));
        int descriptors = site.sockets + SPARE_DESCRIPTORS;
        String heap =
                site.heapMb == DEPLOYED_HEAP_MB
                        ? "" // these go over the command line
                        : "export _JAVA_OPTIONS='-Xmx" + site.heapMb + "m'; ";
        Path logs = Files.createDirectory(folder.resolve("run" + number));
        long begun = System.nanoTime();
        RunningDispatcher r =
                new RunningDispatcher(
                        deployed
                                ? DispatcherProcess.startDeployed(
                                        logs.resolve("log"),
                                        config,
                                        WATCHED + heap + "ulimit -n " + descriptors + "; ")
                                : new DispatcherProcess(logs, descriptors, config, WATCHED + heap),
                        begun);
        synchronized (all) {
            all.add(r);
        }
        return r;
    }

    private String config(DispatcherSpec site) throws IOException {
        String[] members = new String[site.engines];
        for (int i = 0; i < members.length; i++) {
            InetSocketAddress at = farm.address(i + 1);
            members[i] = MEMBER.formatted(i + 1, at.getAddress().getHostAddress(), at.getPort());
        }
        String text =
                SocketTestSupport.CONFIG
                        .replace(
                                "\"offset\":0,\"batch\":[]",
                                KNOWN.formatted(String.join(",", members)))
                        .replace("_per_s\":50.0", "_per_s\":5000.0")
                        .replace("\"sockets\":" + PLATFORM_SOCKETS, "\"sockets\":" + site.sockets);
        return text.replace(
                "\"bus\":\"127.0.0.1:1\",",
                site.bus.isEmpty() ? "" : "\"bus\":\"" + site.bus + "\",");
    }

    /** A dispatcher that runs. */
    static final class RunningDispatcher implements Closeable {
        final DispatcherProcess process;
        final ProcessMetrics figures;
        private final long begun;

        RunningDispatcher(DispatcherProcess process, long begun) {
            this.process = process;
            this.figures = new ProcessMetrics(process.pid());
            this.begun = begun;
        }

        /** Waits until it listens and has answered an empty query. */
        RunningDispatcher ready() throws IOException {
            try (Client c = new Client(process.address())) {
                String answer = c.startSession().query(" ");
                if (!answer.equals("I")) {
                    throw new IOException("not ready: " + answer);
                }
            }
            return this;
        }

        /** Seconds since it was started. */
        double age() {
            return (System.nanoTime() - begun) * 1e-9;
        }

        InetSocketAddress front() {
            return process.address();
        }

        /** One of its counters, such as {@code queries served}. */
        static long count(Client c, String what) throws IOException {
            String answer = c.query("SHOW COUNTERS");
            int at = answer.indexOf("D(" + what + " ");
            if (at < 0) {
                throw new IOException("no counter " + what + ": " + answer);
            }
            int from = at + what.length() + 3;
            return Long.parseLong(answer.substring(from, answer.indexOf(')', from)));
        }

        long count(String what) throws IOException {
            try (Client c = new Client(front())) {
                return count(c.startSession(), what);
            }
        }

        @Override
        public void close() {
            process.close();
            try { // what the JDK's tools leave of a process that was killed
                Files.deleteIfExists(
                        Path.of(System.getProperty("java.io.tmpdir"), ".java_pid" + process.pid()));
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        }
    }

    /** A figure over repeats, in so many counts of its unit: the middle one and the largest. */
    void add(String play, int size, String figure, String unit, String why, double... values) {
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        double median = sorted[sorted.length / 2];
        double worst = sorted[sorted.length - 1];
        if (!Double.isFinite(median) || !Double.isFinite(worst)) { // such as a share of nothing
            results.addInvalid(
                    play, size, figure, unit, 0, 0, values.length, why + " no figure came");
        } else if (why.isEmpty()) {
            results.add(play, size, figure, unit, median, worst, values.length);
        } else {
            results.addInvalid(play, size, figure, unit, median, worst, values.length, why);
        }
        System.out.printf(
                "%-22s %5d  %-32s %14.4f %14.4f %-6s %s%n",
                play, size, figure, median, worst, unit, why);
    }

    private void end() {
        synchronized (all) {
            all.forEach(RunningDispatcher::close);
        }
    }

    @Override
    public void close() throws IOException {
        end();
        farm.close();
        try {
            Runtime.getRuntime().removeShutdownHook(atEnd);
        } catch (IllegalStateException e) {
            return; // the JVM is ending, and runs it
        }
    }
}
