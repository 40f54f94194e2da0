package junipercourse.fleet;

import java.util.List;
import java.util.Locale;
import junipercourse.core.StatusTables;
import junipercourse.fleet.membership.MemberId;
import junipercourse.fleet.membership.MemberRecord;
import junipercourse.fleet.membership.MembershipSnapshot;
import junipercourse.fleet.transport.DropReason;
import junipercourse.fleet.transport.TransportCounters;
import junipercourse.fleet.transport.UdpTransport;

/**
 * The {@code SHOW FLEET} table: the membership as a whole, each member, the transport's counters
 * and all limits.
 */
final class FleetTable {
    static final List<String> COLUMNS =
            List.of("part", "name", "value", "incarnation", "since_s", "address", "zone");
    private static final String NONE = "-";
    private static final int RANDOM_BITS = 32;
    private static final long RANDOM_MASK = 0xffff_ffffL;

    private final FleetConfig config;
    private final UdpTransport transport;

    FleetTable(FleetConfig config, UdpTransport transport) {
        this.config = config;
        this.transport = transport;
    }

    /**
     * Adds all rows.
     *
     * @param snapshot the latest snapshot; null if there is none
     * @param failure why the membership has ended; null if it has not
     * @param now the protocol's clock in seconds
     */
    void fill(
            StatusTables.RowWriter rows,
            MembershipSnapshot snapshot,
            String failure,
            long stalls,
            long messagesHeldBack,
            double now) {
        addValue(rows, "view", "fleet", config.name());
        addValue(
                rows,
                "view",
                "state",
                failure != null
                        ? "failed: " + failure
                        : transport.isBound() ? "on" : "waits for its address");
        addValue(rows, "view", "stalls", stalls);
        addValue(rows, "view", "held_by_budget", messagesHeldBack);
        if (snapshot != null) {
            addMembers(rows, snapshot, now);
        }
        addCounters(rows);
        addLimits(rows);
    }

    private void addMembers(StatusTables.RowWriter rows, MembershipSnapshot snapshot, double now) {
        MemberId self = snapshot.self();
        rows.add(
                "self",
                self.name(),
                self.incarnation() == 0 ? "no_life_yet" : "alive",
                incarnation(self.incarnation()),
                NONE,
                config.advertisedAddress(),
                orNone(config.zone()));
        addValue(rows, "view", "settled", snapshot.converged());
        addValue(rows, "view", "digest", Long.toHexString(snapshot.digest()));
        addValue(rows, "view", "members", snapshot.members().size());
        for (MembershipSnapshot.MemberView member : snapshot.members()) {
            MemberRecord record = member.record();
            rows.add(
                    "member",
                    record.name(),
                    record.status().name().toLowerCase(Locale.ROOT),
                    incarnation(record.incarnation()),
                    "%.1f".formatted(Math.max(0, now - member.statusSince())),
                    record.address(),
                    orNone(record.zone()));
        }
    }

    private void addCounters(StatusTables.RowWriter rows) {
        TransportCounters counters = transport.counters();
        addValue(rows, "link", "in", counters.received());
        addValue(rows, "link", "in_bytes", counters.receivedBytes());
        addValue(rows, "link", "out", counters.sent());
        addValue(rows, "link", "out_bytes", counters.sentBytes());
        for (DropReason reason : DropReason.values()) {
            addValue(rows, "dropped", reason.label(), counters.dropped(reason));
        }
    }

    private void addLimits(StatusTables.RowWriter rows) {
        addValue(rows, "bound", "budget_bytes_per_s", config.membership().bytesPerSecond());
        addValue(
                rows,
                "bound",
                "peer_bytes_per_s",
                Math.round(config.rateLimits().peerBytesPerSecond()));
        addValue(
                rows,
                "bound",
                "bytes_per_s",
                Math.round(config.rateLimits().totalBytesPerSecond()));
        addValue(
                rows,
                "bound",
                "peer_datagrams_per_s",
                Math.round(config.rateLimits().peerDatagramsPerSecond()));
        addValue(
                rows,
                "bound",
                "datagrams_per_s",
                Math.round(config.rateLimits().totalDatagramsPerSecond()));
        addValue(rows, "bound", "ring", config.rateLimits().ringCapacity());
        addValue(rows, "bound", "members", config.membership().maxMembers());
    }

    /** Formats an incarnation as its generation and random part, as in the log. */
    private static String incarnation(long value) {
        return (value >>> RANDOM_BITS) + "." + "%08x".formatted(value & RANDOM_MASK);
    }

    private static String orNone(String text) {
        return text.isEmpty() ? NONE : text;
    }

    private static void addValue(
            StatusTables.RowWriter rows, String group, String name, Object value) {
        rows.add(group, name, value, NONE, NONE, NONE, NONE);
    }
}
