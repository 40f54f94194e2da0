package junipercourse.fleet.membership;

/**
 * What is known of one incarnation of a member. Merging is idempotent and commutative, so records
 * may be lost, duplicated, delayed or reordered.
 *
 * <p>Records of one name are merged by taking the greatest ({@link #compareTo}): the higher
 * incarnation; within an incarnation {@code LEFT}, which only its subject declares; then the higher
 * version; then the later status in the order of {@link MemberStatus}; and last address and zone,
 * so that all members choose the same one.
 *
 * <p>Only the subject increases the version, in steps of two: it refutes a suspicion with the next
 * even version. An odd version marks a <em>tombstone</em>, which other members create for an
 * incarnation that was unreachable or left for a configured time; it appears neither in snapshots
 * nor in the digest. Because it is the greater record, delayed records do not revive the member;
 * its subject can, with the next even version.
 *
 * @param name the member's name, at most {@link #MAX_NAME_LENGTH} characters
 * @param incarnation the incarnation
 * @param version version of the record within the incarnation
 * @param status the member's status
 * @param address {@code host:port} for messages; at most {@link #MAX_ADDRESS_LENGTH} characters
 * @param zone the zone in which it runs; may be empty
 */
public record MemberRecord(
        String name,
        long incarnation,
        long version,
        MemberStatus status,
        String address,
        String zone)
        implements Comparable<MemberRecord> {
    /** Maximum length of a name in characters. */
    public static final int MAX_NAME_LENGTH = 40;

    /** Maximum length of an address: a numeric IPv6 address in brackets, a colon and a port. */
    public static final int MAX_ADDRESS_LENGTH = 48;

    /** Maximum length of a zone in characters. */
    public static final int MAX_ZONE_LENGTH = 40;

    /** Maximum size of a record without its texts: tags, lengths, two numbers, status. */
    static final int OVERHEAD_BYTES = 32;

    private static final int VARINT_BITS = 7;

    /**
     * Validates the record.
     *
     * @throws IllegalArgumentException if a text is too long or not visible ASCII, or a number is
     *     negative; its message names the field
     */
    public MemberRecord {
        checkText("name", name, MAX_NAME_LENGTH, 1);
        checkText("address", address, MAX_ADDRESS_LENGTH, 1);
        checkText("zone", zone, MAX_ZONE_LENGTH, 0);
        if (incarnation < 0) {
            throw new IllegalArgumentException("incarnation: " + incarnation + " is below 0");
        }
        if (version < 0) {
            throw new IllegalArgumentException("version: " + version + " is below 0");
        }
        if (status == null) {
            throw new IllegalArgumentException("status: is missing");
        }
    }

    /** Checks length and characters of a text; the exception's message begins with {@code key}. */
    static void checkText(String key, String value, int maxLength, int minLength) {
        if (value == null || value.length() < minLength || value.length() > maxLength) {
            throw new IllegalArgumentException(
                    key
                            + ": "
                            + minLength
                            + " to "
                            + maxLength
                            + " characters are allowed, got "
                            + (value == null ? "none" : value.length()));
        }
        for (int i = 0; i < value.length(); i++) {
            if (value.charAt(i) <= ' ' || value.charAt(i) > '~') {
                throw new IllegalArgumentException(
                        key + ": character " + (i + 1) + " is not visible ASCII");
            }
        }
    }

    /** Returns the incarnation that the record describes. */
    public MemberId memberId() {
        return new MemberId(name, incarnation);
    }

    /**
     * Returns true if the incarnation was unreachable or left for so long that it was removed from
     * the membership.
     */
    public boolean isTombstone() {
        return (version & 1) == 1;
    }

    /** Returns true if the member can be contacted: {@code ALIVE} or {@code SUSPECT}. */
    public boolean isPresent() {
        return status == MemberStatus.ALIVE || status == MemberStatus.SUSPECT;
    }

    /** Returns the size in bytes within a datagram, tag and length included. */
    public int encodedSize() {
        int content =
                2
                        + name.length()
                        + 1
                        + varintSize(incarnation)
                        + 1
                        + varintSize(version)
                        + 2
                        + 2
                        + address.length()
                        + 2
                        + zone.length();
        return 1 + varintSize(content) + content;
    }

    /** Returns the size in bytes of a protobuf varint, which holds seven bits a byte. */
    static int varintSize(long value) {
        return (Long.SIZE - Long.numberOfLeadingZeros(value | 1) + VARINT_BITS - 1) / VARINT_BITS;
    }

    MemberRecord with(MemberStatus newStatus) {
        return new MemberRecord(name, incarnation, version, newStatus, address, zone);
    }

    MemberRecord with(long newVersion) {
        return new MemberRecord(name, incarnation, newVersion, status, address, zone);
    }

    @Override
    public int compareTo(MemberRecord other) {
        int order = name.compareTo(other.name);
        if (order == 0) {
            order = Long.compare(incarnation, other.incarnation);
        }
        if (order == 0) {
            order = Boolean.compare(status == MemberStatus.LEFT, other.status == MemberStatus.LEFT);
        }
        if (order == 0) {
            order = Long.compare(version, other.version);
        }
        if (order == 0) {
            order = status.compareTo(other.status);
        }
        if (order == 0) {
            order = address.compareTo(other.address);
        }
        return order == 0 ? zone.compareTo(other.zone) : order;
    }
}
