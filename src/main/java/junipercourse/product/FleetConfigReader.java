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
 * Builds the fleet configuration from the elements of a file that the schema has validated, and
 * supplies the defaults.
 */
final class FleetConfigReader extends DefaultHandler {
    private static final RateLimits DEFAULT_RATE_LIMITS =
            new RateLimits(64 * 1024, 256 * 1024, 2000, 10_000, 512);

    private final SchemaErrorCollector errors;
    private final Map<String, Map<String, String>> attributesByElement = new HashMap<>();
    private final List<String> seeds = new ArrayList<>();
    private FleetConfig fleet;

    FleetConfigReader(SchemaErrorCollector errors) {
        this.errors = errors;
    }

    /** Returns the fleet configuration, or null if the file has none. */
    FleetConfig fleet() {
        return fleet;
    }

    @Override
    public void startElement(String uri, String local, String name, Attributes attributes) {
        Map<String, String> attributeValues = new HashMap<>();
        for (int i = 0; i < attributes.getLength(); i++) {
            attributeValues.put(attributes.getLocalName(i), attributes.getValue(i));
        }
        attributesByElement.put(local, attributeValues);
        if (local.equals("seed") && attributeValues.containsKey("address")) {
            try {
                parseAddress(attributeValues.get("address"));
                seeds.add(attributeValues.get("address"));
            } catch (IllegalArgumentException e) {
                errors.add("address: " + e.getMessage());
            }
        }
    }

    @Override
    public void endElement(String uri, String local, String name) {
        if (local.equals("fleet") && errors.errors().isEmpty()) {
            try {
                fleet = buildFleetConfig(attributesByElement.get("fleet"));
            } catch (IllegalArgumentException e) {
                errors.add(e.getMessage());
            }
        }
    }

    private FleetConfig buildFleetConfig(Map<String, String> fleetAttributes) {
        InetSocketAddress listen = parseAddress(fleetAttributes.get("listen"));
        String advertise = fleetAttributes.get("advertise");
        if (advertise == null
                && (listen.getPort() == 0 || listen.getAddress().isAnyLocalAddress())) {
            throw new IllegalArgumentException(
                    "advertise: missing; others cannot send to " + fleetAttributes.get("listen"));
        }
        if (advertise != null) {
            parseAddress(advertise);
        }
        return new FleetConfig(
                fleetAttributes.get("name"),
                listen,
                advertise == null ? fleetAttributes.get("listen") : advertise,
                fleetAttributes.getOrDefault("zone", ""),
                List.copyOf(seeds),
                rateLimits(),
                membershipSettings(fleetAttributes.get("name")));
    }

    private static InetSocketAddress parseAddress(String text) {
        return Config.parseAddress(text, text);
    }

    private RateLimits rateLimits() {
        return new RateLimits(
                value(
                        "bounds",
                        "peer-rate",
                        UnitParser::bytesPerSecond,
                        DEFAULT_RATE_LIMITS.peerBytesPerSecond()),
                value(
                        "bounds",
                        "rate",
                        UnitParser::bytesPerSecond,
                        DEFAULT_RATE_LIMITS.totalBytesPerSecond()),
                value(
                        "bounds",
                        "peer-datagrams",
                        UnitParser::perSecond,
                        DEFAULT_RATE_LIMITS.peerDatagramsPerSecond()),
                value(
                        "bounds",
                        "datagrams",
                        UnitParser::perSecond,
                        DEFAULT_RATE_LIMITS.totalDatagramsPerSecond()),
                (int)
                        value(
                                "bounds",
                                "ring",
                                Double::parseDouble,
                                DEFAULT_RATE_LIMITS.ringCapacity()));
    }

    private MembershipSettings membershipSettings(String fleetName) {
        MembershipSettings defaults = MembershipSettings.defaults();
        return new MembershipSettings(
                defaults.tickInterval(),
                seconds("probe-interval", defaults.probeInterval()),
                seconds("probe-timeout", defaults.probeTimeout()),
                defaults.indirectProbes(),
                seconds("suspicion-min", defaults.suspicionMin()),
                seconds("suspicion-max", defaults.suspicionMax()),
                defaults.maxLocalHealth(),
                defaults.isolationGrace(),
                seconds("reach-interval", defaults.reconnectInterval()),
                seconds("sync-interval", defaults.syncInterval()),
                defaults.joinWait(),
                defaults.joinTimeout(),
                defaults.nameConflictWait(),
                seconds("forget-unreachable", defaults.forgetUnreachable()),
                seconds("forget-left", defaults.forgetLeft()),
                (int) value("bounds", "members", Double::parseDouble, defaults.maxMembers()),
                defaults.maxTombstones(),
                defaults.maxRecordsPerMessage(),
                defaults.retransmitFactor(),
                (int)
                        value(
                                "bounds",
                                "budget",
                                UnitParser::bytesPerSecond,
                                defaults.bytesPerSecond()),
                MembershipSettings.IP_UDP_HEADER_BYTES + fleetName.length());
    }

    private double seconds(String attribute, double defaultValue) {
        return value("times", attribute, UnitParser::seconds, defaultValue);
    }

    private double value(
            String element,
            String attribute,
            ToDoubleFunction<String> parser,
            double defaultValue) {
        String text = attributesByElement.getOrDefault(element, Map.of()).get(attribute);
        try {
            return text == null ? defaultValue : parser.applyAsDouble(text);
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException(
                    element + ": " + attribute + ": " + e.getMessage(), e);
        }
    }
}
