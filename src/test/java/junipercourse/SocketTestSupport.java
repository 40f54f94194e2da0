package junipercourse;

import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;
import junipercourse.config.Config;
import junipercourse.core.Backend;
import junipercourse.core.Backend.AttemptListener;
import junipercourse.core.Backend.EngineEndpoint;
import junipercourse.core.Counters;
import junipercourse.core.Gateway;
import junipercourse.core.Query;
import junipercourse.core.StatusTables;
import junipercourse.decision.api.DecisionSettings;
import junipercourse.decision.api.EndpointUpdateKind;
import junipercourse.decision.api.EngineId;
import junipercourse.decision.api.EngineListing;
import junipercourse.decision.api.EngineStage;
import junipercourse.engine.EngineClient;
import junipercourse.net.DescriptorBudget;
import junipercourse.net.EventLoop;
import junipercourse.pg.PgServer;

/** A dispatcher on real sockets of this machine, with clients and scripted engines around it. */
public final class SocketTestSupport implements Closeable {
    public static final String CONFIG =
            """
            {"name":"n1","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964","bus":"127.0.0.1:1",
             "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
             "known":{"offset":0,"batch":[]},
             "settings":{"balancers":1,"dcs":["east"],"kinds":["std"],"telemetry":{"via":"inline",
               "fields":["q","busy"]},"tenants":[{"name":"acme","portion":1.0,"quota_per_s":50.0}],
               "limits":{"cancel":true,"try_limit":6,"retry_after":true,"max_retry_after_s":0.5,
                 "dial_timeout_s":0.25,"conn_idle_s":30.0},
               "guarantees":{"order_settle_s":0.5,"drain_grace_s":1.0},
               "family_info":{"class_threads":[1,2],"size_cores":[12],"says_cost":true},
               "grades":[{"name":"check","effect":"repeatable","goal_time_s":1.5,"deadline_s":7.5},
                 {"name":"load","effect":"by_key","key_scope":"all","window_s":12.0,"serial_by_key":true,
                  "goal_time_s":3.0,"deadline_s":20.0}]}}\
            """;
    public static final String OK =
            "HTTP/1.1 200 OK\r\nX-Fetches: 1\r\nContent-Length: 6\r\n\r\na\tb\tc\n";
    public static final String RUNNING = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";
    public static final String CANCELLED = "HTTP/1.1 204 No Content\r\n\r\n";
    public static final String AT_CAPACITY =
            "HTTP/1.1 503 Full\r\nX-Unrun: 1\r\nContent-Length: 0\r\n\r\n";
    public static final String FAILED = "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n";

    /** Result of a script: the engine closes the connection without an answer. */
    public static final String CLOSE_CONNECTION = "break";

    /** Result of a script: the engine does not answer. */
    public static final String NO_RESPONSE = "silence";

    public static final int MAX_CLIENTS = 100;
    private static final long AWAIT_TIMEOUT_MILLIS = 5000;

    public final Counters counters = new Counters();
    private final List<Closeable> resources = new ArrayList<>();
    public final DescriptorBudget descriptorBudget;
    private final EventLoop loop;
    private final Gateway gateway;
    private final PgServer pgServer;
    private volatile LoopPause pause;

    public SocketTestSupport() throws IOException {
        this(512);
    }

    /** Starts a dispatcher with a limit of connections to engines. */
    public SocketTestSupport(int engineConnections) throws IOException {
        this(CONFIG, engineConnections);
    }

    /** Starts a dispatcher with another configuration. */
    public SocketTestSupport(String configJson, int engineConnections) throws IOException {
        Config config = Config.parse(configJson, Map.of());
        loop =
                new EventLoop(
                        () -> counters.increment(Counters.Count.INTERNAL_ERRORS),
                        error -> counters.increment(Counters.Count.INTERNAL_ERRORS));
        descriptorBudget = new DescriptorBudget(config.resources().sockets(), 28);
        EngineClient engines =
                new EngineClient(
                        loop,
                        config.settings(),
                        descriptorBudget.allocateShare("engines", engineConnections, 4),
                        counters);
        StatusTables statusTables = new StatusTables();
        counters.addTable(statusTables);
        gateway =
                new Gateway(loop, config.settings(), 7, 50, new PausingBackend(engines), counters);
        pgServer =
                new PgServer(
                        loop,
                        config.settings(),
                        gateway,
                        descriptorBudget.allocateShare("clients", MAX_CLIENTS, 0),
                        1 << 20,
                        counters,
                        statusTables);
        pgServer.listen(config.listenAddress());
        loop.execute(loop::startStallDetection);
    }

    public static DecisionSettings settings() {
        return Config.parse(CONFIG, Map.of()).settings();
    }

    /** A query of a class whose id and keys derive from a number. */
    public static String query(String queryClass, int number, long timeoutMillis) {
        return "/* kind=%s,req=%016x,timeout=%d,owner=acme,opkey=k%d,subject=00000000000000aa */ SELECT 1"
                .formatted(queryClass, number, timeoutMillis, number);
    }

    public static void await(BooleanSupplier condition) {
        await(condition, AWAIT_TIMEOUT_MILLIS);
    }

    /**
     * Waits for a condition with a timeout of its own, such as a process needs on a busy machine.
     */
    public static void await(BooleanSupplier condition, long timeoutMillis) {
        long deadlineNanos = System.nanoTime() + timeoutMillis * 1_000_000;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadlineNanos) {
                throw new AssertionError("condition not met within " + timeoutMillis + " ms");
            }
            sleepMillis(2);
        }
    }

    public static void sleepMillis(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    /** Starts an engine and adds it to the endpoint list. */
    public StubEngine startEngine(int id, Function<String, String> script) throws IOException {
        StubEngine engine = new StubEngine(script);
        resources.add(engine);
        updateEndpointAndWait(id, engine, EngineStage.READY);
        return engine;
    }

    /** Updates one engine of the endpoint list and waits until the update has been applied. */
    public void updateEndpointAndWait(int id, StubEngine engine, EngineStage stage) {
        updateEndpointAndWait(id, engine.address(), stage);
    }

    /** Updates the endpoint list with any address, whatever listens there. */
    public void updateEndpointAndWait(int id, InetSocketAddress address, EngineStage stage) {
        CountDownLatch done = new CountDownLatch(1);
        EngineListing listing = new EngineListing(new EngineId(id), 0, 0, 0, stage, 1, 0);
        loop.execute(
                () -> {
                    gateway.updateEndpoints(
                            EndpointUpdateKind.DELTA,
                            List.of(new EngineEndpoint(listing, address)));
                    loop.execute(done::countDown);
                });
        await(() -> done.getCount() == 0);
    }

    /**
     * Begins a graceful shutdown, as after SIGTERM; {@code onIdle} runs once all accepted queries
     * have been answered.
     */
    public void shutDownGracefully(Runnable onIdle) {
        CountDownLatch begun = new CountDownLatch(1);
        loop.execute(
                () -> {
                    pgServer.beginShutdown(() -> gateway.runWhenIdle(onIdle));
                    begun.countDown();
                });
        await(() -> begun.getCount() == 0);
    }

    /** Blocks the event loop, as a long task does, until the returned task is run. */
    public Runnable blockLoop() {
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        loop.execute(
                () -> {
                    blocked.countDown();
                    await(() -> release.getCount() == 0);
                });
        await(() -> blocked.getCount() == 0);
        return release::countDown;
    }

    /**
     * Runs a task on the event loop right after the tasks queued there, before sockets are read.
     */
    public void executeOnLoop(Consumer<PgServer> task) {
        loop.execute(() -> task.accept(pgServer));
    }

    public Client connectClient() throws IOException {
        Client client = new Client(pgServer.address());
        resources.add(client);
        return client;
    }

    @Override
    public void close() throws IOException {
        for (Closeable resource : resources) {
            resource.close();
        }
        loop.stop();
    }

    /** A task that may end with an exception of its socket. */
    public interface IoTask {
        void run() throws IOException;
    }

    public static void startDaemon(IoTask task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (IOException | UncheckedIOException e) {
                                return; // the socket was closed
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * Pauses the event loop right after the connects of the given number of attempts from now on
     * have begun, and before it looks for connections that were established.
     */
    public LoopPause pauseAfterDials(int attempts) {
        pause = new LoopPause(attempts);
        return pause;
    }

    /** Pauses the event loop now: events that arrive meanwhile are found in one pass. */
    public LoopPause pauseLoop() {
        LoopPause loopPause = new LoopPause(1);
        loop.execute(loopPause::reachPause);
        return loopPause.awaitPaused();
    }

    /** A point at which the event loop pauses until {@link #resume}. */
    public static final class LoopPause {
        private final CountDownLatch paused = new CountDownLatch(1);
        private final CountDownLatch resumed = new CountDownLatch(1);
        private int remainingAttempts;

        private LoopPause(int afterAttempts) {
            remainingAttempts = afterAttempts;
        }

        private void reachPause() {
            if (--remainingAttempts == 0) {
                paused.countDown();
                await(() -> resumed.getCount() == 0, 4 * AWAIT_TIMEOUT_MILLIS);
            }
        }

        /** Waits until the event loop has paused. */
        public LoopPause awaitPaused() {
            await(() -> paused.getCount() == 0);
            return this;
        }

        public void resume() {
            resumed.countDown();
        }
    }

    /** The engines, with a point at which the event loop can be paused. */
    private final class PausingBackend implements Backend {
        private final Backend engines;

        PausingBackend(Backend engines) {
            this.engines = engines;
        }

        @Override
        public void updateEndpoints(EndpointUpdateKind kind, List<EngineEndpoint> members) {
            engines.updateEndpoints(kind, members);
        }

        @Override
        public Attempt startAttempt(
                EngineId engine, Query query, double giveUpAt, AttemptListener listener) {
            Attempt attempt = engines.startAttempt(engine, query, giveUpAt, listener);
            LoopPause currentPause = pause;
            if (currentPause != null) {
                loop.execute(currentPause::reachPause); // after the task that begins the connect
            }
            return attempt;
        }
    }

    /** Updates engines of the endpoint list, all with the given start time, and returns at once. */
    public void updateEndpoints(
            EndpointUpdateKind kind,
            double startedAtUnixSeconds,
            EngineStage stage,
            Map<Integer, StubEngine> engines) {
        List<EngineEndpoint> members =
                engines.entrySet().stream()
                        .map(
                                idAndEngine ->
                                        new EngineEndpoint(
                                                new EngineListing(
                                                        new EngineId(idAndEngine.getKey()),
                                                        0,
                                                        0,
                                                        0,
                                                        stage,
                                                        1,
                                                        startedAtUnixSeconds),
                                                idAndEngine.getValue().address()))
                        .toList();
        loop.execute(() -> gateway.updateEndpoints(kind, members));
    }
}
