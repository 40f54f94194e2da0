package junipercourse.fleet.membership;

import com.google.protobuf.CodedOutputStream;

/**
 * The size of a message on the wire: headers of IP and UDP, checksum, and its fields in protobuf's
 * encoding, as {@code fleet.transport} writes them. Computed independently of the protocol's own
 * limits, so that tests measure these instead of repeating them.
 */
final class DatagramSize {
    /** IPv4 and UDP headers, CRC32C. */
    private static final int HEADER_BYTES = 20 + 8 + 4;

    /** The fleet's name and the two version numbers. */
    private static final int FLEET_AND_VERSION_BYTES = 2 + "hobart".length() + 2 + 2;

    private DatagramSize() {}

    static int of(GossipMessage message) {
        int size =
                HEADER_BYTES
                        + FLEET_AND_VERSION_BYTES
                        + 1
                        + CodedOutputStream.computeStringSizeNoTag(message.sender())
                        + 1
                        + varintBytes(message.senderIncarnation())
                        + 2
                        + 1
                        + varintBytes(message.sequence())
                        + 1
                        + CodedOutputStream.computeStringSizeNoTag(message.subject())
                        + 9
                        + 1
                        + varintBytes(message.page())
                        + 1
                        + varintBytes(message.pageCount());
        if (!message.bucketDigests().isEmpty()) {
            int bucketBytes = Integer.BYTES * message.bucketDigests().size();
            size += 1 + varintBytes(bucketBytes) + bucketBytes;
        }
        for (MemberRecord memberRecord : message.records()) {
            int recordBytes = of(memberRecord);
            size += 1 + varintBytes(recordBytes) + recordBytes;
        }
        return size;
    }

    private static int of(MemberRecord memberRecord) {
        return 1
                + CodedOutputStream.computeStringSizeNoTag(memberRecord.name())
                + 1
                + varintBytes(memberRecord.incarnation())
                + 1
                + varintBytes(memberRecord.version())
                + 2
                + 1
                + CodedOutputStream.computeStringSizeNoTag(memberRecord.address())
                + 1
                + CodedOutputStream.computeStringSizeNoTag(memberRecord.zone());
    }

    private static int varintBytes(long number) {
        return CodedOutputStream.computeUInt64SizeNoTag(number);
    }
}
