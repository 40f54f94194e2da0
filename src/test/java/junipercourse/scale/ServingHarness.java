package junipercourse.scale;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import junipercourse.Client;
import junipercourse.DispatcherProcess;
import junipercourse.SocketTestSupport;

/**
 * Starts one dispatcher after another in front of fake engines, for the measurements of {@link
 * ServingSlopes}. No process outlives the harness or this JVM, however the JVM ends.
 */
final class ServingHarness implements Closeable {
    static final int DEPLOYED_HEAP_MB = 64; // as in the deploy file
    static final int PLATFORM_SOCKETS = 1024;
    private static final int SPARE_DESCRIPTORS =
            64; // beyond the configured limit; the dispatcher must not need them

    /** Shell prefix that kills the process that replaces this shell once its parent has ended. */
    private static final String KILL_ON_PARENT_EXIT =
            "P=$PPID; (while kill -0 $$; do kill -0 $P || kill -9 $$; sleep 1;"
                    + " done >/dev/null 2>&1) & ";

    private static final String MEMBER_JSON =
            """
            {"id":"s-%08x","host_port":"%s:%d","locality":"east","flavor":"std","cell":0,
            "phase":"Ready","size":12.0,"up_since_ms":0}\
            """;
    private static final String KNOWN_ENDPOINTS_JSON =
            """
            "offset":1,"batch":[{"offset":1,"topology":{"complete":true,"members":[%s]}}]\
            """;

    final ResultWriter results;
    final EngineFarm farm = new EngineFarm();
    private final Path folder;
    private final boolean deployed;
    private final List<RunningDispatcher> dispatchers = new ArrayList<>();
    private final Thread shutdownHook = new Thread(this::closeAll);

    /**
     * Runs the packaged program with the deploy file's command line if {@code deployed}, else the
     * classes of the build.
     */
    ServingHarness(Path folder, ResultWriter results, boolean deployed) throws IOException {
        this.folder = folder;
        this.results = results;
        this.deployed = deployed;
        Runtime.getRuntime().addShutdownHook(shutdownHook);
    }

    /** Configuration of a dispatcher to start. */
    record DispatcherSpec(int engineCount, int sockets, int heapMb, String bus) {
        static DispatcherSpec of(int engines) {
            return new DispatcherSpec(engines, PLATFORM_SOCKETS, DEPLOYED_HEAP_MB, "");
        }

        DispatcherSpec sockets(int limit) {
            return new DispatcherSpec(engineCount, limit, heapMb, bus);
        }

        DispatcherSpec heap(int mb) {
            return new DispatcherSpec(engineCount, sockets, mb, bus);
        }

        DispatcherSpec bus(InetSocketAddress address) {
            return new DispatcherSpec(
                    engineCount,
                    sockets,
                    heapMb,
                    address.getAddress().getHostAddress() + ":" + address.getPort());
        }
    }

    /** Starts a dispatcher without waiting until it is ready. */
    RunningDispatcher start(DispatcherSpec spec) throws IOException {
        int number = dispatchers.size();
        Path config =
                Files.writeString(folder.resolve("config" + number + ".json"), createConfig(spec));
        int descriptors = spec.sockets + SPARE_DESCRIPTORS;
        String heapOption =
                spec.heapMb == DEPLOYED_HEAP_MB
                        ? "" // _JAVA_OPTIONS override the command line
                        : "export _JAVA_OPTIONS='-Xmx" + spec.heapMb + "m'; ";
        Path logs = Files.createDirectory(folder.resolve("run" + number));
        long startNanos = System.nanoTime();
        RunningDispatcher dispatcher =
                new RunningDispatcher(
                        deployed
                                ? DispatcherProcess.startDeployed(
                                        logs.resolve("log"),
                                        config,
                                        KILL_ON_PARENT_EXIT
                                                + heapOption
                                                + "ulimit -n "
                                                + descriptors
                                                + "; ")
                                : new DispatcherProcess(
                                        logs,
                                        descriptors,
                                        config,
                                        KILL_ON_PARENT_EXIT + heapOption),
                        startNanos);
        synchronized (dispatchers) {
            dispatchers.add(dispatcher);
        }
        return dispatcher;
    }

    private String createConfig(DispatcherSpec spec) throws IOException {
        String[] members = new String[spec.engineCount];
        for (int i = 0; i < members.length; i++) {
            InetSocketAddress address = farm.address(i + 1);
            members[i] =
                    MEMBER_JSON.formatted(
                            i + 1, address.getAddress().getHostAddress(), address.getPort());
        }
        String text =
                SocketTestSupport.CONFIG
                        .replace(
                                "\"offset\":0,\"batch\":[]",
                                KNOWN_ENDPOINTS_JSON.formatted(String.join(",", members)))
                        .replace("_per_s\":50.0", "_per_s\":5000.0")
                        .replace("\"sockets\":" + PLATFORM_SOCKETS, "\"sockets\":" + spec.sockets);
        return text.replace(
                "\"bus\":\"127.0.0.1:1\",",
                spec.bus.isEmpty() ? "" : "\"bus\":\"" + spec.bus + "\",");
    }

    /** A running dispatcher process. */
    static final class RunningDispatcher implements Closeable {
        final DispatcherProcess process;
        final ProcessMetrics metrics;
        private final long startNanos;

        RunningDispatcher(DispatcherProcess process, long startNanos) {
            this.process = process;
            this.metrics = new ProcessMetrics(process.pid());
            this.startNanos = startNanos;
        }

        /** Waits until the dispatcher listens and has answered an empty query. */
        RunningDispatcher awaitReady() throws IOException {
            try (Client client = new Client(process.address())) {
                String answer = client.startSession().query(" ");
                if (!answer.equals("I")) {
                    throw new IOException("not ready: " + answer);
                }
            }
            return this;
        }

        /** Seconds since the process was started. */
        double ageSeconds() {
            return (System.nanoTime() - startNanos) * 1e-9;
        }

        InetSocketAddress address() {
            return process.address();
        }

        /** Reads a counter, such as {@code queries served}. */
        static long readCounter(Client client, String name) throws IOException {
            String answer = client.query("SHOW COUNTERS");
            int lineIndex = answer.indexOf("D(" + name + " ");
            if (lineIndex < 0) {
                throw new IOException("no counter " + name + ": " + answer);
            }
            int valueIndex = lineIndex + name.length() + 3;
            return Long.parseLong(answer.substring(valueIndex, answer.indexOf(')', valueIndex)));
        }

        long readCounter(String name) throws IOException {
            try (Client client = new Client(address())) {
                return readCounter(client.startSession(), name);
            }
        }

        @Override
        public void close() {
            process.close();
            try { // left behind by the JDK's tools when a process is killed
                Files.deleteIfExists(
                        Path.of(System.getProperty("java.io.tmpdir"), ".java_pid" + process.pid()));
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        }
    }

    /** Writes a metric over repeats: the median and the maximum of its values. */
    void addMetric(
            String scenario,
            int size,
            String metric,
            String unit,
            String invalidReason,
            double... values) {
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        double median = sorted[sorted.length / 2];
        double worst = sorted[sorted.length - 1];
        if (!Double.isFinite(median) || !Double.isFinite(worst)) { // such as a division by zero
            results.addInvalid(
                    scenario,
                    size,
                    metric,
                    unit,
                    0,
                    0,
                    values.length,
                    invalidReason + " no figure came");
        } else if (invalidReason.isEmpty()) {
            results.add(scenario, size, metric, unit, median, worst, values.length);
        } else {
            results.addInvalid(
                    scenario, size, metric, unit, median, worst, values.length, invalidReason);
        }
        System.out.printf(
                "%-22s %5d  %-32s %14.4f %14.4f %-6s %s%n",
                scenario, size, metric, median, worst, unit, invalidReason);
    }

    private void closeAll() {
        synchronized (dispatchers) {
            dispatchers.forEach(RunningDispatcher::close);
        }
    }

    @Override
    public void close() throws IOException {
        closeAll();
        farm.close();
        try {
            Runtime.getRuntime().removeShutdownHook(shutdownHook);
        } catch (IllegalStateException e) {
            return; // the JVM is shutting down and runs the hook
        }
    }
}
