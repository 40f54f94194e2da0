package junipercourse.engine;

import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import junipercourse.core.Backend;
import junipercourse.core.Backend.AttemptListener;
import junipercourse.core.Counters;
import junipercourse.core.Query;
import junipercourse.decision.api.AttemptOutcome;
import junipercourse.decision.api.DecisionSettings;
import junipercourse.decision.api.EndpointUpdateKind;
import junipercourse.decision.api.EngineId;
import junipercourse.decision.api.EngineListing;
import junipercourse.decision.api.EngineStage;
import junipercourse.decision.api.LoadMetric;
import junipercourse.net.DescriptorBudget;
import junipercourse.net.EventLoop;

/** Starts attempts at the listed engines and keeps a connection pool for each of them. */
public final class EngineClient implements Backend {
    private final EventLoop loop;
    private final double dialTimeoutSeconds;
    private final Counters counters;
    private final LoadReportReader loadReports;
    private final EnginePool.Budget budget;
    private final Map<EngineId, EnginePool> pools = new HashMap<>();
    private final ListedAddresses listedAddresses = new ListedAddresses();

    /** {@code share} limits the connections open to all engines together. */
    public EngineClient(
            EventLoop loop,
            DecisionSettings settings,
            DescriptorBudget.Share share,
            Counters counters) {
        this.budget = new EnginePool.Budget(loop, share);
        this.loop = loop;
        this.dialTimeoutSeconds =
                settings.limits().connectTimeoutSeconds() > 0
                        ? settings.limits().connectTimeoutSeconds()
                        : 1;
        this.counters = counters;
        this.loadReports = new LoadReportReader(settings.loadMetrics());
    }

    @Override
    public void updateEndpoints(EndpointUpdateKind kind, List<EngineEndpoint> endpoints) {
        Set<EngineId> listedIds = new HashSet<>();
        for (EngineEndpoint endpoint : endpoints) {
            EngineListing engine = endpoint.engine();
            listedIds.add(engine.id());
            if (engine.stage() == EngineStage.GONE) {
                retire(engine.id());
                continue;
            }
            EnginePool pool = pools.get(engine.id());
            if (pool != null && !pool.matches(endpoint)) {
                retire(engine.id());
                pool = null;
            }
            if (pool == null) {
                pool =
                        new EnginePool(
                                loop,
                                endpoint,
                                listedAddresses,
                                dialTimeoutSeconds,
                                budget,
                                counters);
                pools.put(engine.id(), pool);
                listedAddresses.add(pool);
            }
            pool.setReady(engine.stage() == EngineStage.READY);
        }
        if (kind == EndpointUpdateKind.FULL || kind == EndpointUpdateKind.CACHED) {
            List.copyOf(pools.keySet()).stream()
                    .filter(id -> !listedIds.contains(id))
                    .forEach(this::retire);
        }
    }

    /** Running attempts use the pool until they complete; new ones do not find it. */
    private void retire(EngineId id) {
        EnginePool pool = pools.remove(id);
        if (pool != null) {
            pool.setReady(false);
            listedAddresses.remove(pool);
        }
    }

    @Override
    public Attempt startAttempt(
            EngineId engine, Query query, double deadlineAt, AttemptListener listener) {
        EnginePool pool = pools.get(engine);
        if (pool == null || !pool.isReady()) {
            loop.execute(
                    () ->
                            listener.onCompleted(
                                    AttemptCompletion.withOutcome(AttemptOutcome.NOT_SENT)));
            return outcome -> {};
        }
        EngineAttempt attempt =
                new EngineAttempt(loop, pool, query, deadlineAt, loadReports, counters, listener);
        loop.execute(attempt::start);
        return attempt;
    }

    /**
     * Parses load reports such as {@code inflight:7;util:0.61} into values in the configured order.
     */
    static final class LoadReportReader {
        private static final float[] EMPTY = {};
        private final List<LoadMetric> metrics;

        LoadReportReader(List<LoadMetric> metrics) {
            this.metrics = metrics;
        }

        /** The values; empty if one is missing or invalid, as a partial report would mislead. */
        float[] read(String text) {
            if (text == null) {
                return EMPTY;
            }
            float[] values = new float[metrics.size()];
            Arrays.fill(values, Float.NaN);
            for (String entry : text.split(";")) {
                int colon = entry.indexOf(':');
                LoadMetric metric = colon < 0 ? null : toMetric(entry.substring(0, colon).trim());
                int index = metric == null ? -1 : metrics.indexOf(metric);
                if (index >= 0) {
                    values[index] = parseValue(entry.substring(colon + 1));
                }
            }
            for (float value : values) {
                if (!(value >= 0 && value < Float.POSITIVE_INFINITY)) {
                    return EMPTY;
                }
            }
            return values;
        }

        private static float parseValue(String text) {
            try {
                return Float.parseFloat(text.trim());
            } catch (NumberFormatException e) {
                return Float.NaN;
            }
        }

        private static LoadMetric toMetric(String name) {
            return switch (name) {
                case "inflight", "rif" -> LoadMetric.IN_FLIGHT;
                case "queue", "q" -> LoadMetric.QUEUED;
                case "util", "busy" -> LoadMetric.BUSY;
                case "latency_ms", "lat_ms" -> LoadMetric.LATENCY_MS;
                case "qps", "rate" -> LoadMetric.RATE;
                case "eps", "fail_rate" -> LoadMetric.FAIL_RATE;
                case "x0" -> LoadMetric.MEMORY_GRANTED;
                case "x1" -> LoadMetric.DISKS_BUSY;
                default -> null;
            };
        }
    }
}
