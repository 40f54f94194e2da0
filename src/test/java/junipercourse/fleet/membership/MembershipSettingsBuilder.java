package junipercourse.fleet.membership;

/** Builds settings that differ from the defaults in their limits only. */
final class MembershipSettingsBuilder {
    private int maxMembers = 1000;
    private double forgetAfterSeconds = 3600;
    private int bytesPerSecond = MembershipSettings.defaults().bytesPerSecond();
    private int datagramOverheadBytes = MembershipSettings.defaults().datagramOverhead();

    MembershipSettingsBuilder maxMembers(int count) {
        maxMembers = count;
        return this;
    }

    MembershipSettingsBuilder forgetAfterSeconds(double seconds) {
        forgetAfterSeconds = seconds;
        return this;
    }

    MembershipSettingsBuilder bytesPerSecond(int limit) {
        bytesPerSecond = limit;
        return this;
    }

    /** Sets the overhead of a datagram to that of a fleet whose name has this length. */
    MembershipSettingsBuilder fleetNameLength(int characters) {
        datagramOverheadBytes = MembershipSettings.IP_UDP_HEADER_BYTES + characters;
        return this;
    }

    MembershipSettings build() {
        MembershipSettings defaults = MembershipSettings.defaults();
        return new MembershipSettings(
                defaults.tickInterval(),
                defaults.probeInterval(),
                defaults.probeTimeout(),
                defaults.indirectProbes(),
                defaults.suspicionMin(),
                defaults.suspicionMax(),
                defaults.maxLocalHealth(),
                defaults.isolationGrace(),
                defaults.reconnectInterval(),
                defaults.syncInterval(),
                defaults.joinWait(),
                defaults.joinTimeout(),
                defaults.nameConflictWait(),
                forgetAfterSeconds,
                Math.min(forgetAfterSeconds, defaults.forgetLeft()),
                maxMembers,
                defaults.maxTombstones(),
                defaults.maxRecordsPerMessage(),
                defaults.retransmitFactor(),
                bytesPerSecond,
                datagramOverheadBytes);
    }
}
