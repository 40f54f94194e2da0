package junipercourse.fleet.membership;

/**
 * Settings of the membership protocol. All times are in seconds.
 *
 * @param tickInterval seconds between ticks; the resolution of all times below
 * @param probeInterval seconds between regular probes; 0.15 detects a silent member soon at 14
 *     messages a second
 * @param probeTimeout seconds until an acknowledgement is due; then indirect probes are requested,
 *     and after as long again the probe counts as missed
 * @param indirectProbes number of members that are asked for an indirect probe
 * @param suspicionMin suspicion timeout while the local health score is 0; longer than a pause of 1
 *     s
 * @param suspicionMax maximum to which the local health score extends the suspicion timeout
 * @param maxLocalHealth maximum local health score (0 is healthy); each point adds the base value
 *     to a timeout once more
 * @param isolationGrace seconds without any message during which a member declares no other
 *     unreachable
 * @param reconnectInterval seconds between probes of unreachable members, and of seeds whose
 *     address no present member has
 * @param syncInterval seconds between anti-entropy requests
 * @param joinWait seconds that a starting member waits for further seeds once one has answered
 * @param joinTimeout seconds that a starting member waits for a first response before it begins an
 *     incarnation without one
 * @param nameConflictWait seconds of silence after which a member that yielded its name to another
 *     process reclaims it; doubles each time
 * @param forgetUnreachable seconds after which an unreachable member becomes a tombstone
 * @param forgetLeft seconds after which a member that has left becomes a tombstone
 * @param maxMembers maximum number of members, the local one included; further ones are rejected
 * @param maxTombstones maximum number of tombstones; the oldest are dropped first
 * @param maxRecordsPerMessage maximum number of records in a message
 * @param retransmitFactor each update is transmitted {@code retransmitFactor * ln(members + 1)}
 *     times
 * @param bytesPerSecond maximum number of bytes sent in any second, network headers included
 * @param datagramOverhead bytes of a datagram beyond its message: network headers and the fleet's
 *     name
 */
public record MembershipSettings(
        double tickInterval,
        double probeInterval,
        double probeTimeout,
        int indirectProbes,
        double suspicionMin,
        double suspicionMax,
        int maxLocalHealth,
        double isolationGrace,
        double reconnectInterval,
        double syncInterval,
        double joinWait,
        double joinTimeout,
        double nameConflictWait,
        double forgetUnreachable,
        double forgetLeft,
        int maxMembers,
        int maxTombstones,
        int maxRecordsPerMessage,
        double retransmitFactor,
        int bytesPerSecond,
        int datagramOverhead) {
    /** Bytes of the IPv4 and UDP headers. */
    public static final int IP_UDP_HEADER_BYTES = 28;

    /** Minimum send budget: with less, a member could not acknowledge the probes it receives. */
    public static final int MIN_BYTES_PER_SECOND = 3000;

    private static final int MAX_BYTES_PER_SECOND = 10_000_000;

    /** Largest value of {@code maxMembers}. */
    public static final int MAX_MEMBERS = 1000;

    /**
     * Validates the settings.
     *
     * @throws IllegalArgumentException if a value is out of range; its message names the key
     */
    public MembershipSettings {
        requireAbove("beat", tickInterval, 0);
        requireAbove("probeInterval", probeInterval, 0);
        requireAbove("probeTimeout", probeTimeout, 0);
        requireAbove("suspicionMin", suspicionMin, 0);
        requireAbove("suspicionMax", suspicionMax, Math.nextDown(suspicionMin));
        requireAbove("reachInterval", reconnectInterval, 0);
        requireAbove("syncInterval", syncInterval, 0);
        requireAbove("joinWait", joinWait, 0);
        requireAbove("joinMost", joinTimeout, Math.nextDown(joinWait));
        requireAbove("rivalWait", nameConflictWait, 0);
        requireAbove("forgetUnreachable", forgetUnreachable, suspicionMax);
        requireAbove("forgetLeft", forgetLeft, 0);
        requireAbove("lonely", isolationGrace, Math.nextDown(0.0));
        requireAbove("lambda", retransmitFactor, 0);
        requireWithin("indirectProbes", indirectProbes, 0, 8);
        requireWithin("healthMost", maxLocalHealth, 0, 16);
        requireWithin("members", maxMembers, 2, MAX_MEMBERS);
        requireWithin("tombs", maxTombstones, 1, 4 * MAX_MEMBERS);
        requireWithin("statements", maxRecordsPerMessage, 3, GossipMessage.MAX_RECORDS);
        requireWithin("bytesASecond", bytesPerSecond, MIN_BYTES_PER_SECOND, MAX_BYTES_PER_SECOND);
        requireWithin(
                "datagramOver",
                datagramOverhead,
                0,
                IP_UDP_HEADER_BYTES + MemberRecord.MAX_NAME_LENGTH);
    }

    private static void requireAbove(String key, double value, double minExclusive) {
        if (!(value > minExclusive) || value == Double.POSITIVE_INFINITY) {
            throw new IllegalArgumentException(
                    key + ": " + value + " is not above " + minExclusive);
        }
    }

    private static void requireWithin(String key, int value, int min, int max) {
        if (value < min || value > max) {
            throw new IllegalArgumentException(
                    key + ": " + value + " is not within " + min + " to " + max);
        }
    }

    /** Returns the defaults, for a network with round trips of less than 0.1 s. */
    public static MembershipSettings defaults() {
        return new MembershipSettings(
                0.05,
                0.1,
                0.1,
                3,
                1.1,
                10,
                8,
                10,
                0.5,
                0.5,
                0.5,
                2,
                3,
                3600,
                60,
                MAX_MEMBERS,
                2 * MAX_MEMBERS,
                GossipMessage.MAX_RECORDS,
                3,
                6000,
                IP_UDP_HEADER_BYTES + MemberRecord.MAX_NAME_LENGTH);
    }

    /** Returns how many times an update is transmitted in a fleet of this size. */
    int transmissions(int memberCount) {
        return (int) Math.ceil(retransmitFactor * Math.log(memberCount + 1.0));
    }
}
