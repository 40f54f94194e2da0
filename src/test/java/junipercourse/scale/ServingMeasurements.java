package junipercourse.scale;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import junipercourse.SocketTestSupport;
import junipercourse.SocketTestSupport.Client;
import junipercourse.scale.ProcessMetrics.CpuTime;
import junipercourse.scale.ServingHarness.DispatcherSpec;
import junipercourse.scale.ServingHarness.RunningDispatcher;

/** What is measured of one dispatcher, a method a part; sizes are the arguments. */
final class ServingMeasurements {
    private static final double US = 1e6;
    private static final int GROUPS = 64; // of tables that are read in turn
    private static final double WARM_RATE = 400;
    private static final double QUERIES_MOST = 3000; // at a rate: enough for a hundredth
    private static final double PATIENCE_S = 20;
    private static final double REFUSED_S = 6; // for those that find no place to be told so
    private static final double IDLE_MOST_S = 8; // README: a connection idle for longer is closed
    private static final double MARGIN_S = 0.7;
    private static final double REST_PART =
            0.3; // of the time to warm up: what is spent without queries
    private static final int LARGER_HEAP_MB = 256;
    private final ServingHarness bench;

    ServingMeasurements(ServingHarness bench) {
        this.bench = bench;
    }

    /** Time and processor time until ready, then memory at rest, with so many engines known. */
    void start(int engines, int repeats) throws IOException, InterruptedException {
        double[][] all = new double[5][repeats];
        for (int i = 0; i < repeats; i++) {
            try (RunningDispatcher r = bench.start(DispatcherSpec.of(engines))) {
                r.front();
                all[0][i] = r.age();
                r.ready();
                all[1][i] = r.age();
                all[2][i] = r.figures.cpu().all();
                all[3][i] = r.figures.resident();
                all[4][i] = r.figures.heap();
            }
        }
        bench.add("start", engines, "time_to_listen", "s", "", all[0]);
        bench.add("start", engines, "time_to_ready", "s", "", all[1]);
        bench.add("start", engines, "cpu_to_ready", "s", "", all[2]);
        bench.add("start", engines, "resident", "B", "", all[3]);
        bench.add("start", engines, "heap_collected", "B", "", all[4]);
    }

    /** Processor time for each query at rates, with so many engines listed. */
    void engines(int engines, double warmS, double seconds, double... rates) throws Exception {
        try (RunningDispatcher r = bench.start(DispatcherSpec.of(engines)).ready()) {
            new ConstantRateLoad(r.front(), WARM_RATE, warmS, GROUPS);
            CpuTime before = r.figures.cpu();
            double begun = r.age();
            SocketTestSupport.sleepMillis((long) (warmS * REST_PART * 1000));
            bench.add(
                    "rest",
                    engines,
                    "cpu",
                    "s/s",
                    "",
                    r.figures.cpu().since(before).all() / (r.age() - begun));
            for (double rate : rates) {
                perQuery(
                        "query-at-" + Math.round(rate),
                        engines,
                        r,
                        rate,
                        Math.min(seconds, QUERIES_MOST / rate),
                        GROUPS);
            }
            perQuery("query-fresh-groups", engines, r, rates[0], seconds / 2, 0);
            bench.add(
                    "query-at-" + Math.round(rates[0]),
                    engines,
                    "resident_after",
                    "B",
                    "",
                    r.figures.resident());
            bench.add(
                    "query-at-" + Math.round(rates[0]),
                    engines,
                    "heap_collected_after",
                    "B",
                    "",
                    r.figures.heap());
        }
    }

    /** The processor time of each query, in microseconds. */
    private double perQuery(
            String play, int size, RunningDispatcher r, double rate, double seconds, int groups)
            throws InterruptedException {
        CpuTime before = r.figures.cpu();
        ConstantRateLoad load = new ConstantRateLoad(r.front(), rate, seconds, groups);
        CpuTime spent = r.figures.cpu().since(before);
        String why = load.why(rate);
        if (why.isEmpty() && spent.loop() > 0.9 * load.seconds) {
            why = "the dispatcher's one thread was full";
        }
        double each = US / Math.max(1, load.served.get());
        bench.add(play, size, "cpu_per_query", "us", why, spent.all() * each);
        bench.add(play, size, "cpu_per_query_loop", "us", why, spent.loop() * each);
        bench.add(play, size, "cpu_per_query_compiler", "us", why, spent.compiler() * each);
        bench.add(play, size, "cpu_per_query_collector", "us", why, spent.collector() * each);
        bench.add(play, size, "cpu_per_query_kernel", "us", why, spent.kernel() * each);
        bench.add(
                play, size, "answer_time_median", "us", why, load.micros.getValueAtPercentile(50));
        bench.add(play, size, "answer_time_99", "us", why, load.micros.getValueAtPercentile(99));
        return spent.all() * each;
    }

    /** Idle connections with the platform's descriptors: how many it holds, and what those cost. */
    void idlePlatform(int clients, double seconds) throws Exception {
        try (RunningDispatcher r = bench.start(DispatcherSpec.of(10)).ready();
                IdleClients idle = new IdleClients(r.front())) {
            int opened = idle.open(clients, REFUSED_S);
            bench.add(
                    "idle-1024-descriptors",
                    clients,
                    "held_once_opened",
                    "connections",
                    "",
                    opened);
            bench.add(
                    "idle-1024-descriptors",
                    clients,
                    "answered_by_then",
                    "connections",
                    "",
                    idle.answered());
            bench.add(
                    "idle-1024-descriptors",
                    clients,
                    "refused_or_closed_early",
                    "connections",
                    "",
                    idle.refused());
            bench.add(
                    "idle-1024-descriptors",
                    clients,
                    "held_later",
                    "connections",
                    "",
                    idle.held(seconds));
        }
    }

    /**
     * Idle connections with as many descriptors as these need; a larger heap where the deployed is
     * short.
     */
    void idle(int clients, double seconds) throws Exception {
        String fault = idle("idle", clients, seconds, ServingHarness.DEPLOYED_HEAP_MB);
        if (!fault.isEmpty()) {
            idle("idle-heap-" + LARGER_HEAP_MB, clients, seconds, LARGER_HEAP_MB);
        }
    }

    private String idle(String play, int clients, double seconds, int heapMb) throws Exception {
        int sockets =
                4 * clients + 64; // past half of clients' half, connections are closed after 0.5 s
        try (RunningDispatcher r =
                        bench.start(DispatcherSpec.of(10).sockets(sockets).heap(heapMb)).ready();
                IdleClients idle = new IdleClients(r.front())) {
            double resident = r.figures.resident();
            CpuTime before = r.figures.cpu();
            double begun = r.age();
            int opened = idle.open(clients, PATIENCE_S);
            double took = r.age() - begun;
            double opening = r.figures.cpu().since(before).all();
            double rest = Math.min(seconds, IDLE_MOST_S - MARGIN_S - took);
            before = r.figures.cpu();
            int held = rest > 0 ? idle.held(rest) : opened;
            double resting = r.figures.cpu().since(before).all();
            double after = r.figures.resident();
            double heap = r.process.isAlive() ? r.figures.heap() : 0;
            String why =
                    held < clients || !r.process.isAlive()
                            ? held + " were held, " + idle.refused() + " refused or closed early"
                            : rest <= seconds / 2 ? "opening took " + took + " s" : "";
            bench.add(play, clients, "held", "connections", why, held);
            bench.add(play, clients, "open_time", "s", why, took);
            bench.add(play, clients, "open_cpu_per_connection", "us", why, opening * US / clients);
            bench.add(play, clients, "idle_cpu", "s/s", why, resting / Math.max(rest, 1e-3));
            bench.add(play, clients, "resident", "B", why, after);
            bench.add(
                    play,
                    clients,
                    "resident_per_connection",
                    "B",
                    why,
                    (after - resident) / clients);
            bench.add(play, clients, "heap_collected", "B", why, heap);
            return why;
        } catch (IOException | RuntimeException | AssertionError e) {
            String why = "not measured: " + e;
            bench.add(play, clients, "held", "connections", why, 0);
            return why;
        }
    }

    /** Memory, and the cost of asking for news, of so many queries that run at engines. */
    void hand(int queries, int engines, double seconds) throws Exception {
        bench.farm.hold(true);
        int before = bench.farm.posts.get();
        List<Client> clients = new ArrayList<>();
        try (RunningDispatcher r = bench.start(DispatcherSpec.of(engines)).ready()) {
            for (int i = 0; i < queries; i++) {
                Client c = new Client(r.front());
                clients.add(c);
                c.startSession().write(Client.queryMessage(ConstantRateLoad.query(GROUPS)));
            }
            SocketTestSupport.await(() -> bench.farm.posts.get() >= before + queries);
            CpuTime cpu = r.figures.cpu();
            double begun = r.age();
            SocketTestSupport.sleepMillis((long) (seconds * 1000));
            double spent = r.figures.cpu().since(cpu).all() / (r.age() - begun);
            double resident = r.figures.resident();
            double heap = r.figures.heap();
            long left =
                    r.count("queries taken")
                            - r.count("queries served")
                            - r.count("queries failed")
                            - r.count("queries refused");
            String why = left == queries ? "" : "only " + left + " were still in hand";
            bench.add("in-hand", queries, "resident", "B", why, resident);
            bench.add("in-hand", queries, "heap_collected", "B", why, heap);
            bench.add(
                    "in-hand",
                    queries,
                    "cpu_per_query_second",
                    "us/s",
                    why,
                    spent * US / Math.max(1, queries));
        } finally {
            bench.farm.hold(false);
            for (Client c : clients) {
                c.close();
            }
        }
    }

    /**
     * Connections for each query, at rates as sizes, and what an exchange costs with and without
     * one.
     */
    void handshake(int calls, double seconds, int... rates) throws Exception {
        EngineExchangeBenchmark exchanges = new EngineExchangeBenchmark(bench.farm);
        for (int rate : rates) {
            try (RunningDispatcher r = bench.start(DispatcherSpec.of(10)).ready()) {
                new ConstantRateLoad(r.front(), WARM_RATE, seconds / 2, GROUPS);
                long connected = r.count("engines connected");
                long served = r.count("queries served");
                double query = perQuery("handshake", rate, r, rate, seconds, GROUPS);
                double each =
                        (double) (r.count("engines connected") - connected)
                                / Math.max(1, r.count("queries served") - served);
                bench.add("handshake", rate, "connections_per_query", "connections", "", each);
                double bare = exchanges.measure(bench, rate, calls);
                bench.add("handshake", rate, "reckoned_share", "part", "", bare * each / query);
            }
        }
    }
}
