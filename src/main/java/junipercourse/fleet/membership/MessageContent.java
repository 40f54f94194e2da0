package junipercourse.fleet.membership;

import java.util.List;
import junipercourse.fleet.membership.GossipMessage.Kind;

/**
 * The content of a message to send, without the sender's own state. The components are those of
 * {@link GossipMessage}.
 *
 * @param records records to include after the sender's own
 */
record MessageContent(
        Kind kind,
        long sequence,
        String subject,
        List<MemberRecord> records,
        int pageCount,
        List<Integer> bucketDigests) {

    /** Creates the content of a message with no records but the sender's own. */
    MessageContent(Kind kind, long sequence, String subject) {
        this(kind, sequence, subject, List.of());
    }

    /** Creates the content of a message with records but without bucket digests. */
    MessageContent(Kind kind, long sequence, String subject, List<MemberRecord> records) {
        this(kind, sequence, subject, records, 0, List.of());
    }

    /**
     * Returns true if updates may be piggybacked; anti-entropy needs all space for its own data.
     */
    boolean allowsUpdates() {
        return kind != Kind.SYNC_RESPONSE && bucketDigests.isEmpty();
    }
}
