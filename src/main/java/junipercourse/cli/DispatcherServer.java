package junipercourse.cli;

import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.channels.ServerSocketChannel;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import junipercourse.config.Config;
import junipercourse.config.ConfigException;
import junipercourse.core.Counters;
import junipercourse.core.Counters.Count;
import junipercourse.core.Gateway;
import junipercourse.core.OptionalComponent;
import junipercourse.core.StatusTables;
import junipercourse.decision.api.EngineKind;
import junipercourse.discovery.EndpointWatcher;
import junipercourse.engine.EngineClient;
import junipercourse.log.BoundedConsoleWriter;
import junipercourse.net.DescriptorBudget;
import junipercourse.net.EventLoop;
import junipercourse.net.InheritedSocket;
import junipercourse.pg.PgServer;
import org.tinylog.Logger;

/** One dispatcher, put together from its parts, from its start to its end. */
final class DispatcherServer {
    /**
     * For a predecessor at our address to end; clients come 30 s after the start at the latest
     * (DEPLOY).
     */
    private static final double LISTEN_PATIENCE_S = 25;

    private static final double LISTEN_AGAIN_S = 0.1;

    /**
     * Descriptors of the JVM itself, the bus and connections on their way out: about 16 were
     * counted.
     */
    private static final int OWN_SOCKETS = 28;

    /**
     * Of those that come with a second address: its selectors, its listening socket, the folder's.
     */
    private static final int STAFF_SOCKETS = 10;

    /** Of all descriptors: queries in hand, most of the third that clients may open. */
    private static final double TAKEN_PART = 0.85 / 3;

    /** Of all memory: what clients may have sent of unfinished messages. */
    private static final int INPUT_PART = 32;

    /** Exit code after an error of the JVM. */
    private static final int DEAD = 3;

    private static final int MEGABYTE = 1 << 20;

    private final Config config;
    private final EventLoop loop;
    private final DescriptorBudget descriptors;
    private final Counters counters = new Counters();
    private final int mostTaken;
    private final Gateway gateway;
    private final PgServer front;
    private final EndpointWatcher roster;
    private final HandoverCoordinator overlap; // null where no socket is handed down
    private final OptionalComponent part; // null in most installations
    private final AdminService staff; // null without a second address: then nothing of it is loaded
    private final GracefulShutdown ending;
    private Thread finish; // null until the end is to be in good order

    DispatcherServer(Config config) throws IOException {
        this(config, null);
    }

    /** With a part that only some installations have, or null. */
    DispatcherServer(Config config, OptionalComponent part) throws IOException {
        this.config = config;
        this.part = part;
        loop =
                new EventLoop(
                        () -> counters.increment(Count.INTERNAL_ERRORS), DispatcherServer::die);
        boolean administered = config.adminAddress() != null;
        descriptors =
                new DescriptorBudget(
                        config.resources().sockets(),
                        OWN_SOCKETS
                                + (administered
                                        ? STAFF_SOCKETS + AdminService.connections(config)
                                        : 0));
        DescriptorAllocation shares =
                DescriptorAllocation.of(descriptors.limit(), descriptors.unallocated());
        DescriptorBudget.Share engineShare =
                descriptors.allocateShare("engines", shares.engines(), shares.closing());
        DescriptorBudget.Share clientShare =
                descriptors.allocateShare("clients", shares.clients(), 0);
        EngineClient engines = new EngineClient(loop, config.settings(), engineShare, counters);
        mostTaken =
                (int)
                        (config.resources().sockets()
                                * (config.listenFd() == null
                                        ? TAKEN_PART
                                        : HandoverCoordinator.ALONE_PART));
        gateway = new Gateway(loop, config.settings(), config.seed(), mostTaken, engines, counters);
        StatusTables shows = ProcessStatusTables.of(loop, counters, descriptors);
        if (part != null) {
            part.addTables(shows);
        }
        front =
                new PgServer(
                        loop,
                        config.settings(),
                        gateway,
                        clientShare,
                        (long) config.resources().memoryMb() * MEGABYTE / INPUT_PART,
                        config.seed(),
                        counters,
                        shows);
        roster =
                new EndpointWatcher(
                        loop,
                        config.busAddress(),
                        config.initialEvents(),
                        config.zones(),
                        config.settings().engineKinds().stream().map(EngineKind::name).toList(),
                        gateway::updateEndpoints,
                        counters);
        staff =
                administered
                        ? new AdminService(
                                loop, gateway, config, HandoverCoordinator.folder(config, "out"))
                        : null;
        overlap =
                config.listenFd() == null
                        ? null
                        : new HandoverCoordinator(
                                loop,
                                descriptors,
                                gateway,
                                front,
                                (int) (config.resources().sockets() * TAKEN_PART),
                                HandoverCoordinator.folder(config, "processes"));
        ending = new GracefulShutdown(loop, gateway, front, config.settings(), mostTaken);
        loop.execute(roster::start); // before any reload, which goes on from there
    }

    /**
     * Returns once clients can connect. A port in use is waited for, {@value #LISTEN_PATIENCE_S} s
     * at most.
     *
     * @throws IOException if the address cannot be listened on; it is named, and how long it was
     *     waited for
     */
    void start() throws IOException {
        CompletableFuture<Void> started = new CompletableFuture<>();
        loop.execute(() -> listen(started, loop.now()));
        try {
            started.get();
        } catch (ExecutionException e) {
            if (mayStop()) {
                stop();
            }
            if (e.getCause() instanceof ConfigException fault) {
                throw fault;
            }
            throw new IOException(e.getCause().getMessage(), e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while starting", e);
        }
        if (part != null) {
            part.start();
        }
        Logger.info("{} listens on {}", config.name(), front.address());
    }

    /** Where clients can connect, once started. */
    InetSocketAddress address() {
        return front.address();
    }

    private void listen(CompletableFuture<Void> started, double since) {
        if (ending.begun()) {
            return; // nobody is to come any more, and who waits for the start is on its way out
        }
        double waited = loop.now() - since;
        try {
            if (config.listenFd() == null) {
                front.listen(config.listenAddress());
            } else {
                front.listen(inherited());
            }
            ending.listening();
            loop.startStallDetection();
            if (staff != null) {
                staff.listening();
            }
            if (waited >= LISTEN_AGAIN_S) {
                Logger.info(
                        "{} was in use for {} ms",
                        config.listenAddress(),
                        Math.round(waited * 1e3));
            }
            started.complete(null);
        } catch (IOException e) {
            if (waited < LISTEN_PATIENCE_S && inUse(config.listenAddress(), e)) {
                if (waited < LISTEN_AGAIN_S) {
                    Logger.warn(
                            "{} is in use; trying again for {} s",
                            config.listenAddress(),
                            LISTEN_PATIENCE_S);
                }
                loop.scheduleAfter(LISTEN_AGAIN_S, () -> listen(started, since));
            } else {
                started.completeExceptionally(
                        new IOException(
                                "cannot listen on "
                                        + config.listenAddress()
                                        + ": "
                                        + e.getMessage()
                                        + "; waited "
                                        + Math.round(waited * 1e3)
                                        + " ms"));
            }
        } catch (RuntimeException e) {
            started.completeExceptionally(e);
        }
    }

    private ServerSocketChannel inherited() {
        try {
            return InheritedSocket.takeOver(config.listenFd(), config.listenAddress());
        } catch (IllegalArgumentException e) {
            throw new ConfigException("RELAY_FD", e.getMessage());
        }
    }

    /** Whether it is the port that is taken: on an address that is not ours, no port can be had. */
    private static boolean inUse(InetSocketAddress address, IOException failure) {
        if (!(failure instanceof BindException)) {
            return false;
        }
        try (ServerSocket any = new ServerSocket(0, 1, address.getAddress())) {
            return any.isBound();
        } catch (IOException e) {
            return false;
        }
    }

    /**
     * From now on SIGHUP, which would end a JVM, takes on the configuration file as it is by then.
     */
    void reloadOnHangUp(Map<String, String> environment) {
        new ConfigReloader(loop, roster, counters, config, environment).onHangUp();
    }

    /**
     * From now on SIGTERM ends the program in good order. To be called before the start: a client
     * may connect before that returns.
     */
    void finishOnShutdown() {
        finish =
                new Thread(
                        () -> {
                            if (staff != null) {
                                staff.ending();
                            }
                            ending.run();
                            if (part != null) {
                                part.shutDown();
                            }
                            Logger.info("{} ends: {}; {}", config.name(), counters, descriptors);
                            BoundedConsoleWriter.closeAll();
                        },
                        "finish");
        Runtime.getRuntime().addShutdownHook(finish);
    }

    /** Whether a failed start may end the loop: not once the end in good order runs on it. */
    private boolean mayStop() {
        try {
            return finish == null || Runtime.getRuntime().removeShutdownHook(finish);
        } catch (IllegalStateException e) {
            return false; // the JVM is ending
        }
    }

    /**
     * An error of the JVM itself on the I/O thread: a class that is gone, no memory. Nothing that
     * is held can be trusted to go on, and a process that only seems to live keeps its clients from
     * going elsewhere.
     */
    private static void die(Throwable error) {
        try {
            Logger.error(error, "the JVM failed; this process ends");
            BoundedConsoleWriter.closeAll();
        } finally {
            Runtime.getRuntime().halt(DEAD);
        }
    }

    void stop() {
        if (staff != null) {
            staff.close();
        }
        if (overlap != null) {
            overlap.close();
        }
        loop.stop();
    }
}
