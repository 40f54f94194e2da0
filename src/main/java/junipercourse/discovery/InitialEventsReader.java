package junipercourse.discovery;

import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import junipercourse.config.Config;
import junipercourse.config.ConfigException;
import junipercourse.core.Backend.EngineEndpoint;
import junipercourse.decision.api.EngineId;
import junipercourse.decision.api.EngineListing;
import junipercourse.decision.api.EngineStage;

/** Reads the initial endpoint events that the configuration holds under {@code known}. */
public final class InitialEventsReader {
    /** A full endpoint list or a change of it, with the event's number on the event bus. */
    public record Event(long offset, boolean isFullList, List<EngineEndpoint> endpoints) {}

    private static final Pattern ENGINE_ID_PATTERN = Pattern.compile("s-[0-9a-fA-F]{8}");

    /** The event bus sends cells as two bytes. */
    private static final long MAX_CELL = 0xffff;

    /** JSON numbers are read as doubles, which are exact up to here. */
    private static final long MAX_OFFSET = 1L << 53;

    private final List<String> zones;
    private final List<String> engineKinds;

    InitialEventsReader(List<String> zones, List<String> engineKinds) {
        this.zones = zones;
        this.engineKinds = engineKinds;
    }

    List<Event> read(JsonObject json) {
        List<Event> events = new ArrayList<>();
        JsonValue batch = json.get("batch");
        if (batch == null || !batch.isArray()) {
            throw new ConfigException("known.batch", "not an array");
        }
        for (JsonValue item : batch.asArray()) {
            String path = "known.batch." + events.size();
            events.add(readEvent(path, requireObject(path, item)));
        }
        return events;
    }

    /** Reads the number of the last event. */
    static long readLastOffset(JsonObject json) {
        return requireInteger("known", json, "offset", MAX_OFFSET);
    }

    private Event readEvent(String path, JsonObject event) {
        JsonObject topology = requireObject(path + ".topology", event.get("topology"));
        JsonValue list = topology.get("members");
        if (list == null || !list.isArray()) {
            throw new ConfigException(path + ".topology.members", "not an array");
        }
        List<EngineEndpoint> endpoints = new ArrayList<>();
        for (JsonValue item : list.asArray()) {
            String memberPath = path + ".topology.members." + endpoints.size();
            endpoints.add(readEndpoint(memberPath, requireObject(memberPath, item)));
        }
        return new Event(
                requireInteger(path, event, "offset", MAX_OFFSET),
                requireBoolean(path + ".topology", topology, "complete"),
                endpoints);
    }

    private EngineEndpoint readEndpoint(String path, JsonObject member) {
        InetSocketAddress address =
                Config.parseAddress(path + ".host_port", requireString(path, member, "host_port"));
        return new EngineEndpoint(
                new EngineListing(
                        parseEngineId(path, requireString(path, member, "id")),
                        findIndex(
                                path + ".locality", zones, requireString(path, member, "locality")),
                        findIndex(
                                path + ".flavor",
                                engineKinds,
                                requireString(path, member, "flavor")),
                        (int) requireInteger(path, member, "cell", MAX_CELL),
                        parseStage(path, requireString(path, member, "phase")),
                        requireNumber(path, member, "size"),
                        requireNumber(path, member, "up_since_ms") / 1000),
                address);
    }

    private static EngineId parseEngineId(String path, String text) {
        if (!ENGINE_ID_PATTERN.matcher(text).matches()) {
            throw new ConfigException(path + ".id", "not an engine ID: " + text);
        }
        return new EngineId(Long.parseLong(text.substring(2), 16));
    }

    private static EngineStage parseStage(String path, String text) {
        return switch (text) {
            case "Ready" -> EngineStage.READY;
            case "Terminating" -> EngineStage.DRAINING;
            case "Gone" -> EngineStage.GONE;
            default -> throw new ConfigException(path + ".phase", "unknown " + text);
        };
    }

    private static int findIndex(String key, List<String> names, String name) {
        int index = names.indexOf(name);
        if (index < 0) {
            throw new ConfigException(key, "not in the settings: " + name);
        }
        return index;
    }

    private static JsonObject requireObject(String path, JsonValue value) {
        if (value == null || !value.isObject()) {
            throw new ConfigException(path, "not an object");
        }
        return value.asObject();
    }

    private static String requireString(String path, JsonObject object, String name) {
        JsonValue value = object.get(name);
        if (value == null || !value.isString()) {
            throw new ConfigException(path + "." + name, "not a string");
        }
        return value.asString();
    }

    private static boolean requireBoolean(String path, JsonObject object, String name) {
        JsonValue value = object.get(name);
        if (value == null || !value.isBoolean()) {
            throw new ConfigException(path + "." + name, "neither true nor false");
        }
        return value.asBoolean();
    }

    private static long requireInteger(String path, JsonObject object, String name, long max) {
        double value = requireNumber(path, object, name);
        if (value < 0 || value > max || value != Math.rint(value)) {
            throw new ConfigException(
                    path + "." + name, "not an integer from 0 to " + max + ": " + object.get(name));
        }
        return (long) value;
    }

    private static double requireNumber(String path, JsonObject object, String name) {
        JsonValue value = object.get(name);
        if (value == null || !value.isNumber()) {
            throw new ConfigException(path + "." + name, "not a number");
        }
        return value.asDouble();
    }
}
