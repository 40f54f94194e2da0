package junipercourse.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import junipercourse.decision.api.CapacityRating;
import junipercourse.decision.api.DecisionSettings;
import junipercourse.decision.api.DeduplicationScope;
import junipercourse.decision.api.EngineCapabilities;
import junipercourse.decision.api.EngineKind;
import junipercourse.decision.api.Idempotency;
import junipercourse.decision.api.LoadMetric;
import junipercourse.decision.api.LoadReportChannel;
import junipercourse.decision.api.OutOfMemoryPolicy;
import junipercourse.decision.api.PlatformLimits;
import junipercourse.decision.api.QueryClass;
import junipercourse.decision.api.ServiceGuarantees;
import junipercourse.decision.api.Tenant;

/** Converts settings from text to typed settings. Unknown keys are ignored. */
public final class SettingsReader {
    private static final Map<String, Idempotency> IDEMPOTENCY_BY_NAME =
            Map.of(
                    "repeatable", Idempotency.IDEMPOTENT,
                    "by_key", Idempotency.IDEMPOTENT_WITH_KEY,
                    "once", Idempotency.NOT_IDEMPOTENT);
    private static final Map<String, OutOfMemoryPolicy> OUT_OF_MEMORY_POLICY_BY_NAME =
            Map.of(
                    "line_up", OutOfMemoryPolicy.QUEUE,
                    "cut", OutOfMemoryPolicy.SHRINK_GRANT,
                    "overcommit", OutOfMemoryPolicy.OVERCOMMIT);

    private static final Map<String, Boolean> IS_POLLED_BY_NAME =
            Map.of("push", false, "ask", true);

    private final SettingsValues values;

    private SettingsReader(SettingsValues values) {
        this.values = values;
    }

    /** Reads settings from lines of {@code path=value}. */
    public static DecisionSettings read(String text) {
        Map<String, String> valuesByPath = new HashMap<>();
        for (String line : text.split("\n")) {
            int index = line.indexOf('=');
            if (index > 0) {
                valuesByPath.put(line.substring(0, index).trim(), line.substring(index + 1).trim());
            }
        }
        return read(valuesByPath);
    }

    /** Reads settings from values by path. */
    public static DecisionSettings read(Map<String, String> valuesByPath) {
        try {
            return new SettingsReader(new SettingsValues(valuesByPath)).readSettings();
        } catch (ConfigException e) {
            throw e;
        } catch (IllegalArgumentException e) { // thrown by the validation of the decision module
            throw new ConfigException("settings", e.getMessage());
        }
    }

    private DecisionSettings readSettings() {
        return new DecisionSettings(
                values.getInteger("balancers", 1, 1),
                values.getInteger("ordinal", 0, 0),
                values.getInteger("my_zone", 0, 0),
                values.getChoice("registry_mode", IS_POLLED_BY_NAME, "push"),
                values.getChoice("weights", CapacityRating.class, "off"),
                values.getNumber("over_share_worth", 1),
                values.getChoice("telemetry.via", LoadReportChannel.class, "off"),
                readLoadMetrics(),
                readQueryClasses(),
                readTenants(),
                readEngineKinds(),
                readLimits(),
                readGuarantees(),
                readEngineCapabilities());
    }

    private List<QueryClass> readQueryClasses() {
        int count = (int) values.requireNumber("grades.count");
        List<String> threads = values.getList("family_info.class_threads");
        List<String> loads = values.getList("family_info.loads");
        List<String> classWaits = values.getList("family_info.class_waits");
        List<QueryClass> queryClasses = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String prefix = "grades." + i + ".";
            queryClasses.add(
                    new QueryClass(
                            values.getString(prefix + "name", "class-" + i),
                            values.getChoice(prefix + "effect", IDEMPOTENCY_BY_NAME, null),
                            values.getChoice(prefix + "key_scope", DeduplicationScope.class, "all"),
                            values.getNumber(prefix + "window_s", 0),
                            values.getBoolean(prefix + "serial_by_key", false),
                            values.requireNumber(prefix + "goal_time_s"),
                            values.getNumber(prefix + "aim_stretch", 0),
                            values.requireNumber(prefix + "deadline_s"),
                            values.getNumber(prefix + "worth", 1),
                            values.getNumber(prefix + "late_worth", 0),
                            i < threads.size()
                                    ? SettingsValues.parseInteger(
                                            "family_info.class_threads", 1, threads.get(i))
                                    : 1,
                            i < loads.size()
                                    && SettingsValues.parseBoolean(
                                            "family_info.loads", loads.get(i)),
                            i < classWaits.size()
                                    && SettingsValues.parseBoolean(
                                            "family_info.class_waits", classWaits.get(i)),
                            values.getIndexes(prefix + "dcs_allowed"),
                            values.getIndexes(prefix + "runs_on")));
        }
        return queryClasses;
    }

    private List<Tenant> readTenants() {
        List<Tenant> tenants = new ArrayList<>();
        for (int i = 0; i < values.getInteger("tenants.count", 0, 0); i++) {
            String prefix = "tenants." + i + ".";
            tenants.add(
                    new Tenant(
                            values.getString(prefix + "name", "tenant-" + i),
                            values.getNumber(prefix + "portion", 0),
                            values.getNumber(prefix + "quota_per_s", 0)));
        }
        return tenants;
    }

    private List<EngineKind> readEngineKinds() {
        List<String> names = values.getList("kinds");
        List<String> cores = values.getList("family_info.size_cores");
        List<String> memory = values.getList("family_info.size_mb");
        List<EngineKind> engineKinds = new ArrayList<>();
        for (int i = 0; i < Math.max(names.size(), cores.size()); i++) {
            engineKinds.add(
                    new EngineKind(
                            i < names.size() ? names.get(i) : "kind-" + i,
                            i < cores.size()
                                    ? SettingsValues.parse("family_info.size_cores", cores.get(i))
                                    : 0,
                            i < memory.size()
                                    ? SettingsValues.parse("family_info.size_mb", memory.get(i))
                                    : 0));
        }
        return engineKinds;
    }

    private PlatformLimits readLimits() {
        return new PlatformLimits(
                values.getBoolean("limits.cancel", false),
                values.getBoolean("limits.probes", false),
                values.getBoolean("limits.peer_messages", false),
                values.getBoolean("limits.second_copies", false),
                values.getBoolean("limits.retry_after", false),
                values.getNumber("limits.max_retry_after_s", 0),
                values.getInteger("limits.try_limit", 0, 0),
                values.getNumber("limits.dial_timeout_s", 0));
    }

    private ServiceGuarantees readGuarantees() {
        String prefix = "guarantees.";
        return new ServiceGuarantees(
                values.getNumber(prefix + "grace_to_answer_s", 0),
                values.getNumber(prefix + "drain_grace_s", 0),
                values.getNumber(prefix + "cold_from", 1),
                values.getNumber(prefix + "warm_within_s", 0),
                values.getNumber(prefix + "fall_multiple", 0),
                values.getNumber(prefix + "fall_s", 0),
                values.getNumber(prefix + "order_settle_s", 0),
                values.getNumber(prefix + "counted_over_s", 0),
                values.getNumber(prefix + "free_resends", 0),
                values.getNumber(prefix + "budget_share", 0),
                values.getNumber(prefix + "ask_within_s", 0));
    }

    private EngineCapabilities readEngineCapabilities() {
        String prefix = "family_info.";
        return new EngineCapabilities(
                values.getBoolean(prefix + "grants_count", false),
                values.getBoolean(prefix + "takes_priority", false),
                values.getNumber(prefix + "max_grant_share", 1),
                values.getChoice(prefix + "out_of_memory", OUT_OF_MEMORY_POLICY_BY_NAME, "line_up"),
                values.getNumber(prefix + "note_period_s", 0),
                values.getBoolean(prefix + "says_cost", false));
    }

    private List<LoadMetric> readLoadMetrics() {
        List<LoadMetric> metrics = new ArrayList<>();
        for (String name : values.getList("telemetry.fields")) {
            metrics.add(
                    switch (name) {
                        case "rif" -> LoadMetric.IN_FLIGHT;
                        case "q" -> LoadMetric.QUEUED;
                        case "busy" -> LoadMetric.BUSY;
                        case "lat_ms" -> LoadMetric.LATENCY_MS;
                        case "rate" -> LoadMetric.RATE;
                        case "fail_rate" -> LoadMetric.FAIL_RATE;
                        case "x0" -> LoadMetric.MEMORY_GRANTED;
                        case "x1" -> LoadMetric.DISKS_BUSY;
                        default ->
                                throw new ConfigException(
                                        "settings.telemetry.fields", "unknown " + name);
                    });
        }
        return metrics;
    }
}
