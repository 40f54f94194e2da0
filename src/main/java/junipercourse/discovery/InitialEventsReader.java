package junipercourse.discovery;

import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import junipercourse.config.Config;
import junipercourse.config.ConfigException;
import junipercourse.core.Backend.EngineEndpoint;
import junipercourse.decision.api.EngineId;
import junipercourse.decision.api.EngineListing;
import junipercourse.decision.api.EngineStage;

/** Reads the events that the configuration holds under {@code known}. */
public final class InitialEventsReader {
    /** One event. */
    public record Event(long offset, boolean isFullList, List<EngineEndpoint> endpoints) {}

    private final List<String> zones;
    private final List<String> kinds;

    InitialEventsReader(List<String> zones, List<String> kinds) {
        this.zones = zones;
        this.kinds = kinds;
    }

    List<Event> read(JsonObject known) {
        List<Event> out = new ArrayList<>();
        JsonValue batch = known.get("batch");
        if (batch == null || !batch.isArray()) {
            throw new ConfigException("known.batch", "not a list");
        }
        for (JsonValue item : batch.asArray()) {
            String path = "known.batch." + out.size();
            out.add(event(path, object(path, item)));
        }
        return out;
    }

    /** The number of the last event. */
    static long offset(JsonObject known) {
        return (long) number("known", known, "offset");
    }

    private Event event(String path, JsonObject event) {
        JsonObject topology = object(path + ".topology", event.get("topology"));
        JsonValue list = topology.get("members");
        if (list == null || !list.isArray()) {
            throw new ConfigException(path + ".topology.members", "not a list");
        }
        List<EngineEndpoint> members = new ArrayList<>();
        for (JsonValue item : list.asArray()) {
            String at = path + ".topology.members." + members.size();
            members.add(member(at, object(at, item)));
        }
        JsonValue complete = topology.get("complete");
        boolean whole = complete != null && complete.isTrue();
        return new Event((long) number(path, event, "offset"), whole, members);
    }

    private EngineEndpoint member(String path, JsonObject m) {
        InetSocketAddress address =
                Config.parseAddress(path + ".host_port", text(path, m, "host_port"));
        return new EngineEndpoint(
                new EngineListing(
                        id(path, text(path, m, "id")),
                        position(path + ".locality", zones, text(path, m, "locality")),
                        position(path + ".flavor", kinds, text(path, m, "flavor")),
                        (int) number(path, m, "cell"),
                        stage(path, text(path, m, "phase")),
                        number(path, m, "size"),
                        number(path, m, "up_since_ms") / 1000),
                address);
    }

    private static EngineId id(String path, String text) {
        try {
            if (text.startsWith("s-")) {
                return new EngineId(Long.parseLong(text.substring(2), 16));
            }
        } catch (NumberFormatException e) {
            // told below
        }
        throw new ConfigException(path + ".id", "not an engine's id: " + text);
    }

    private static EngineStage stage(String path, String text) {
        return switch (text) {
            case "Ready" -> EngineStage.READY;
            case "Terminating" -> EngineStage.DRAINING;
            case "Gone" -> EngineStage.GONE;
            default -> throw new ConfigException(path + ".phase", "unknown " + text);
        };
    }

    private static int position(String key, List<String> names, String name) {
        int at = names.indexOf(name);
        if (at < 0) {
            throw new ConfigException(key, "not in the settings: " + name);
        }
        return at;
    }

    private static JsonObject object(String path, JsonValue v) {
        if (v == null || !v.isObject()) {
            throw new ConfigException(path, "not an object");
        }
        return v.asObject();
    }

    private static String text(String path, JsonObject o, String name) {
        JsonValue v = o.get(name);
        if (v == null || !v.isString()) {
            throw new ConfigException(path + "." + name, "not a text");
        }
        return v.asString();
    }

    private static double number(String path, JsonObject o, String name) {
        JsonValue v = o.get(name);
        if (v == null || !v.isNumber()) {
            throw new ConfigException(path + "." + name, "not a number");
        }
        return v.asDouble();
    }
}
