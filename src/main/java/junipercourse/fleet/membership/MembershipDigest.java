package junipercourse.fleet.membership;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import net.openhft.hashing.LongHashFunction;

/**
 * The digest that members compare: sums of a hash of each record, one over all and one for each
 * bucket of names, so that two members whose digests differ exchange only the buckets that differ.
 * Each change updates it in constant time. Members that have left are not included.
 */
final class MembershipDigest {
    private static final int MAX_TEXT_BYTES =
            MemberRecord.MAX_NAME_LENGTH
                    + MemberRecord.MAX_ADDRESS_LENGTH
                    + MemberRecord.MAX_ZONE_LENGTH;
    private static final int TEXT_COUNT = 3; // each is preceded by a length byte
    private static final LongHashFunction HASH = LongHashFunction.xx3();

    /** Members for each bucket digest; a response has space for the records of about 3 buckets. */
    private static final int MEMBERS_PER_BUCKET = 8;

    private final long[] bucketSums = new long[GossipMessage.MAX_BUCKETS];
    private long totalSum;

    /** Returns the digest over all members; never 0, which stands for none. */
    long value() {
        return totalSum == 0 ? 1 : totalSum;
    }

    /** Adds a member's record. */
    void add(PeerState peer) {
        peer.recordHash = hash(peer.record);
        addHash(peer, peer.recordHash);
    }

    /** Removes a member's record, by the hash with which it was added. */
    void remove(PeerState peer) {
        addHash(peer, -peer.recordHash);
    }

    private void addHash(PeerState peer, long hash) {
        bucketSums[peer.digestBucket] += hash;
        totalSum += hash;
    }

    /** Returns the bucket of a name. */
    static int bucketOf(String name) {
        return (int) HASH.hashBytes(name.getBytes(StandardCharsets.US_ASCII))
                & GossipMessage.MAX_BUCKETS - 1;
    }

    /** Returns the bucket digests; their number is a power of two that suits the member count. */
    List<Integer> bucketDigests(int memberCount) {
        return foldTo(
                Integer.highestOneBit(
                        Math.max(
                                1,
                                Math.min(
                                        GossipMessage.MAX_BUCKETS,
                                        memberCount / MEMBERS_PER_BUCKET))));
    }

    /** Combines the buckets into a smaller power of two, by the lower bits of their numbers. */
    private List<Integer> foldTo(int bucketCount) {
        List<Integer> digests = new ArrayList<>(bucketCount);
        for (int bucket = 0; bucket < bucketCount; bucket++) {
            long sum = 0;
            for (int sourceBucket = bucket;
                    sourceBucket < bucketSums.length;
                    sourceBucket += bucketCount) {
                sum += bucketSums[sourceBucket];
            }
            digests.add((int) (sum ^ sum >>> Integer.SIZE));
        }
        return digests;
    }

    /** Returns a predicate that tells whether a name's bucket differs from that of a peer. */
    Predicate<String> differsFrom(List<Integer> peerBucketDigests) {
        List<Integer> ownBucketDigests = foldTo(peerBucketDigests.size());
        int bucketMask = peerBucketDigests.size() - 1;
        return name ->
                !ownBucketDigests
                        .get(bucketOf(name) & bucketMask)
                        .equals(peerBucketDigests.get(bucketOf(name) & bucketMask));
    }

    private static long hash(MemberRecord record) {
        if (record.status() == MemberStatus.LEFT) {
            return 0;
        }
        ByteBuffer bytes = ByteBuffer.allocate(Long.BYTES + 1 + MAX_TEXT_BYTES + TEXT_COUNT);
        bytes.putLong(record.incarnation()).put((byte) (record.isPresent() ? 1 : 0));
        putText(bytes, record.name());
        putText(bytes, record.address());
        putText(bytes, record.zone());
        return HASH.hashBytes(bytes.array(), 0, bytes.position());
    }

    private static void putText(ByteBuffer bytes, String text) {
        bytes.put((byte) text.length()).put(text.getBytes(StandardCharsets.US_ASCII));
    }
}
