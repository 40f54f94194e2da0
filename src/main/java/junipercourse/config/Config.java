package junipercourse.config;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import com.eclipsesource.json.ParseException;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import junipercourse.decision.api.DecisionSettings;

/**
 * Validated startup configuration. The {@code RELAY_*} environment variables take precedence over
 * the configuration file, and the file over the defaults defined here.
 *
 * @param listenFd descriptor that already listens at {@code listenAddress}; null to open a socket
 * @param adminAddress address of the admin server for operators; null for none
 * @param busAddress address of the event bus; null for none
 * @param initialEvents events of the bus up to the start; may be null
 * @param zones zone names in the order of the settings
 * @param idleTimeoutSeconds time after which engines close an idle connection
 */
public record Config(
        String name,
        InetSocketAddress listenAddress,
        String listenFd,
        InetSocketAddress adminAddress,
        long seed,
        Resources resources,
        InetSocketAddress busAddress,
        JsonObject initialEvents,
        DecisionSettings settings,
        List<String> zones,
        double idleTimeoutSeconds) {
    private static final int DEFAULT_MEMORY_MB = 192;
    private static final int DEFAULT_SOCKETS = 1024;
    private static final int MIN_SOCKETS = 64;
    private static final double DEFAULT_IDLE_SECONDS = 30;

    /** Resource limits of the process. */
    public record Resources(double cores, int memoryMb, int sockets) {}

    /** Reads the configuration file that {@code RELAY_CONFIG} names. */
    public static Config read(Map<String, String> environment) {
        String path = environment.get("RELAY_CONFIG");
        if (path == null || path.isBlank()) {
            throw new ConfigException(
                    "RELAY_CONFIG", "not set; it must name the configuration file");
        }
        String text;
        try {
            text = Files.readString(Path.of(path), StandardCharsets.UTF_8);
        } catch (IOException | UncheckedIOException | IllegalArgumentException e) {
            throw new ConfigException("RELAY_CONFIG", "cannot read " + path + " (" + e + ")");
        }
        return parse(text, environment);
    }

    /**
     * Parses the text of a configuration file; name and addresses in the environment override it.
     */
    public static Config parse(String text, Map<String, String> environment) {
        Section root;
        try {
            root = new Section("", Json.parse(text).asObject());
        } catch (ParseException | UnsupportedOperationException e) {
            throw new ConfigException("RELAY_CONFIG", "not a JSON object: " + e.getMessage());
        }
        String name = environment.getOrDefault("RELAY_NAME", root.text("name", "junipercourse"));
        boolean hasEnvListen = environment.containsKey("RELAY_LISTEN");
        String listen = hasEnvListen ? environment.get("RELAY_LISTEN") : root.text("listen", null);
        if (listen == null) {
            throw new ConfigException("listen", "missing; RELAY_LISTEN is not set either");
        }
        String bus = root.text("bus", null);
        Section limits = root.section("limits");
        Section settings = root.section("settings");
        if (settings.isEmpty()) {
            throw new ConfigException("settings", "missing");
        }
        Map<String, String> settingsByPath = SettingsText.flatten(settings.json());
        return new Config(
                name,
                parseAddress(hasEnvListen ? "RELAY_LISTEN" : "listen", listen),
                environment.get("RELAY_FD"),
                adminAddress(root, environment),
                seed(root),
                new Resources(
                        limits.number("cores", 1, 0.01),
                        (int) limits.number("memory_mb", DEFAULT_MEMORY_MB, 1),
                        (int) limits.number("sockets", DEFAULT_SOCKETS, MIN_SOCKETS)),
                bus == null ? null : parseAddress("bus", bus),
                root.section("known").json(),
                SettingsReader.read(settingsByPath),
                List.of(settingsByPath.getOrDefault("dcs", "").split(",")),
                settings.section("limits").number("conn_idle_s", DEFAULT_IDLE_SECONDS, 0.1));
    }

    /**
     * Returns the keys that differ from the running configuration and take effect only on restart.
     */
    public List<String> findRestartOnlyChanges(Config running) {
        List<String> changedKeys = new ArrayList<>();
        if (!name.equals(running.name)) {
            changedKeys.add("name");
        }
        if (!listenAddress.equals(running.listenAddress)) {
            changedKeys.add("listen");
        }
        if (!Objects.equals(adminAddress, running.adminAddress)) {
            changedKeys.add("admin");
        }
        if (!resources.equals(running.resources)) {
            changedKeys.add("limits");
        }
        if (!settings.equals(running.settings)
                || !zones.equals(running.zones)
                || idleTimeoutSeconds != running.idleTimeoutSeconds) {
            changedKeys.add("settings");
        }
        return changedKeys;
    }

    private static InetSocketAddress adminAddress(Section root, Map<String, String> environment) {
        boolean hasEnvAdmin = environment.containsKey("RELAY_ADMIN");
        String text = hasEnvAdmin ? environment.get("RELAY_ADMIN") : root.text("admin", null);
        return text == null ? null : parseAddress(hasEnvAdmin ? "RELAY_ADMIN" : "admin", text);
    }

    private static long seed(Section root) {
        String seedText = root.text("seed", null);
        if (seedText == null) {
            return System.nanoTime();
        }
        try {
            return Long.parseUnsignedLong(seedText, 16);
        } catch (NumberFormatException e) {
            throw new ConfigException("seed", "not a 64-bit hexadecimal number: " + seedText);
        }
    }

    /**
     * Parses {@code host:port}. Only numeric addresses are accepted, since names are not resolved.
     */
    public static InetSocketAddress parseAddress(String key, String text) {
        int colon = text.lastIndexOf(':');
        String host = colon < 0 ? "" : text.substring(0, colon);
        boolean isNumeric =
                host.matches("[0-9]{1,3}(\\.[0-9]{1,3}){3}") || host.matches("\\[[0-9a-fA-F:.]+]");
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (isNumeric && port >= 0) {
                return new InetSocketAddress(host, port);
            }
        } catch (IllegalArgumentException e) {
            // reported below
        }
        throw new ConfigException(key, "not a numeric address and port: " + text);
    }

    /** An object of the configuration file with its path, which error messages name. */
    private record Section(String path, JsonObject json) {
        private String key(String name) {
            return path.isEmpty() ? name : path + "." + name;
        }

        boolean isEmpty() {
            return json == null || json.isEmpty();
        }

        Section section(String name) {
            JsonValue node = json == null ? null : json.get(name);
            if (node != null && !node.isNull() && !node.isObject()) {
                throw new ConfigException(key(name), "not an object");
            }
            return new Section(key(name), node == null || node.isNull() ? null : node.asObject());
        }

        String text(String name, String fallback) {
            JsonValue node = json == null ? null : json.get(name);
            if (node == null || node.isNull()) {
                return fallback;
            }
            if (!node.isString()) {
                throw new ConfigException(key(name), "not a string");
            }
            return node.asString();
        }

        double number(String name, double fallback, double minimum) {
            JsonValue node = json == null ? null : json.get(name);
            if (node == null || node.isNull()) {
                return fallback;
            }
            if (!node.isNumber()) {
                throw new ConfigException(key(name), "not a number");
            }
            if (!(node.asDouble() >= minimum)) {
                throw new ConfigException(key(name), "less than " + minimum + ": " + node);
            }
            return node.asDouble();
        }
    }

    /**
     * Flattens settings in nested JSON into values by path, the form in which the simulator passes
     * them.
     */
    static final class SettingsText {
        private SettingsText() {}

        static Map<String, String> flatten(JsonObject settings) {
            Map<String, String> values = new HashMap<>();
            settings.forEach(m -> put(values, m.getName(), m.getValue()));
            return values;
        }

        private static void put(Map<String, String> values, String path, JsonValue value) {
            if (value.isObject()) {
                value.asObject().forEach(m -> put(values, path + "." + m.getName(), m.getValue()));
            } else if (value.isArray()) {
                putList(values, path, value.asArray());
            } else if (!value.isNull()) {
                values.put(path, toText(value));
            }
        }

        private static void putList(Map<String, String> values, String path, JsonArray items) {
            boolean containsObjects = !items.isEmpty() && items.get(0).isObject();
            if (containsObjects) {
                values.put(path + ".count", Integer.toString(items.size()));
                for (int i = 0; i < items.size(); i++) {
                    put(values, path + "." + i, items.get(i));
                }
            } else {
                values.put(
                        path,
                        String.join(
                                ",", items.values().stream().map(SettingsText::toText).toList()));
            }
        }

        private static String toText(JsonValue value) {
            return value.isString() ? value.asString() : value.toString();
        }
    }
}
