package junipercourse.scale;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import junipercourse.Client;
import junipercourse.SocketTestSupport;
import junipercourse.scale.ProcessMetrics.CpuTime;
import junipercourse.scale.ServingHarness.DispatcherSpec;
import junipercourse.scale.ServingHarness.RunningDispatcher;

/** The measurements of one dispatcher, one method for each; the size is an argument. */
final class ServingMeasurements {
    private static final double MICROS_PER_SECOND = 1e6;
    private static final int TABLE_GROUPS = 64; // of tables that queries read round-robin
    private static final double WARM_UP_RATE = 400;
    private static final double MAX_QUERIES = 3000; // for each rate; enough for a 99th percentile
    private static final double OPEN_TIMEOUT_SECONDS = 20;
    private static final double REFUSAL_TIMEOUT_SECONDS =
            6; // time in which connections beyond the limit are refused
    private static final double IDLE_TIMEOUT_SECONDS =
            8; // from the README: the dispatcher closes a connection that is idle for longer
    private static final double MARGIN_SECONDS = 0.7;
    private static final double REST_SHARE =
            0.3; // share of the warm-up time in which the idle CPU time is measured
    private static final int LARGER_HEAP_MB = 256;
    private final ServingHarness harness;

    ServingMeasurements(ServingHarness harness) {
        this.harness = harness;
    }

    /**
     * Measures the time and CPU time until ready, then the idle memory, with a number of known
     * engines.
     */
    void measureStart(int engines, int repeats) throws IOException, InterruptedException {
        double[][] values = new double[5][repeats];
        for (int i = 0; i < repeats; i++) {
            try (RunningDispatcher dispatcher = harness.start(DispatcherSpec.of(engines))) {
                dispatcher.address();
                values[0][i] = dispatcher.ageSeconds();
                dispatcher.awaitReady();
                values[1][i] = dispatcher.ageSeconds();
                values[2][i] = dispatcher.metrics.readCpuTime().total();
                values[3][i] = dispatcher.metrics.readResidentBytes();
                values[4][i] = dispatcher.metrics.readHeapBytes();
            }
        }
        harness.addMetric("start", engines, "time_to_listen", "s", "", values[0]);
        harness.addMetric("start", engines, "time_to_ready", "s", "", values[1]);
        harness.addMetric("start", engines, "cpu_to_ready", "s", "", values[2]);
        harness.addMetric("start", engines, "resident", "B", "", values[3]);
        harness.addMetric("start", engines, "heap_collected", "B", "", values[4]);
    }

    /** Measures the CPU time per query at each rate, with a number of listed engines. */
    void measureQueries(int engines, double warmUpSeconds, double seconds, double... rates)
            throws Exception {
        try (RunningDispatcher dispatcher =
                harness.start(DispatcherSpec.of(engines)).awaitReady()) {
            new ConstantRateLoad(dispatcher.address(), WARM_UP_RATE, warmUpSeconds, TABLE_GROUPS);
            CpuTime cpuBefore = dispatcher.metrics.readCpuTime();
            double startSeconds = dispatcher.ageSeconds();
            SocketTestSupport.sleepMillis((long) (warmUpSeconds * REST_SHARE * 1000));
            harness.addMetric(
                    "rest",
                    engines,
                    "cpu",
                    "s/s",
                    "",
                    dispatcher.metrics.readCpuTime().since(cpuBefore).total()
                            / (dispatcher.ageSeconds() - startSeconds));
            for (double rate : rates) {
                measurePerQuery(
                        "query-at-" + Math.round(rate),
                        engines,
                        dispatcher,
                        rate,
                        Math.min(seconds, MAX_QUERIES / rate),
                        TABLE_GROUPS);
            }
            measurePerQuery("query-fresh-groups", engines, dispatcher, rates[0], seconds / 2, 0);
            harness.addMetric(
                    "query-at-" + Math.round(rates[0]),
                    engines,
                    "resident_after",
                    "B",
                    "",
                    dispatcher.metrics.readResidentBytes());
            harness.addMetric(
                    "query-at-" + Math.round(rates[0]),
                    engines,
                    "heap_collected_after",
                    "B",
                    "",
                    dispatcher.metrics.readHeapBytes());
        }
    }

    /**
     * Runs a constant load and writes its metrics; returns the CPU time per query in microseconds.
     */
    private double measurePerQuery(
            String scenario,
            int size,
            RunningDispatcher dispatcher,
            double rate,
            double seconds,
            int groups)
            throws InterruptedException {
        CpuTime cpuBefore = dispatcher.metrics.readCpuTime();
        ConstantRateLoad load = new ConstantRateLoad(dispatcher.address(), rate, seconds, groups);
        CpuTime cpuSpent = dispatcher.metrics.readCpuTime().since(cpuBefore);
        String invalidReason = load.invalidReason(rate);
        if (invalidReason.isEmpty() && cpuSpent.loop() > 0.9 * load.seconds) {
            invalidReason = "the dispatcher's one thread was full";
        }
        double microsPerQuery = MICROS_PER_SECOND / Math.max(1, load.served.get());
        harness.addMetric(
                scenario,
                size,
                "cpu_per_query",
                "us",
                invalidReason,
                cpuSpent.total() * microsPerQuery);
        harness.addMetric(
                scenario,
                size,
                "cpu_per_query_loop",
                "us",
                invalidReason,
                cpuSpent.loop() * microsPerQuery);
        harness.addMetric(
                scenario,
                size,
                "cpu_per_query_compiler",
                "us",
                invalidReason,
                cpuSpent.compiler() * microsPerQuery);
        harness.addMetric(
                scenario,
                size,
                "cpu_per_query_collector",
                "us",
                invalidReason,
                cpuSpent.collector() * microsPerQuery);
        harness.addMetric(
                scenario,
                size,
                "cpu_per_query_kernel",
                "us",
                invalidReason,
                cpuSpent.kernel() * microsPerQuery);
        harness.addMetric(
                scenario,
                size,
                "answer_time_median",
                "us",
                invalidReason,
                load.latencyMicros.getValueAtPercentile(50));
        harness.addMetric(
                scenario,
                size,
                "answer_time_99",
                "us",
                invalidReason,
                load.latencyMicros.getValueAtPercentile(99));
        return cpuSpent.total() * microsPerQuery;
    }

    /** Measures how many idle connections are kept open with the platform's descriptor limit. */
    void measureIdleWithPlatformLimit(int clients, double seconds) throws Exception {
        try (RunningDispatcher dispatcher = harness.start(DispatcherSpec.of(10)).awaitReady();
                IdleClients idleClients = new IdleClients(dispatcher.address())) {
            int opened = idleClients.open(clients, REFUSAL_TIMEOUT_SECONDS);
            harness.addMetric(
                    "idle-1024-descriptors",
                    clients,
                    "held_once_opened",
                    "connections",
                    "",
                    opened);
            harness.addMetric(
                    "idle-1024-descriptors",
                    clients,
                    "answered_by_then",
                    "connections",
                    "",
                    idleClients.answeredCount());
            harness.addMetric(
                    "idle-1024-descriptors",
                    clients,
                    "refused_or_closed_early",
                    "connections",
                    "",
                    idleClients.refusedCount());
            harness.addMetric(
                    "idle-1024-descriptors",
                    clients,
                    "held_later",
                    "connections",
                    "",
                    idleClients.countHeldAfter(seconds));
        }
    }

    /**
     * Measures idle connections with as many descriptors as they need, and again with a larger heap
     * if the deployed heap does not suffice.
     */
    void measureIdle(int clients, double seconds) throws Exception {
        String invalidReason =
                measureIdle("idle", clients, seconds, ServingHarness.DEPLOYED_HEAP_MB);
        if (!invalidReason.isEmpty()) {
            measureIdle("idle-heap-" + LARGER_HEAP_MB, clients, seconds, LARGER_HEAP_MB);
        }
    }

    private String measureIdle(String scenario, int clients, double seconds, int heapMb)
            throws Exception {
        int sockets =
                4 * clients
                        + 64; // beyond half of the clients' half, idle connections are closed after
        // 0.5 s
        try (RunningDispatcher dispatcher =
                        harness.start(DispatcherSpec.of(10).sockets(sockets).heap(heapMb))
                                .awaitReady();
                IdleClients idleClients = new IdleClients(dispatcher.address())) {
            double residentBefore = dispatcher.metrics.readResidentBytes();
            CpuTime cpuBefore = dispatcher.metrics.readCpuTime();
            double startSeconds = dispatcher.ageSeconds();
            int opened = idleClients.open(clients, OPEN_TIMEOUT_SECONDS);
            double openSeconds = dispatcher.ageSeconds() - startSeconds;
            double openingCpuSeconds = dispatcher.metrics.readCpuTime().since(cpuBefore).total();
            double restSeconds =
                    Math.min(seconds, IDLE_TIMEOUT_SECONDS - MARGIN_SECONDS - openSeconds);
            cpuBefore = dispatcher.metrics.readCpuTime();
            int held = restSeconds > 0 ? idleClients.countHeldAfter(restSeconds) : opened;
            double restCpuSeconds = dispatcher.metrics.readCpuTime().since(cpuBefore).total();
            double residentAfter = dispatcher.metrics.readResidentBytes();
            double heap = dispatcher.process.isAlive() ? dispatcher.metrics.readHeapBytes() : 0;
            String invalidReason =
                    held < clients || !dispatcher.process.isAlive()
                            ? held
                                    + " were held, "
                                    + idleClients.refusedCount()
                                    + " refused or closed early"
                            : restSeconds <= seconds / 2
                                    ? "opening took " + openSeconds + " s"
                                    : "";
            harness.addMetric(scenario, clients, "held", "connections", invalidReason, held);
            harness.addMetric(scenario, clients, "open_time", "s", invalidReason, openSeconds);
            harness.addMetric(
                    scenario,
                    clients,
                    "open_cpu_per_connection",
                    "us",
                    invalidReason,
                    openingCpuSeconds * MICROS_PER_SECOND / clients);
            harness.addMetric(
                    scenario,
                    clients,
                    "idle_cpu",
                    "s/s",
                    invalidReason,
                    restCpuSeconds / Math.max(restSeconds, 1e-3));
            harness.addMetric(scenario, clients, "resident", "B", invalidReason, residentAfter);
            harness.addMetric(
                    scenario,
                    clients,
                    "resident_per_connection",
                    "B",
                    invalidReason,
                    (residentAfter - residentBefore) / clients);
            harness.addMetric(scenario, clients, "heap_collected", "B", invalidReason, heap);
            return invalidReason;
        } catch (IOException | RuntimeException | AssertionError e) {
            String invalidReason = "not measured: " + e;
            harness.addMetric(scenario, clients, "held", "connections", invalidReason, 0);
            return invalidReason;
        }
    }

    /** Measures the memory and the polling cost of a number of queries that run at engines. */
    void measureRunningQueries(int queries, int engines, double seconds) throws Exception {
        harness.farm.setHoldQueries(true);
        int postsBefore = harness.farm.postCount.get();
        List<Client> clients = new ArrayList<>();
        try (RunningDispatcher dispatcher =
                harness.start(DispatcherSpec.of(engines)).awaitReady()) {
            for (int i = 0; i < queries; i++) {
                Client client = new Client(dispatcher.address());
                clients.add(client);
                client.startSession()
                        .write(Client.queryMessage(ConstantRateLoad.nextQuery(TABLE_GROUPS)));
            }
            SocketTestSupport.await(() -> harness.farm.postCount.get() >= postsBefore + queries);
            CpuTime cpuBefore = dispatcher.metrics.readCpuTime();
            double startSeconds = dispatcher.ageSeconds();
            SocketTestSupport.sleepMillis((long) (seconds * 1000));
            double cpuShare =
                    dispatcher.metrics.readCpuTime().since(cpuBefore).total()
                            / (dispatcher.ageSeconds() - startSeconds);
            double resident = dispatcher.metrics.readResidentBytes();
            double heap = dispatcher.metrics.readHeapBytes();
            long stillRunning =
                    dispatcher.readCounter("queries taken")
                            - dispatcher.readCounter("queries served")
                            - dispatcher.readCounter("queries failed")
                            - dispatcher.readCounter("queries refused");
            String invalidReason =
                    stillRunning == queries ? "" : "only " + stillRunning + " were still in hand";
            harness.addMetric("in-hand", queries, "resident", "B", invalidReason, resident);
            harness.addMetric("in-hand", queries, "heap_collected", "B", invalidReason, heap);
            harness.addMetric(
                    "in-hand",
                    queries,
                    "cpu_per_query_second",
                    "us/s",
                    invalidReason,
                    cpuShare * MICROS_PER_SECOND / Math.max(1, queries));
        } finally {
            harness.farm.setHoldQueries(false);
            for (Client client : clients) {
                client.close();
            }
        }
    }

    /**
     * Measures connections per query at each rate (used as the size), and the cost of an engine
     * call with and without a new connection.
     */
    void measureHandshake(int calls, double seconds, int... rates) throws Exception {
        EngineExchangeBenchmark exchanges = new EngineExchangeBenchmark(harness.farm);
        for (int rate : rates) {
            try (RunningDispatcher dispatcher = harness.start(DispatcherSpec.of(10)).awaitReady()) {
                new ConstantRateLoad(dispatcher.address(), WARM_UP_RATE, seconds / 2, TABLE_GROUPS);
                long connectedBefore = dispatcher.readCounter("engines connected");
                long servedBefore = dispatcher.readCounter("queries served");
                double queryMicros =
                        measurePerQuery("handshake", rate, dispatcher, rate, seconds, TABLE_GROUPS);
                double connectionsPerQuery =
                        (double) (dispatcher.readCounter("engines connected") - connectedBefore)
                                / Math.max(
                                        1, dispatcher.readCounter("queries served") - servedBefore);
                harness.addMetric(
                        "handshake",
                        rate,
                        "connections_per_query",
                        "connections",
                        "",
                        connectionsPerQuery);
                double connectMicros = exchanges.measure(harness, rate, calls);
                harness.addMetric(
                        "handshake",
                        rate,
                        "reckoned_share",
                        "part",
                        "",
                        connectMicros * connectionsPerQuery / queryMicros);
            }
        }
    }
}
