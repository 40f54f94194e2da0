package junipercourse.fleet.membership;

import java.util.List;

/**
 * The content of one datagram. The first record is the sender's own, except in messages that only
 * forward a record of another member; a record with incarnation 0 only gives the reply address.
 *
 * @param sender the sender's name
 * @param senderIncarnation the sender's incarnation; 0 while it has none
 * @param kind the purpose
 * @param sequence the number of a request, repeated in its response
 * @param subject {@code PING}, {@code PING_REQ}: the member that is probed; {@code ACK}: the member
 *     that acknowledged; {@code SYNC_REQUEST}, {@code SYNC_RESPONSE}: the name whose record comes
 *     first in the response, or empty
 * @param digest digest of the sender's members; 0 while it has no incarnation
 * @param records at most {@link #MAX_RECORDS}, together at most {@link #MAX_RECORD_BYTES} bytes
 * @param page always 0; earlier versions numbered the pages of a response
 * @param pageCount {@code SYNC_RESPONSE}: estimated number of messages that all differing records
 *     would take; 0 otherwise
 * @param bucketDigests {@code SYNC_REQUEST}: digests of the sender's members by {@link
 *     MembershipDigest#bucketOf}, a power of two of them; empty if the sender knows no members
 */
public record GossipMessage(
        String sender,
        long senderIncarnation,
        Kind kind,
        long sequence,
        String subject,
        long digest,
        List<MemberRecord> records,
        int page,
        int pageCount,
        List<Integer> bucketDigests) {
    /** Maximum number of bucket digests in a message. */
    public static final int MAX_BUCKETS = 64;

    /**
     * Maximum total size of the records in a message, as {@link MemberRecord#encodedSize} counts
     * it, together with the bucket digests. Of the 1,200 bytes of a datagram, 40 each are reserved
     * for the names of fleet, sender and subject, and 80 for numbers, checksum and tags.
     */
    public static final int MAX_RECORD_BYTES = 1000;

    /**
     * Maximum number of records in a message: as many as fit {@link #MAX_RECORD_BYTES} with the
     * shortest texts.
     */
    public static final int MAX_RECORDS = MAX_RECORD_BYTES / (MemberRecord.OVERHEAD_BYTES + 2);

    /**
     * Checksum, tag and length of the fleet's name, version (two fields of one byte), the tags of
     * all other fields with the lengths of two texts, kind and digest.
     */
    private static final int OVERHEAD_BYTES = 4 + 2 + 4 + 8 + 2 + 1 + 8;

    /** The purpose of a message. */
    public enum Kind {
        /** Requests an acknowledgement. */
        PING,
        /** Acknowledges the probe of {@code subject} with this sequence number. */
        ACK,
        /** Requests a probe of {@code subject} on the sender's behalf. */
        PING_REQ,
        /** Requests the records that differ from the sender's. */
        SYNC_REQUEST,
        /** Carries as many of the differing records as fit. */
        SYNC_RESPONSE
    }

    /**
     * Validates the message.
     *
     * @throws IllegalArgumentException if a value is out of range; its message names the field
     */
    public GossipMessage {
        MemberRecord.checkText("from", sender, MemberRecord.MAX_NAME_LENGTH, 1);
        MemberRecord.checkText("about", subject, MemberRecord.MAX_NAME_LENGTH, 0);
        records = List.copyOf(records);
        bucketDigests = List.copyOf(bucketDigests);
        if (kind == null) {
            throw new IllegalArgumentException("kind: is missing");
        }
        if (senderIncarnation < 0 || page < 0 || pageCount < 0) {
            throw new IllegalArgumentException("fromIncarnation, page, pages: none may be below 0");
        }
        if (bucketDigests.size() > MAX_BUCKETS || Integer.bitCount(bucketDigests.size()) > 1) {
            throw new IllegalArgumentException(
                    "buckets: a power of two up to "
                            + MAX_BUCKETS
                            + " is allowed, got "
                            + bucketDigests.size());
        }
        int encodedSize = encodedSize(records) + encodedSizeOfBuckets(bucketDigests.size());
        if (records.size() > MAX_RECORDS || encodedSize > MAX_RECORD_BYTES) {
            throw new IllegalArgumentException(
                    "statements: "
                            + records.size()
                            + " of "
                            + encodedSize
                            + " bytes with the buckets do not fit a datagram");
        }
    }

    /** Creates a message without bucket digests. */
    public GossipMessage(
            String sender,
            long senderIncarnation,
            Kind kind,
            long sequence,
            String subject,
            long digest,
            List<MemberRecord> records,
            int page,
            int pageCount) {
        this(
                sender,
                senderIncarnation,
                kind,
                sequence,
                subject,
                digest,
                records,
                page,
                pageCount,
                List.of());
    }

    private static int encodedSizeOfBuckets(int count) {
        return count == 0
                ? 0
                : 1 + MemberRecord.varintSize(Integer.BYTES * count) + Integer.BYTES * count;
    }

    private static int encodedSize(List<MemberRecord> records) {
        int sum = 0;
        for (MemberRecord record : records) {
            sum += record.encodedSize();
        }
        return sum;
    }

    /** Returns the size of the datagram in bytes, without the fleet's name and network headers. */
    public int encodedSize() {
        return OVERHEAD_BYTES
                + sender.length()
                + MemberRecord.varintSize(senderIncarnation)
                + MemberRecord.varintSize(sequence)
                + subject.length()
                + MemberRecord.varintSize(page)
                + MemberRecord.varintSize(pageCount)
                + encodedSize(records)
                + encodedSizeOfBuckets(bucketDigests.size());
    }
}
