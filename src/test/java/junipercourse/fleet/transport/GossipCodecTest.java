package junipercourse.fleet.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.CodedOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.zip.CRC32C;
import junipercourse.fleet.membership.GossipMessage;
import junipercourse.fleet.membership.MemberRecord;
import junipercourse.fleet.membership.MemberStatus;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/**
 * Messages survive encoding and decoding; damaged, foreign and newer datagrams are dropped with
 * their reason.
 */
class GossipCodecTest {
    private static final GossipMessage SMALL_MESSAGE =
            new GossipMessage("n1", 7, GossipMessage.Kind.PING, 3, "n2", -1, List.of(), 0, 0);

    private static String randomText(Random random, int minLength, int maxLength) {
        return random.ints(minLength + random.nextInt(maxLength - minLength + 1), '!', '~' + 1)
                .collect(StringBuilder::new, StringBuilder::appendCodePoint, StringBuilder::append)
                .toString();
    }

    /** Returns a message up to its own bounds, to test that it still fits into a datagram. */
    private static GossipMessage randomMessage(Random random) {
        List<MemberRecord> records = new ArrayList<>();
        List<Integer> buckets = new ArrayList<>();
        for (int i = random.nextBoolean() ? 0 : 1 << random.nextInt(7); i > 0; i--) {
            buckets.add(random.nextInt());
        }
        int bytes = buckets.isEmpty() ? 0 : 3 + 4 * buckets.size();
        for (int i = random.nextInt(GossipMessage.MAX_RECORDS + 1); i > 0; i--) {
            MemberRecord record =
                    new MemberRecord(
                            randomText(random, 1, 40),
                            random.nextLong() >>> 1,
                            random.nextLong() >>> 1,
                            MemberStatus.values()[random.nextInt(4)],
                            randomText(random, 1, 48),
                            randomText(random, 0, 40));
            bytes += record.encodedSize();
            if (bytes <= GossipMessage.MAX_RECORD_BYTES) {
                records.add(record);
            }
        }
        return new GossipMessage(
                randomText(random, 1, 40),
                random.nextLong() >>> 1,
                GossipMessage.Kind.values()[random.nextInt(5)],
                random.nextLong(),
                randomText(random, 0, 40),
                random.nextLong(),
                records,
                random.nextInt(100),
                random.nextInt(100),
                buckets);
    }

    @Property(tries = 2000, seed = "28")
    void everyMessageFitsAndRoundTripsAndABitFlipIsDamaged(@ForAll long seed) {
        Random random = new Random(seed);
        String fleet = randomText(random, 1, 40);
        GossipCodec codec = new GossipCodec(fleet);
        GossipMessage message = randomMessage(random);
        ByteBuffer bytes = ByteBuffer.allocate(GossipCodec.MAX_DATAGRAM_BYTES);
        assertTrue(codec.encode(message, bytes), () -> "does not fit: " + message);
        assertEquals(new GossipCodec.Decoded(message, null), codec.decode(bytes));
        assertEquals(
                bytes.limit(),
                message.encodedSize() + fleet.length(),
                "the send budget counts exactly these bytes");
        int bit = random.nextInt(bytes.limit() * 8);
        bytes.rewind().put(bit / 8, (byte) (bytes.get(bit / 8) ^ 1 << bit % 8));
        assertEquals(DropReason.DAMAGED, codec.decode(bytes).dropReason());
    }

    @Property(tries = 2000, seed = "29")
    void garbageWithValidChecksumIsDecodedOrDropped(@ForAll byte[] garbage) {
        ByteBuffer bytes = withChecksum(garbage);
        GossipCodec.Decoded decoded = new GossipCodec("f").decode(bytes);
        assertTrue(decoded.message() == null != (decoded.dropReason() == null));
    }

    private static ByteBuffer withChecksum(byte[] body) {
        CRC32C crc = new CRC32C();
        crc.update(body);
        return ByteBuffer.allocate(4 + body.length).putInt((int) crc.getValue()).put(body).rewind();
    }

    @Test
    void otherFleetsAndFormatsAreDroppedWithTheirReason() throws Exception {
        GossipCodec codec = new GossipCodec("f");
        ByteBuffer bytes = ByteBuffer.allocate(GossipCodec.MAX_DATAGRAM_BYTES);
        codec.encode(SMALL_MESSAGE, bytes);
        assertEquals(DropReason.OTHER_FLEET, new GossipCodec("g").decode(bytes).dropReason());
        assertEquals(
                DropReason.NEWER_FORMAT, new GossipCodec("f", 0, 0).decode(bytes).dropReason());
        assertEquals(
                DropReason.UNREADABLE,
                new GossipCodec("f", 2, 0).decode(bytes).dropReason(),
                "an older major version");
        byte[] body = Arrays.copyOfRange(bytes.array(), 4, bytes.limit());
        byte[] withUnknownField = Arrays.copyOf(body, body.length + 5);
        CodedOutputStream.newInstance(withUnknownField, body.length, 5).writeFixed32(13, 7);
        assertEquals(
                new GossipCodec.Decoded(SMALL_MESSAGE, null),
                codec.decode(withChecksum(withUnknownField)),
                "a field of a later minor version");
        byte[] withUnknownKind = Arrays.copyOf(body, body.length + 2);
        CodedOutputStream.newInstance(withUnknownKind, body.length, 2).writeUInt32(6, 9);
        assertEquals(
                DropReason.UNREADABLE, codec.decode(withChecksum(withUnknownKind)).dropReason());
        assertEquals(
                DropReason.UNREADABLE,
                codec.decode(withChecksum(Arrays.copyOf(body, 9))).dropReason(),
                "no complete message");
        assertEquals(
                DropReason.TOO_LONG,
                codec.decode(ByteBuffer.allocate(GossipCodec.MAX_DATAGRAM_BYTES + 1)).dropReason());
        assertEquals(DropReason.DAMAGED, codec.decode(ByteBuffer.allocate(0)).dropReason());
    }

    /**
     * A flooding address is limited without affecting the others, the total is limited as well, and
     * unused amounts accumulate for at most a second.
     */
    @Test
    void rateLimitHoldsPerAddressAndInTotal() {
        RateLimiter rateLimiter = new RateLimiter(10, 25);
        assertEquals(10, countAccepted(rateLimiter, "a", 100, 0));
        assertEquals(10, countAccepted(rateLimiter, "b", 100, 0));
        assertEquals(5, countAccepted(rateLimiter, "c", 100, 0));
        assertEquals(5, countAccepted(rateLimiter, "a", 100, 0.5));
        assertEquals(10, countAccepted(rateLimiter, "a", 100, 60));
        assertFalse(
                rateLimiter.tryTake("d", 11, 60),
                "more than one second's amount is never accepted");
    }

    private static int countAccepted(
            RateLimiter rateLimiter, String address, int attempts, double now) {
        int accepted = 0;
        for (int i = 0; i < attempts; i++) {
            accepted += rateLimiter.tryTake(address, 1, now) ? 1 : 0;
        }
        return accepted;
    }
}
