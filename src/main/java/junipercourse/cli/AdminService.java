package junipercourse.cli;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.IntToLongFunction;
import junipercourse.admin.AdminOperations;
import junipercourse.admin.AdminServer;
import junipercourse.admin.MaintenanceMarkers;
import junipercourse.config.Config;
import junipercourse.core.ClassMetrics;
import junipercourse.core.Gateway;
import junipercourse.decision.api.EngineId;
import junipercourse.decision.api.QueryClass;
import junipercourse.net.EventLoop;
import org.tinylog.Logger;

/**
 * What the staff ask and order at the second address. The loop publishes what is so a few times a
 * second; calls are answered from that, so that none waits for the loop. Loaded only with a second
 * address.
 */
final class AdminService implements AdminOperations, Closeable {
    /** Between publications: figures may lag by 0.5 s (DAYS, numbers). */
    private static final double PUBLISH_S = 0.15;

    /**
     * Between looks for orders that came to another process of this dispatcher: due within 1 s
     * (DAYS).
     */
    private static final long LOOK_MS = 150;

    /** What was published longer ago than this tells that the loop stands still: not ready. */
    private static final double OLD_S = 1.0;

    /**
     * An engine that is out and has been in no list for so long is forgotten: its id does not come
     * again.
     */
    private static final double FORGET_S = 600;

    private record Snapshot(
            boolean ready, String why, String figures, Set<EngineId> engines, long at) {}

    private final EventLoop loop;
    private final Gateway gateway;
    private final List<QueryClass> classes;
    private final MaintenanceMarkers files;
    private final AdminServer server;
    private final ScheduledThreadPoolExecutor looks;
    private volatile Snapshot state =
            new Snapshot(false, "starting", "{}", Set.of(), System.nanoTime());
    private volatile boolean ending;
    private boolean listening;
    private boolean publishing;
    private volatile Set<EngineId> out = Set.of();
    private final Map<EngineId, Long> unlistedSince = new HashMap<>();

    /**
     * Listens at the second address and reads which engines are out.
     *
     * @param folder is shared by all processes of this dispatcher and outlives them
     * @throws IOException if the address or the folder cannot be used
     */
    AdminService(EventLoop loop, Gateway gateway, Config config, Path folder) throws IOException {
        this.loop = loop;
        this.gateway = gateway;
        this.classes = config.settings().queryClasses();
        this.files = new MaintenanceMarkers(folder);
        this.server = new AdminServer(config.adminAddress(), this, connections(config));
        look();
        looks =
                new ScheduledThreadPoolExecutor(
                        1,
                        task -> {
                            Thread t = new Thread(task, "staff");
                            t.setDaemon(true);
                            return t;
                        });
        looks.scheduleWithFixedDelay(this::look, LOOK_MS, LOOK_MS, TimeUnit.MILLISECONDS);
        loop.execute(this::publish);
        Logger.info("the second address is {}; {} engines are out", server.address(), out.size());
    }

    /** Connections to the second address at most, of the process's descriptors. */
    static int connections(Config config) {
        return Math.min(24, config.resources().sockets() / 16);
    }

    /** The loop listens from now on. On the loop's thread. */
    void listening() {
        listening = true;
        publish();
    }

    /** From now on this process is on its way out. From any thread. */
    void ending() {
        ending = true;
    }

    private void publish() {
        String why =
                ending
                        ? "ending"
                        : !listening
                                ? "not listening yet"
                                : !gateway.engineRegistry().hasReceivedList()
                                        ? "no list of engines yet"
                                        : loop.isCatchingUp()
                                                ? "catching up after a stall"
                                                : "serving";
        state =
                new Snapshot(
                        why.equals("serving"),
                        why,
                        figures(),
                        gateway.engineRegistry().listedEngines(),
                        System.nanoTime());
        if (!publishing) {
            publishing = true;
            publishLater();
        }
    }

    private void publishLater() {
        loop.scheduleAfter(
                PUBLISH_S,
                () -> {
                    publish();
                    publishLater();
                });
    }

    private String figures() {
        ClassMetrics f = gateway.classMetrics();
        return new JsonObject()
                .add("passed", byClass(f::servedCount))
                .add("dropped", byClass(f::rejectedCount))
                .add("bad_gateway", byClass(f::failedCount))
                .add("upstream_tries", byClass(f::attemptCount))
                .add("in_progress", gateway.openQueryCount())
                .add("known_engines", gateway.engineRegistry().listedEngines().size())
                .add("skipped_engines", gateway.engineRegistry().skippedEngineCount())
                .toString();
    }

    private JsonObject byClass(IntToLongFunction count) {
        JsonObject all = Json.object();
        for (int i = 0; i < classes.size(); i++) {
            all.add(classes.get(i).name(), count.applyAsLong(i));
        }
        return all;
    }

    /** Takes on the orders that stand in the folder, whichever process they came to. */
    private synchronized void look() {
        Set<EngineId> now = files.read();
        if (!now.equals(out)) {
            out = now;
            Logger.info(
                    "engines taken out by hand: {}", now.stream().map(EngineId::value).toList());
            loop.execute(() -> gateway.engineRegistry().setEnginesInMaintenance(now));
        }
        forget(now);
    }

    private void forget(Set<EngineId> now) {
        long time = System.nanoTime();
        unlistedSince.keySet().retainAll(now);
        for (EngineId id : now) {
            if (!state.ready() || state.engines().contains(id)) {
                unlistedSince.remove(id);
            } else if (time - unlistedSince.computeIfAbsent(id, i -> time) > FORGET_S * 1e9) {
                Logger.info("engine {} is gone for good; it is no longer held out", id.value());
                change(id, false);
            }
        }
    }

    private MaintenanceResult change(String id, boolean takeOut) {
        Optional<EngineId> engine = MaintenanceMarkers.parseEngineId(id);
        if (engine.isEmpty()
                || !state.engines().contains(engine.get()) && !out.contains(engine.get())) {
            return MaintenanceResult.UNKNOWN_ENGINE;
        }
        return change(engine.get(), takeOut);
    }

    private MaintenanceResult change(EngineId id, boolean takeOut) {
        try {
            if (takeOut) {
                files.add(id);
            } else {
                files.remove(id);
            }
        } catch (IOException e) {
            Logger.error("engine {} cannot be taken {}: {}", id.value(), takeOut ? "out" : "in", e);
            return MaintenanceResult.FAILED;
        }
        look();
        return MaintenanceResult.DONE;
    }

    // ---- the second address's own thread ----

    @Override
    public boolean isReady() {
        Snapshot s = state;
        return s.ready() && !ending && System.nanoTime() - s.at() < OLD_S * 1e9;
    }

    @Override
    public String describeReadiness() {
        Snapshot s = state;
        return ending
                ? "ending"
                : System.nanoTime() - s.at() < OLD_S * 1e9 ? s.why() : "standing still";
    }

    @Override
    public String getStatisticsJson() {
        return state.figures();
    }

    @Override
    public MaintenanceResult startMaintenance(String id) {
        return change(id, true);
    }

    @Override
    public MaintenanceResult endMaintenance(String id) {
        return change(id, false);
    }

    @Override
    public void close() {
        looks.shutdownNow();
        server.close();
    }
}
