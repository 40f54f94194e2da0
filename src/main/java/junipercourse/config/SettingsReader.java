package junipercourse.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
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

    private final Map<String, String> valuesByPath;

    private SettingsReader(Map<String, String> valuesByPath) {
        this.valuesByPath = valuesByPath;
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
            return new SettingsReader(valuesByPath).readSettings();
        } catch (ConfigException e) {
            throw e;
        } catch (IllegalArgumentException e) { // thrown by the validation of the decision module
            throw new ConfigException("settings", e.getMessage());
        }
    }

    private DecisionSettings readSettings() {
        return new DecisionSettings(
                getInteger("balancers", 1, 1),
                getInteger("ordinal", 0, 0),
                getInteger("my_zone", 0, 0),
                getString("registry_mode", "push").equals("ask"),
                getChoice("weights", CapacityRating.class, "off"),
                getNumber("over_share_worth", 1),
                getChoice("telemetry.via", LoadReportChannel.class, "off"),
                readLoadMetrics(),
                readQueryClasses(),
                readTenants(),
                readEngineKinds(),
                readLimits(),
                readGuarantees(),
                readEngineCapabilities());
    }

    private List<QueryClass> readQueryClasses() {
        int count = (int) requireNumber("grades.count");
        List<String> threads = getList("family_info.class_threads");
        List<String> loads = getList("family_info.loads");
        List<String> classWaits = getList("family_info.class_waits");
        List<QueryClass> queryClasses = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String prefix = "grades." + i + ".";
            queryClasses.add(
                    new QueryClass(
                            getString(prefix + "name", "class-" + i),
                            getChoice(prefix + "effect", IDEMPOTENCY_BY_NAME, null),
                            getChoice(prefix + "key_scope", DeduplicationScope.class, "all"),
                            getNumber(prefix + "window_s", 0),
                            getBoolean(prefix + "serial_by_key", false),
                            requireNumber(prefix + "goal_time_s"),
                            getNumber(prefix + "aim_stretch", 0),
                            requireNumber(prefix + "deadline_s"),
                            getNumber(prefix + "worth", 1),
                            getNumber(prefix + "late_worth", 0),
                            i < threads.size()
                                    ? (int) parse("family_info.class_threads", threads.get(i))
                                    : 1,
                            i < loads.size() && Boolean.parseBoolean(loads.get(i)),
                            i < classWaits.size() && Boolean.parseBoolean(classWaits.get(i)),
                            getIndexes(prefix + "dcs_allowed"),
                            getIndexes(prefix + "runs_on")));
        }
        return queryClasses;
    }

    private List<Tenant> readTenants() {
        List<Tenant> tenants = new ArrayList<>();
        for (int i = 0; i < getInteger("tenants.count", 0, 0); i++) {
            String prefix = "tenants." + i + ".";
            tenants.add(
                    new Tenant(
                            getString(prefix + "name", "tenant-" + i),
                            getNumber(prefix + "portion", 0),
                            getNumber(prefix + "quota_per_s", 0)));
        }
        return tenants;
    }

    private List<EngineKind> readEngineKinds() {
        List<String> names = getList("kinds");
        List<String> cores = getList("family_info.size_cores");
        List<String> memory = getList("family_info.size_mb");
        List<EngineKind> engineKinds = new ArrayList<>();
        for (int i = 0; i < Math.max(names.size(), cores.size()); i++) {
            engineKinds.add(
                    new EngineKind(
                            i < names.size() ? names.get(i) : "kind-" + i,
                            i < cores.size() ? parse("family_info.size_cores", cores.get(i)) : 0,
                            i < memory.size() ? parse("family_info.size_mb", memory.get(i)) : 0));
        }
        return engineKinds;
    }

    private PlatformLimits readLimits() {
        return new PlatformLimits(
                getBoolean("limits.cancel", false),
                getBoolean("limits.probes", false),
                getBoolean("limits.peer_messages", false),
                getBoolean("limits.second_copies", false),
                getBoolean("limits.retry_after", false),
                getNumber("limits.max_retry_after_s", 0),
                getInteger("limits.try_limit", 0, 0),
                getNumber("limits.dial_timeout_s", 0));
    }

    private ServiceGuarantees readGuarantees() {
        String prefix = "guarantees.";
        return new ServiceGuarantees(
                getNumber(prefix + "grace_to_answer_s", 0),
                getNumber(prefix + "drain_grace_s", 0),
                getNumber(prefix + "cold_from", 1),
                getNumber(prefix + "warm_within_s", 0),
                getNumber(prefix + "fall_multiple", 0),
                getNumber(prefix + "fall_s", 0),
                getNumber(prefix + "order_settle_s", 0),
                getNumber(prefix + "counted_over_s", 0),
                getNumber(prefix + "free_resends", 0),
                getNumber(prefix + "budget_share", 0),
                getNumber(prefix + "ask_within_s", 0));
    }

    private EngineCapabilities readEngineCapabilities() {
        String prefix = "family_info.";
        return new EngineCapabilities(
                getBoolean(prefix + "grants_count", false),
                getBoolean(prefix + "takes_priority", false),
                getNumber(prefix + "max_grant_share", 1),
                getChoice(prefix + "out_of_memory", OUT_OF_MEMORY_POLICY_BY_NAME, "line_up"),
                getNumber(prefix + "note_period_s", 0),
                getBoolean(prefix + "says_cost", false));
    }

    private List<LoadMetric> readLoadMetrics() {
        List<LoadMetric> metrics = new ArrayList<>();
        for (String name : getList("telemetry.fields")) {
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

    private Set<Integer> getIndexes(String key) {
        Set<Integer> indexes = new TreeSet<>();
        for (String item : getList(key)) {
            indexes.add((int) parse(key, item));
        }
        if (indexes.isEmpty() && valuesByPath.containsKey(key)) {
            throw new ConfigException("settings." + key, "empty; at least one index is required");
        }
        return indexes;
    }

    private List<String> getList(String key) {
        String value = valuesByPath.get(key);
        return value == null || value.isEmpty() ? List.of() : List.of(value.split(","));
    }

    private String getString(String key, String fallback) {
        return valuesByPath.getOrDefault(key, fallback);
    }

    private boolean getBoolean(String key, boolean fallback) {
        String value = valuesByPath.get(key);
        if (value == null) {
            return fallback;
        }
        if (!value.equals("true") && !value.equals("false")) {
            throw new ConfigException("settings." + key, "not true or false: " + value);
        }
        return value.equals("true");
    }

    private int getInteger(String key, int minimum, int fallback) {
        double value = getNumber(key, fallback);
        if (value != Math.rint(value) || value < minimum || value > Integer.MAX_VALUE) {
            throw new ConfigException(
                    "settings." + key,
                    "not an integer of at least " + minimum + ": " + valuesByPath.get(key));
        }
        return (int) value;
    }

    private double getNumber(String key, double fallback) {
        String value = valuesByPath.get(key);
        return value == null ? fallback : parse(key, value);
    }

    private double requireNumber(String key) {
        String value = valuesByPath.get(key);
        if (value == null) {
            throw new ConfigException("settings." + key, "missing");
        }
        return parse(key, value);
    }

    private static double parse(String key, String value) {
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new ConfigException("settings." + key, "not a number: " + value);
        }
    }

    private <E extends Enum<E>> E getChoice(String key, Class<E> type, String fallback) {
        Map<String, E> byName = new HashMap<>();
        for (E constant : type.getEnumConstants()) {
            byName.put(constant.name().toLowerCase(Locale.ROOT), constant);
        }
        return getChoice(key, byName, fallback);
    }

    private <E> E getChoice(String key, Map<String, E> byName, String fallback) {
        String value = valuesByPath.getOrDefault(key, fallback);
        if (value == null) {
            throw new ConfigException("settings." + key, "missing");
        }
        E chosen = byName.get(value.toLowerCase(Locale.ROOT));
        if (chosen == null) {
            throw new ConfigException("settings." + key, "unknown " + value);
        }
        return chosen;
    }
}
