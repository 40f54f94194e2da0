package junipercourse.product;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import junipercourse.config.Config;
import junipercourse.fleet.FleetConfig;
import junipercourse.fleet.membership.MembershipSettings;
import junipercourse.fleet.transport.RateLimits;
import org.xml.sax.Attributes;
import org.xml.sax.helpers.DefaultHandler;

/**
 * Makes the fleet's part from the elements that the schema has let through; defaults are given
 * here.
 */
final class FleetConfigReader extends DefaultHandler {
    private static final RateLimits DEFAULT =
            new RateLimits(64 * 1024, 256 * 1024, 2000, 10_000, 512);

    private final SchemaErrorCollector faults;
    private final Map<String, Map<String, String>> given = new HashMap<>();
    private final List<String> seeds = new ArrayList<>();
    private FleetConfig fleet;

    FleetConfigReader(SchemaErrorCollector faults) {
        this.faults = faults;
    }

    /** The part, or null if the file has none. */
    FleetConfig fleet() {
        return fleet;
    }

    @Override
    public void startElement(String uri, String local, String name, Attributes attributes) {
        Map<String, String> all = new HashMap<>();
        for (int i = 0; i < attributes.getLength(); i++) {
            all.put(attributes.getLocalName(i), attributes.getValue(i));
        }
        given.put(local, all);
        if (local.equals("seed") && all.containsKey("address")) {
            try {
                address(all.get("address"));
                seeds.add(all.get("address"));
            } catch (IllegalArgumentException e) {
                faults.add("address: " + e.getMessage());
            }
        }
    }

    @Override
    public void endElement(String uri, String local, String name) {
        if (local.equals("fleet") && faults.faults().isEmpty()) {
            try {
                fleet = part(given.get("fleet"));
            } catch (IllegalArgumentException e) {
                faults.add(e.getMessage());
            }
        }
    }

    private FleetConfig part(Map<String, String> all) {
        InetSocketAddress listen = address(all.get("listen"));
        String advertise = all.get("advertise");
        if (advertise == null
                && (listen.getPort() == 0 || listen.getAddress().isAnyLocalAddress())) {
            throw new IllegalArgumentException(
                    "advertise: missing; others cannot send to " + all.get("listen"));
        }
        if (advertise != null) {
            address(advertise);
        }
        return new FleetConfig(
                all.get("name"),
                listen,
                advertise == null ? all.get("listen") : advertise,
                all.getOrDefault("zone", ""),
                List.copyOf(seeds),
                bounds(),
                view(all.get("name")));
    }

    private static InetSocketAddress address(String text) {
        return Config.parseAddress(text, text);
    }

    private RateLimits bounds() {
        return new RateLimits(
                value(
                        "bounds",
                        "peer-rate",
                        UnitParser::bytesPerSecond,
                        DEFAULT.peerBytesPerSecond()),
                value("bounds", "rate", UnitParser::bytesPerSecond, DEFAULT.totalBytesPerSecond()),
                value(
                        "bounds",
                        "peer-datagrams",
                        UnitParser::perSecond,
                        DEFAULT.peerDatagramsPerSecond()),
                value(
                        "bounds",
                        "datagrams",
                        UnitParser::perSecond,
                        DEFAULT.totalDatagramsPerSecond()),
                (int) value("bounds", "ring", Double::parseDouble, DEFAULT.ringCapacity()));
    }

    private MembershipSettings view(String name) {
        MembershipSettings d = MembershipSettings.defaults();
        return new MembershipSettings(
                d.tickInterval(),
                time("probe-interval", d.probeInterval()),
                time("probe-timeout", d.probeTimeout()),
                d.indirectProbes(),
                time("suspicion-min", d.suspicionMin()),
                time("suspicion-max", d.suspicionMax()),
                d.maxLocalHealth(),
                d.isolationGrace(),
                time("reach-interval", d.reconnectInterval()),
                time("sync-interval", d.syncInterval()),
                d.joinWait(),
                d.joinTimeout(),
                d.nameConflictWait(),
                time("forget-unreachable", d.forgetUnreachable()),
                time("forget-left", d.forgetLeft()),
                (int) value("bounds", "members", Double::parseDouble, d.maxMembers()),
                d.maxTombstones(),
                d.maxRecordsPerMessage(),
                d.retransmitFactor(),
                (int) value("bounds", "budget", UnitParser::bytesPerSecond, d.bytesPerSecond()),
                MembershipSettings.IP_UDP_HEADER_BYTES + name.length());
    }

    private double time(String key, double fallback) {
        return value("times", key, UnitParser::seconds, fallback);
    }

    private double value(
            String element, String key, ToDoubleFunction<String> unit, double fallback) {
        String text = given.getOrDefault(element, Map.of()).get(key);
        try {
            return text == null ? fallback : unit.applyAsDouble(text);
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException(element + ": " + key + ": " + e.getMessage(), e);
        }
    }
}
