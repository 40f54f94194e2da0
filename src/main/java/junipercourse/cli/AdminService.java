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
 * Answers calls at the second address from a snapshot that the loop publishes a few times a second,
 * so that none waits for the loop. Loaded only with a second address.
 */
final class AdminService implements AdminOperations, Closeable {
    /** Between snapshots; statistics may lag by 0.5 s. */
    private static final double PUBLISH_INTERVAL_SECONDS = 0.15;

    /** Between reads of the markers; a change made through a sibling process is due within 1 s. */
    private static final long MARKER_POLL_MILLIS = 150;

    /** An older snapshot means that the loop is stalled: not ready. */
    private static final double MAX_AGE_SECONDS = 1.0;

    /** The marker of an engine that no list has had for so long is removed; ids are not reused. */
    private static final double FORGET_SECONDS = 600;

    private record Snapshot(
            boolean ready, String reason, String json, Set<EngineId> listed, long nanos) {}

    private final EventLoop loop;
    private final Gateway gateway;
    private final List<QueryClass> classes;
    private final MaintenanceMarkers markers;
    private final AdminServer server;
    private final ScheduledThreadPoolExecutor scheduler;
    private volatile Snapshot snapshot =
            new Snapshot(false, "starting", "{}", Set.of(), System.nanoTime());
    private volatile boolean ending;
    private boolean isListening;
    private boolean publishScheduled;
    private volatile Set<EngineId> inMaintenance = Set.of();
    private final Map<EngineId, Long> unlistedSince = new HashMap<>();

    /**
     * Listens at the second address and reads which engines are in maintenance.
     *
     * @param folder shared by all processes of this dispatcher; outlives them
     * @throws IOException if the address or the folder cannot be used
     */
    AdminService(EventLoop loop, Gateway gateway, Config config, Path folder) throws IOException {
        this.loop = loop;
        this.gateway = gateway;
        this.classes = config.settings().queryClasses();
        this.markers = new MaintenanceMarkers(folder);
        this.server = new AdminServer(config.adminAddress(), this, maxConnections(config));
        readMarkers();
        scheduler =
                new ScheduledThreadPoolExecutor(
                        1,
                        task -> {
                            Thread thread = new Thread(task, "staff");
                            thread.setDaemon(true);
                            return thread;
                        });
        scheduler.scheduleWithFixedDelay(
                this::readMarkers, MARKER_POLL_MILLIS, MARKER_POLL_MILLIS, TimeUnit.MILLISECONDS);
        loop.execute(this::publish);
        Logger.info(
                "the second address is {}; {} engines are in maintenance mode",
                server.address(),
                inMaintenance.size());
    }

    /** The maximum of connections to the second address. */
    static int maxConnections(Config config) {
        return Math.min(24, config.resources().sockets() / 16);
    }

    /** Marks clients as able to connect. On the loop's thread. */
    void onListening() {
        isListening = true;
        publish();
    }

    /** Marks this process as shutting down. From any thread. */
    void onShutdown() {
        ending = true;
    }

    private void publish() {
        String reason =
                ending
                        ? "ending"
                        : !isListening
                                ? "not listening yet"
                                : !gateway.engineRegistry().hasReceivedList()
                                        ? "no list of engines yet"
                                        : loop.isCatchingUp()
                                                ? "catching up after a stall"
                                                : "serving";
        snapshot =
                new Snapshot(
                        reason.equals("serving"),
                        reason,
                        buildStatisticsJson(),
                        gateway.engineRegistry().listedEngines(),
                        System.nanoTime());
        if (!publishScheduled) {
            publishScheduled = true;
            schedulePublish();
        }
    }

    private void schedulePublish() {
        loop.scheduleAfter(
                PUBLISH_INTERVAL_SECONDS,
                () -> {
                    publish();
                    schedulePublish();
                });
    }

    private String buildStatisticsJson() {
        ClassMetrics metrics = gateway.classMetrics();
        return new JsonObject()
                .add("passed", countsByClass(metrics::servedCount))
                .add("dropped", countsByClass(metrics::rejectedCount))
                .add("bad_gateway", countsByClass(metrics::failedCount))
                .add("upstream_tries", countsByClass(metrics::attemptCount))
                .add("in_progress", gateway.openQueryCount())
                .add("known_engines", gateway.engineRegistry().listedEngines().size())
                .add("skipped_engines", gateway.engineRegistry().skippedEngineCount())
                .toString();
    }

    private JsonObject countsByClass(IntToLongFunction count) {
        JsonObject counts = Json.object();
        for (int i = 0; i < classes.size(); i++) {
            counts.add(classes.get(i).name(), count.applyAsLong(i));
        }
        return counts;
    }

    /** Applies the markers in the folder, whichever process wrote them. */
    private synchronized void readMarkers() {
        Set<EngineId> marked = markers.read();
        if (!marked.equals(inMaintenance)) {
            inMaintenance = marked;
            Logger.info(
                    "engines in maintenance: {}", marked.stream().map(EngineId::value).toList());
            loop.execute(() -> gateway.engineRegistry().setEnginesInMaintenance(marked));
        }
        removeStaleMarkers(marked);
    }

    private void removeStaleMarkers(Set<EngineId> marked) {
        long now = System.nanoTime();
        unlistedSince.keySet().retainAll(marked);
        for (EngineId id : marked) {
            if (!snapshot.ready() || snapshot.listed().contains(id)) {
                unlistedSince.remove(id);
            } else if (now - unlistedSince.computeIfAbsent(id, i -> now) > FORGET_SECONDS * 1e9) {
                Logger.info("engine {} is no longer listed; its maintenance ends", id.value());
                setMaintenance(id, false);
            }
        }
    }

    private MaintenanceResult setMaintenance(String id, boolean enabled) {
        Optional<EngineId> engine = MaintenanceMarkers.parseEngineId(id);
        if (engine.isEmpty()
                || !snapshot.listed().contains(engine.get())
                        && !inMaintenance.contains(engine.get())) {
            return MaintenanceResult.UNKNOWN_ENGINE;
        }
        return setMaintenance(engine.get(), enabled);
    }

    private MaintenanceResult setMaintenance(EngineId id, boolean enabled) {
        try {
            if (enabled) {
                markers.add(id);
            } else {
                markers.remove(id);
            }
        } catch (IOException e) {
            Logger.error(
                    "engine {}: maintenance {} failed: {}", id.value(), enabled ? "on" : "off", e);
            return MaintenanceResult.FAILED;
        }
        readMarkers();
        return MaintenanceResult.DONE;
    }

    // ---- on the second address's own thread ----

    @Override
    public boolean isReady() {
        Snapshot last = snapshot;
        return last.ready() && !ending && System.nanoTime() - last.nanos() < MAX_AGE_SECONDS * 1e9;
    }

    @Override
    public String describeReadiness() {
        Snapshot last = snapshot;
        return ending
                ? "ending"
                : System.nanoTime() - last.nanos() < MAX_AGE_SECONDS * 1e9
                        ? last.reason()
                        : "standing still";
    }

    @Override
    public String getStatisticsJson() {
        return snapshot.json();
    }

    @Override
    public MaintenanceResult startMaintenance(String id) {
        return setMaintenance(id, true);
    }

    @Override
    public MaintenanceResult endMaintenance(String id) {
        return setMaintenance(id, false);
    }

    @Override
    public void close() {
        scheduler.shutdownNow();
        server.close();
    }
}
