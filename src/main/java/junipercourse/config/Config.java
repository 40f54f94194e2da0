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
 * All that a dispatcher is told at its start, read and checked in one place: the environment's
 * {@code RELAY_*} first, then the configuration file, then the defaults given here.
 *
 * @param listenOn the descriptor that listens at {@code listen} already, or null where it is to be
 *     opened
 * @param admin the second address, for operators' staff, or null without one
 * @param bus where the event bus listens, or null without one
 * @param known the events of the bus up to the start, or null
 * @param zones the names of the zones, in the settings' order
 * @param idleSeconds after which engines close an idle connection
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
    private static final int LEAST_SOCKETS = 64;
    private static final double DEFAULT_IDLE_S = 30;

    /** What the process may use. */
    public record Resources(double cores, int memoryMb, int sockets) {}

    /** Reads the configuration that the environment names. */
    public static Config read(Map<String, String> environment) {
        String path = environment.get("RELAY_CONFIG");
        if (path == null || path.isBlank()) {
            throw new ConfigException("RELAY_CONFIG", "not set; it names the configuration file");
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
     * Reads the text of a configuration file; the environment's name and address go before its own.
     */
    public static Config parse(String text, Map<String, String> environment) {
        Section root;
        try {
            root = new Section("", Json.parse(text).asObject());
        } catch (ParseException | UnsupportedOperationException e) {
            throw new ConfigException("RELAY_CONFIG", "not a JSON object: " + e.getMessage());
        }
        String name = environment.getOrDefault("RELAY_NAME", root.text("name", "junipercourse"));
        boolean given = environment.containsKey("RELAY_LISTEN");
        String listen = given ? environment.get("RELAY_LISTEN") : root.text("listen", null);
        if (listen == null) {
            throw new ConfigException("listen", "missing; RELAY_LISTEN is not set either");
        }
        String bus = root.text("bus", null);
        Section limits = root.section("limits");
        Section settings = root.section("settings");
        if (settings.isEmpty()) {
            throw new ConfigException("settings", "missing");
        }
        Map<String, String> pairs = SettingsText.flatten(settings.json());
        return new Config(
                name,
                parseAddress(given ? "RELAY_LISTEN" : "listen", listen),
                environment.get("RELAY_FD"),
                adminAddress(root, environment),
                seed(root),
                new Resources(
                        limits.number("cores", 1, 0.01),
                        (int) limits.number("memory_mb", DEFAULT_MEMORY_MB, 1),
                        (int) limits.number("sockets", DEFAULT_SOCKETS, LEAST_SOCKETS)),
                bus == null ? null : parseAddress("bus", bus),
                root.section("known").json(),
                SettingsReader.read(pairs),
                List.of(pairs.getOrDefault("dcs", "").split(",")),
                settings.section("limits").number("conn_idle_s", DEFAULT_IDLE_S, 0.1));
    }

    /**
     * The keys, among those that a running dispatcher cannot take on, in which another one differs.
     */
    public List<String> findRestartOnlyChanges(Config before) {
        List<String> changed = new ArrayList<>();
        if (!name.equals(before.name)) {
            changed.add("name");
        }
        if (!listenAddress.equals(before.listenAddress)) {
            changed.add("listen");
        }
        if (!Objects.equals(adminAddress, before.adminAddress)) {
            changed.add("admin");
        }
        if (!resources.equals(before.resources)) {
            changed.add("limits");
        }
        if (!settings.equals(before.settings)
                || !zones.equals(before.zones)
                || idleTimeoutSeconds != before.idleTimeoutSeconds) {
            changed.add("settings");
        }
        return changed;
    }

    private static InetSocketAddress adminAddress(Section root, Map<String, String> environment) {
        boolean given = environment.containsKey("RELAY_ADMIN");
        String text = given ? environment.get("RELAY_ADMIN") : root.text("admin", null);
        return text == null ? null : parseAddress(given ? "RELAY_ADMIN" : "admin", text);
    }

    private static long seed(Section root) {
        String text = root.text("seed", null);
        if (text == null) {
            return System.nanoTime();
        }
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            throw new ConfigException("seed", "not a hexadecimal number of 64 bits: " + text);
        }
    }

    /**
     * Reads {@code host:port}; only numeric addresses are taken, since nothing here resolves names.
     */
    public static InetSocketAddress parseAddress(String key, String text) {
        int colon = text.lastIndexOf(':');
        String host = colon < 0 ? "" : text.substring(0, colon);
        boolean numeric =
                host.matches("[0-9]{1,3}(\\.[0-9]{1,3}){3}") || host.matches("\\[[0-9a-fA-F:.]+]");
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (numeric && port >= 0) {
                return new InetSocketAddress(host, port);
            }
        } catch (IllegalArgumentException e) {
            // falls through to the message below, which says what was expected
        }
        throw new ConfigException(key, "not a numeric address and port: " + text);
    }

    /** One object of the configuration file, with the path to it for messages. */
    private record Section(String path, JsonObject json) {
        private String key(String name) {
            return path.isEmpty() ? name : path + "." + name;
        }

        boolean isEmpty() {
            return json == null || json.isEmpty();
        }

        Section section(String name) {
            JsonValue v = json == null ? null : json.get(name);
            if (v != null && !v.isNull() && !v.isObject()) {
                throw new ConfigException(key(name), "not an object");
            }
            return new Section(key(name), v == null || v.isNull() ? null : v.asObject());
        }

        String text(String name, String fallback) {
            JsonValue v = json == null ? null : json.get(name);
            if (v == null || v.isNull()) {
                return fallback;
            }
            if (!v.isString()) {
                throw new ConfigException(key(name), "not a text");
            }
            return v.asString();
        }

        double number(String name, double fallback, double least) {
            JsonValue v = json == null ? null : json.get(name);
            if (v == null || v.isNull()) {
                return fallback;
            }
            if (!v.isNumber()) {
                throw new ConfigException(key(name), "not a number");
            }
            if (!(v.asDouble() >= least)) {
                throw new ConfigException(key(name), "under " + least + ": " + v);
            }
            return v.asDouble();
        }
    }

    /**
     * Turns settings given as nested JSON into the pairs of path and value that the simulator
     * gives.
     */
    static final class SettingsText {
        private SettingsText() {}

        static Map<String, String> flatten(JsonObject settings) {
            Map<String, String> pairs = new HashMap<>();
            settings.forEach(m -> put(pairs, m.getName(), m.getValue()));
            return pairs;
        }

        private static void put(Map<String, String> pairs, String path, JsonValue value) {
            if (value.isObject()) {
                value.asObject().forEach(m -> put(pairs, path + "." + m.getName(), m.getValue()));
            } else if (value.isArray()) {
                list(pairs, path, value.asArray());
            } else if (!value.isNull()) {
                pairs.put(path, plain(value));
            }
        }

        private static void list(Map<String, String> pairs, String path, JsonArray items) {
            boolean objects = !items.isEmpty() && items.get(0).isObject();
            if (objects) {
                pairs.put(path + ".count", Integer.toString(items.size()));
                for (int i = 0; i < items.size(); i++) {
                    put(pairs, path + "." + i, items.get(i));
                }
            } else {
                pairs.put(
                        path,
                        String.join(
                                ",", items.values().stream().map(SettingsText::plain).toList()));
            }
        }

        private static String plain(JsonValue value) {
            return value.isString() ? value.asString() : value.toString();
        }
    }
}
