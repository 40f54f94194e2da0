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

/** The engines by id, each with what opens its connections; starts fetches on them. */
public final class EngineClient implements Backend {
    private final EventLoop loop;
    private final double dialTimeout;
    private final Counters counters;
    private final LoadReportReader gauges;
    private final EnginePool.Budget budget;
    private final Map<EngineId, EnginePool> pools = new HashMap<>();

    /** {@code share} bounds what is open to all engines together. */
    public EngineClient(
            EventLoop loop,
            DecisionSettings settings,
            DescriptorBudget.Share share,
            Counters counters) {
        this.budget = new EnginePool.Budget(loop, share);
        this.loop = loop;
        this.dialTimeout =
                settings.limits().connectTimeoutSeconds() > 0
                        ? settings.limits().connectTimeoutSeconds()
                        : 1;
        this.counters = counters;
        this.gauges = new LoadReportReader(settings.loadMetrics());
    }

    @Override
    public void updateEndpoints(EndpointUpdateKind kind, List<EngineEndpoint> members) {
        Set<EngineId> named = new HashSet<>();
        for (EngineEndpoint m : members) {
            EngineListing e = m.engine();
            named.add(e.id());
            if (e.stage() == EngineStage.GONE) {
                retire(e.id());
                continue;
            }
            EnginePool pool = pools.get(e.id());
            if (pool != null && !pool.isOf(m)) {
                retire(e.id());
                pool = null;
            }
            if (pool == null) {
                pool = new EnginePool(loop, m, dialTimeout, budget, counters);
                pools.put(e.id(), pool);
            }
            pool.ready(e.stage() == EngineStage.READY);
        }
        if (kind == EndpointUpdateKind.FULL || kind == EndpointUpdateKind.CACHED) {
            List.copyOf(pools.keySet()).stream()
                    .filter(id -> !named.contains(id))
                    .forEach(this::retire);
        }
    }

    /** Fetches that are out keep the pool until they are over; nothing new finds it. */
    private void retire(EngineId id) {
        EnginePool pool = pools.remove(id);
        if (pool != null) {
            pool.ready(false);
        }
    }

    @Override
    public Attempt startAttempt(
            EngineId engine, Query query, double giveUpAt, AttemptListener ending) {
        EnginePool pool = pools.get(engine);
        if (pool == null || !pool.ready()) {
            loop.execute(
                    () ->
                            ending.onCompleted(
                                    AttemptCompletion.withOutcome(AttemptOutcome.NOT_SENT)));
            return as -> {};
        }
        EngineAttempt fetch =
                new EngineAttempt(loop, pool, query, giveUpAt, gauges, counters, ending);
        loop.execute(fetch::start);
        return fetch;
    }

    /**
     * Reads load reports such as {@code inflight:7;util:0.61} in the order that the settings name.
     */
    static final class LoadReportReader {
        private static final float[] NONE = {};
        private final List<LoadMetric> fields;

        LoadReportReader(List<LoadMetric> fields) {
            this.fields = fields;
        }

        /** The values, or none if one is missing or no number: half a report would mislead. */
        float[] read(String text) {
            if (text == null) {
                return NONE;
            }
            float[] values = new float[fields.size()];
            Arrays.fill(values, Float.NaN);
            for (String part : text.split(";")) {
                int colon = part.indexOf(':');
                LoadMetric field = colon < 0 ? null : field(part.substring(0, colon).trim());
                int at = field == null ? -1 : fields.indexOf(field);
                if (at >= 0) {
                    values[at] = number(part.substring(colon + 1));
                }
            }
            for (float v : values) {
                if (!(v >= 0 && v < Float.POSITIVE_INFINITY)) {
                    return NONE;
                }
            }
            return values;
        }

        private static float number(String text) {
            try {
                return Float.parseFloat(text.trim());
            } catch (NumberFormatException e) {
                return Float.NaN;
            }
        }

        private static LoadMetric field(String name) {
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
