package junipercourse.cli;

import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import junipercourse.config.Config;
import junipercourse.config.ConfigException;
import junipercourse.core.Counters;
import junipercourse.core.Counters.Count;
import junipercourse.core.Gateway;
import junipercourse.core.Part;
import junipercourse.core.Shows;
import junipercourse.decision.DispatchApi.Kind;
import junipercourse.engine.EngineClient;
import junipercourse.log.BoundedConsoleWriter;
import junipercourse.net.Descriptors;
import junipercourse.net.Loop;
import junipercourse.pg.PgFront;
import junipercourse.roster.KnownEvents;
import junipercourse.roster.RosterClient;
import org.tinylog.Logger;

/** One dispatcher, put together from its parts, from its start to its end. */
final class Server {
    /** New connections keep coming for 0.4 s after a planned restart begins, and their queries after that. */
    private static final double STILL_COMING_S = 0.75;
    /** SIGKILL comes 0.7 s and the longest deadline after SIGTERM, of which it counts 3 s: we go before. */
    private static final double ALL_ANSWERED_S = 3.2;
    private static final double LAST_BYTES_S = 0.05;
    /** For a predecessor at our address to end; clients come 30 s after the start at the latest (DEPLOY). */
    private static final double LISTEN_PATIENCE_S = 25;
    private static final double LISTEN_AGAIN_S = 0.1;
    /** Descriptors of the JVM itself, the bus and connections on their way out: about 16 were counted. */
    private static final int OWN_SOCKETS = 28;
    /** Connections to engines that are closed but still count, and beyond which they are waited for. */
    private static final int CLOSING = 8;
    /** Of the others: clients open a third of all descriptors at most, and some only hold theirs. */
    private static final double ENGINE_PART = 0.5;
    /** Of all descriptors: queries in hand, most of the third that clients may open. */
    private static final double TAKEN_PART = 0.85 / 3;
    /** Of all memory: what clients may have sent of unfinished messages. */
    private static final int INPUT_PART = 32;
    /** Exit code after an error of the JVM. */
    private static final int DEAD = 3;
    private static final int MEGABYTE = 1 << 20;

    private Config config; // replaced on the loop's thread only
    private final Loop loop;
    private final Descriptors descriptors;
    private final Counters counters = new Counters();
    private final Gateway gateway;
    private final PgFront front;
    private final RosterClient roster;
    private final Part part; // null in most installations

    Server(Config config) throws IOException {
        this(config, null);
    }

    /** With a part that only some installations have, or null. */
    Server(Config config, Part part) throws IOException {
        this.config = config;
        this.part = part;
        loop = new Loop(() -> counters.add(Count.INTERNAL_ERRORS), Server::die);
        descriptors = new Descriptors(config.resources().sockets(), OWN_SOCKETS);
        int toEngines = (int) (descriptors.free() * ENGINE_PART);
        Descriptors.Share engineShare = descriptors.share("engines", toEngines - CLOSING, CLOSING);
        Descriptors.Share clientShare = descriptors.share("clients", descriptors.free(), 0);
        EngineClient engines = new EngineClient(loop, config.settings(), config.idleSeconds(),
                engineShare, counters);
        gateway = new Gateway(loop, config.settings(), config.seed(),
                (int) (config.resources().sockets() * TAKEN_PART), engines, counters);
        Shows shows = new Shows();
        counters.showIn(shows);
        OwnTables.add(shows, loop, counters, descriptors);
        if (part != null) {
            part.showIn(shows);
        }
        front = new PgFront(loop, config.settings(), gateway, clientShare,
                (long) config.resources().memoryMb() * MEGABYTE / INPUT_PART, config.seed(), counters, shows);
        roster = new RosterClient(loop, config.bus(), config.known(), config.zones(),
                config.settings().kinds().stream().map(Kind::name).toList(), gateway::roster, counters);
    }

    static long millis(double seconds) {
        return Math.round(seconds * 1e3);
    }

    /**
     * Returns once clients can connect. A port in use is waited for, {@value #LISTEN_PATIENCE_S} s at most.
     *
     * @throws IOException if the address cannot be listened on; it is named, and how long it was waited for
     */
    void start() throws IOException {
        CompletableFuture<Void> started = new CompletableFuture<>();
        loop.execute(() -> {
            roster.start();
            listen(started, loop.now());
        });
        try {
            started.get();
        } catch (ExecutionException e) {
            stop();
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
        double waited = loop.now() - since;
        try {
            front.listen(config.listen());
            loop.attend();
            if (waited >= LISTEN_AGAIN_S) {
                Logger.info("{} was in use for {} ms", config.listen(), millis(waited));
            }
            started.complete(null);
        } catch (IOException e) {
            if (waited < LISTEN_PATIENCE_S && inUse(config.listen(), e)) {
                if (waited < LISTEN_AGAIN_S) {
                    Logger.warn("{} is in use; trying again for {} s", config.listen(), LISTEN_PATIENCE_S);
                }
                loop.after(LISTEN_AGAIN_S, () -> listen(started, since));
            } else {
                started.completeExceptionally(new IOException("cannot listen on " + config.listen() + ": "
                        + e.getMessage() + "; waited " + millis(waited) + " ms"));
            }
        } catch (RuntimeException e) {
            started.completeExceptionally(e);
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

    /** From now on SIGHUP, which would end a JVM, takes on the configuration file as it is by then. */
    void reloadOnHangUp(Map<String, String> environment) {
        Signals.on("HUP", () -> reload(environment));
    }

    /**
     * Reads and checks the whole file on the signal's thread, so that nothing waits for the disk, and hands
     * it to the loop. A file that cannot be used changes nothing; queries in flight notice nothing of either.
     */
    private synchronized void reload(Map<String, String> environment) {
        try {
            Config next = Config.read(environment);
            List<KnownEvents.Event> known = roster.check(next.known());
            loop.execute(() -> apply(next, known));
        } catch (ConfigException e) {
            Logger.error("the configuration stays as it was; the new one has a fault: {}", e.getMessage());
            loop.execute(() -> counters.add(Count.CONFIG_REJECTED));
        }
    }

    private void apply(Config next, List<KnownEvents.Event> known) {
        counters.add(Count.CONFIG_RELOADED);
        next.fixedChanges(config).forEach(
                key -> Logger.warn("{} has changed; that takes effect at the next start", key));
        config = next;
        roster.follow(next.bus(), known);
        Logger.info("the configuration has been read again; the event bus is at {}", next.bus());
    }

    /** From now on SIGTERM ends the program in good order. */
    void finishOnShutdown() {
        Runtime.getRuntime().addShutdownHook(new Thread(this::finish, "finish"));
    }

    /** Goes on for as long as clients may still come, then until all are answered, which has its end, too. */
    private void finish() {
        CountDownLatch done = new CountDownLatch(1);
        loop.execute(() -> {
            Logger.info("asked to end; {} queries are open", gateway.open());
            loop.after(STILL_COMING_S, () -> {
                front.end();
                gateway.whenIdle(() -> loop.after(LAST_BYTES_S, done::countDown));
            });
            loop.after(ALL_ANSWERED_S, gateway::answerAll);
        });
        try {
            done.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (part != null) {
            part.end();
        }
        Logger.info("{} ends: {}", config.name(), counters);
        BoundedConsoleWriter.end();
    }

    /**
     * An error of the JVM itself on the I/O thread: a class that is gone, no memory. Nothing that is held can
     * be trusted to go on, and a process that only seems to live keeps its clients from going elsewhere.
     */
    private static void die(Throwable error) {
        try {
            Logger.error(error, "the JVM failed; this process ends");
            BoundedConsoleWriter.end();
        } finally {
            Runtime.getRuntime().halt(DEAD);
        }
    }

    void stop() {
        loop.stop();
    }
}
