package junipercourse.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.Map;
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

/** Builds one dispatcher from its components, starts it and stops it. */
final class DispatcherServer {
    /** Held by the JVM, the event bus and connections being closed; about 16 were counted. */
    private static final int RESERVED_DESCRIPTORS = 28;

    /** Of the second address: its selectors, its listening socket, files of its folder. */
    private static final int ADMIN_DESCRIPTORS = 10;

    /** Of all descriptors: open queries, close to the third that clients may open. */
    private static final double OPEN_QUERY_FRACTION = 0.85 / 3;

    /** Of all memory: bytes of incomplete messages from clients. */
    private static final int INPUT_MEMORY_DIVISOR = 32;

    private static final int JVM_ERROR_EXIT_CODE = 3;

    private static final int MEGABYTE = 1 << 20;

    private final Config config;
    private final EventLoop loop;
    private final DescriptorBudget descriptors;
    private final Counters counters = new Counters();
    private final int maxOpenQueries;
    private final Gateway gateway;
    private final PgServer pgServer;
    private final EndpointWatcher endpointWatcher;
    private final HandoverCoordinator handover; // null without an inherited socket
    private final OptionalComponent component; // null in most installations
    private final AdminService admin; // null without a second address: not loaded
    private final GracefulShutdown shutdown;
    private Thread shutdownHook; // null until installed

    DispatcherServer(Config config) throws IOException {
        this(config, null);
    }

    /** Adds a component that only some installations have, or null. */
    DispatcherServer(Config config, OptionalComponent component) throws IOException {
        this.config = config;
        this.component = component;
        loop =
                new EventLoop(
                        () -> counters.increment(Count.INTERNAL_ERRORS),
                        DispatcherServer::haltOnJvmError);
        boolean hasAdmin = config.adminAddress() != null;
        descriptors =
                new DescriptorBudget(
                        config.resources().sockets(),
                        RESERVED_DESCRIPTORS
                                + (hasAdmin
                                        ? ADMIN_DESCRIPTORS + AdminService.maxConnections(config)
                                        : 0));
        DescriptorAllocation allocation =
                DescriptorAllocation.allocate(descriptors.limit(), descriptors.unallocated());
        DescriptorBudget.Share engineShare =
                descriptors.allocateShare("engines", allocation.engines(), allocation.closing());
        DescriptorBudget.Share clientShare =
                descriptors.allocateShare("clients", allocation.clients(), 0);
        EngineClient engines = new EngineClient(loop, config.settings(), engineShare, counters);
        maxOpenQueries =
                (int)
                        (config.resources().sockets()
                                * (config.listenFd() == null
                                        ? OPEN_QUERY_FRACTION
                                        : HandoverCoordinator.SOLE_PROCESS_FRACTION));
        gateway =
                new Gateway(
                        loop, config.settings(), config.seed(), maxOpenQueries, engines, counters);
        StatusTables statusTables = ProcessStatusTables.create(loop, counters, descriptors);
        if (component != null) {
            component.addTables(statusTables);
        }
        pgServer =
                new PgServer(
                        loop,
                        config.settings(),
                        gateway,
                        clientShare,
                        (long) config.resources().memoryMb() * MEGABYTE / INPUT_MEMORY_DIVISOR,
                        counters,
                        statusTables);
        endpointWatcher =
                new EndpointWatcher(
                        loop,
                        config.busAddress(),
                        config.initialEvents(),
                        config.zones(),
                        config.settings().engineKinds().stream().map(EngineKind::name).toList(),
                        gateway::updateEndpoints,
                        counters);
        admin =
                hasAdmin
                        ? new AdminService(
                                loop,
                                gateway,
                                config,
                                HandoverCoordinator.resolveFolder(config, "out"))
                        : null;
        handover =
                config.listenFd() == null
                        ? null
                        : new HandoverCoordinator(
                                loop,
                                descriptors,
                                gateway,
                                pgServer,
                                (int) (config.resources().sockets() * OPEN_QUERY_FRACTION),
                                HandoverCoordinator.resolveFolder(config, "processes"));
        shutdown = new GracefulShutdown(loop, gateway, pgServer, config.settings(), maxOpenQueries);
        loop.execute(endpointWatcher::start); // before any reload, which continues from its state
    }

    /**
     * Returns once clients can connect. Waits for a port in use: {@link ListenRetry}.
     *
     * @throws IOException if listening fails; its message has the address and the time waited
     */
    void start() throws IOException {
        ListenRetry listening =
                new ListenRetry(loop, config.listenAddress(), this::listen, shutdown::hasBegun);
        try {
            listening.start().get();
        } catch (ExecutionException e) {
            if (removeShutdownHook()) {
                stop();
            }
            if (e.getCause() instanceof ConfigException cause) {
                throw cause;
            }
            throw new IOException(e.getCause().getMessage(), e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted during startup", e);
        }
        if (component != null) {
            component.start();
        }
        Logger.info("{} listens on {}", config.name(), pgServer.address());
    }

    /** The address on which clients connect, once started. */
    InetSocketAddress address() {
        return pgServer.address();
    }

    private void listen() throws IOException {
        if (config.listenFd() == null) {
            pgServer.listen(config.listenAddress());
        } else {
            pgServer.listen(takeOverSocket());
        }
        shutdown.onListening();
        loop.startStallDetection();
        if (admin != null) {
            admin.onListening();
        }
    }

    private ServerSocketChannel takeOverSocket() {
        try {
            return InheritedSocket.takeOver(config.listenFd(), config.listenAddress());
        } catch (IllegalArgumentException e) {
            throw new ConfigException("RELAY_FD", e.getMessage());
        }
    }

    /** On SIGHUP, which would otherwise end the JVM, reloads the configuration file. */
    void reloadOnSighup(Map<String, String> environment) {
        new ConfigReloader(loop, endpointWatcher, counters, config, environment).installHandler();
    }

    /** Shuts down gracefully on SIGTERM; to be called before clients can connect. */
    void installShutdownHook() {
        shutdownHook =
                new Thread(
                        () -> {
                            if (admin != null) {
                                admin.onShutdown();
                            }
                            shutdown.run();
                            if (handover != null) {
                                handover.stopPolling();
                            }
                            if (component != null) {
                                component.shutDown();
                            }
                            Logger.info("{} ends: {}; {}", config.name(), counters, descriptors);
                            BoundedConsoleWriter.closeAll();
                        },
                        "finish");
        Runtime.getRuntime().addShutdownHook(shutdownHook);
    }

    /** Whether a failed start may stop the loop: not once graceful shutdown runs on it. */
    private boolean removeShutdownHook() {
        try {
            return shutdownHook == null || Runtime.getRuntime().removeShutdownHook(shutdownHook);
        } catch (IllegalStateException e) {
            return false; // the JVM is shutting down
        }
    }

    /**
     * Ends the process after an error of the JVM on the I/O thread (missing class, out of memory).
     * Its state can no longer be trusted, and a process that only seems alive keeps its clients
     * from others.
     */
    private static void haltOnJvmError(Throwable error) {
        try {
            Logger.error(error, "fatal JVM error; exiting");
            BoundedConsoleWriter.closeAll();
        } finally {
            Runtime.getRuntime().halt(JVM_ERROR_EXIT_CODE);
        }
    }

    void stop() {
        if (admin != null) {
            admin.close();
        }
        if (handover != null) {
            handover.close();
        }
        loop.stop();
    }
}
