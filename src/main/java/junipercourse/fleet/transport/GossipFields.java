package junipercourse.fleet.transport;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.CodedOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import junipercourse.fleet.membership.GossipMessage;
import junipercourse.fleet.membership.MemberRecord;
import junipercourse.fleet.membership.MemberStatus;

/**
 * The fields of a gossip message in protobuf's encoding. In proto3: {@code string from = 4; uint64
 * from_incarnation = 5; uint32 kind = 6; uint64 number = 7; string about = 8; fixed64 digest = 9;
 * uint32 page = 10; uint32 pages = 11; repeated Statement statements = 12}, and in a Statement
 * {@code string name = 1; uint64 incarnation = 2; uint64 version = 3; uint32 standing = 4; string
 * address = 5; string zone = 6}. Minor version 1 adds {@code repeated fixed32 buckets = 14}; 13 was
 * never used. Kinds and statuses are counted from 1 in the order of their declaration.
 */
final class GossipFields {
    /** Bits of a tag that state the type of its field. */
    static final int TAG_TYPE_BITS = 3;

    private static final int SENDER = 4;
    private static final int SENDER_INCARNATION = 5;
    private static final int KIND = 6;
    private static final int SEQUENCE = 7;
    private static final int SUBJECT = 8;
    private static final int DIGEST = 9;
    private static final int PAGE = 10;
    private static final int PAGE_COUNT = 11;
    private static final int RECORD = 12;
    private static final int BUCKETS = 14;

    private static final int RECORD_NAME = 1;
    private static final int RECORD_INCARNATION = 2;
    private static final int RECORD_VERSION = 3;
    private static final int RECORD_STATUS = 4;
    private static final int RECORD_ADDRESS = 5;
    private static final int RECORD_ZONE = 6;

    private static final int VARINT = 0;
    private static final int FIXED64 = 1;
    static final int LENGTH_DELIMITED = 2;

    /** Larger than any encoded record; the buffer never grows. */
    private static final int MAX_RECORD_BYTES = 256;

    private static final List<GossipMessage.Kind> KINDS = List.of(GossipMessage.Kind.values());
    private static final List<MemberStatus> STATUSES = List.of(MemberStatus.values());

    private GossipFields() {}

    /** Writes all fields of a message. */
    static void encode(GossipMessage message, CodedOutputStream out) throws IOException {
        out.writeString(SENDER, message.sender());
        out.writeUInt64(SENDER_INCARNATION, message.senderIncarnation());
        out.writeUInt32(KIND, message.kind().ordinal() + 1);
        out.writeUInt64(SEQUENCE, message.sequence());
        out.writeString(SUBJECT, message.subject());
        out.writeFixed64(DIGEST, message.digest());
        out.writeUInt32(PAGE, message.page());
        out.writeUInt32(PAGE_COUNT, message.pageCount());
        if (!message.bucketDigests().isEmpty()) {
            out.writeTag(BUCKETS, LENGTH_DELIMITED);
            out.writeUInt32NoTag(Integer.BYTES * message.bucketDigests().size());
            for (int bucket : message.bucketDigests()) {
                out.writeFixed32NoTag(bucket);
            }
        }
        byte[] bytes = new byte[MAX_RECORD_BYTES];
        for (MemberRecord record : message.records()) {
            CodedOutputStream recordOut = CodedOutputStream.newInstance(bytes);
            recordOut.writeString(RECORD_NAME, record.name());
            recordOut.writeUInt64(RECORD_INCARNATION, record.incarnation());
            recordOut.writeUInt64(RECORD_VERSION, record.version());
            recordOut.writeUInt32(RECORD_STATUS, record.status().ordinal() + 1);
            recordOut.writeString(RECORD_ADDRESS, record.address());
            recordOut.writeString(RECORD_ZONE, record.zone());
            out.writeByteArray(RECORD, bytes, 0, recordOut.getTotalBytesWritten());
        }
    }

    /**
     * Decodes all fields, starting with the one whose tag has been read already. The message's
     * constructor checks the bounds.
     *
     * @throws IllegalArgumentException if a bound is broken
     */
    static GossipMessage decode(int firstTag, CodedInputStream in) throws IOException {
        String sender = "";
        String subject = "";
        long incarnation = 0;
        long sequence = 0;
        long digest = 0;
        int kind = 0;
        int page = 0;
        int pageCount = 0;
        List<MemberRecord> records = new ArrayList<>();
        List<Integer> bucketDigests = new ArrayList<>();
        for (int tag = firstTag; tag != 0; tag = in.readTag()) {
            switch (tag) {
                case SENDER << TAG_TYPE_BITS | LENGTH_DELIMITED ->
                        sender = in.readStringRequireUtf8();
                case SENDER_INCARNATION << TAG_TYPE_BITS | VARINT -> incarnation = in.readUInt64();
                case KIND << TAG_TYPE_BITS | VARINT -> kind = in.readUInt32();
                case SEQUENCE << TAG_TYPE_BITS | VARINT -> sequence = in.readUInt64();
                case SUBJECT << TAG_TYPE_BITS | LENGTH_DELIMITED ->
                        subject = in.readStringRequireUtf8();
                case DIGEST << TAG_TYPE_BITS | FIXED64 -> digest = in.readFixed64();
                case PAGE << TAG_TYPE_BITS | VARINT -> page = in.readUInt32();
                case PAGE_COUNT << TAG_TYPE_BITS | VARINT -> pageCount = in.readUInt32();
                case RECORD << TAG_TYPE_BITS | LENGTH_DELIMITED -> {
                    int outerLimit = in.pushLimit(in.readRawVarint32());
                    records.add(decodeRecord(in));
                    in.popLimit(outerLimit);
                }
                case BUCKETS << TAG_TYPE_BITS | LENGTH_DELIMITED -> {
                    int outerLimit = in.pushLimit(in.readRawVarint32());
                    while (!in.isAtEnd()) {
                        bucketDigests.add(in.readFixed32());
                    }
                    in.popLimit(outerLimit);
                }
                default -> in.skipField(tag);
            }
        }
        return new GossipMessage(
                sender,
                incarnation,
                enumConstant(KINDS, kind),
                sequence,
                subject,
                digest,
                records,
                page,
                pageCount,
                bucketDigests);
    }

    private static MemberRecord decodeRecord(CodedInputStream in) throws IOException {
        String name = "";
        String address = "";
        String zone = "";
        long incarnation = 0;
        long version = 0;
        int status = 0;
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            switch (tag) {
                case RECORD_NAME << TAG_TYPE_BITS | LENGTH_DELIMITED ->
                        name = in.readStringRequireUtf8();
                case RECORD_INCARNATION << TAG_TYPE_BITS | VARINT -> incarnation = in.readUInt64();
                case RECORD_VERSION << TAG_TYPE_BITS | VARINT -> version = in.readUInt64();
                case RECORD_STATUS << TAG_TYPE_BITS | VARINT -> status = in.readUInt32();
                case RECORD_ADDRESS << TAG_TYPE_BITS | LENGTH_DELIMITED ->
                        address = in.readStringRequireUtf8();
                case RECORD_ZONE << TAG_TYPE_BITS | LENGTH_DELIMITED ->
                        zone = in.readStringRequireUtf8();
                default -> in.skipField(tag);
            }
        }
        return new MemberRecord(
                name, incarnation, version, enumConstant(STATUSES, status), address, zone);
    }

    private static <T> T enumConstant(List<T> values, int ordinal) {
        return ordinal >= 1 && ordinal <= values.size() ? values.get(ordinal - 1) : null;
    }
}
