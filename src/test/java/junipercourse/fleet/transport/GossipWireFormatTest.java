package junipercourse.fleet.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.ByteBuffer;
import java.util.HexFormat;
import java.util.List;
import java.util.stream.Stream;
import junipercourse.fleet.membership.GossipMessage;
import junipercourse.fleet.membership.MemberRecord;
import junipercourse.fleet.membership.MemberStatus;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Pins the bytes of each kind of gossip datagram, so that different versions in one fleet
 * understand each other.
 */
class GossipWireFormatTest {
    private static final MemberRecord ALIVE =
            new MemberRecord("n1", 0x1_0000_002aL, 2, MemberStatus.ALIVE, "127.0.0.1:7101", "east");

    private static String encodeToHex(GossipMessage message) {
        ByteBuffer bytes = ByteBuffer.allocate(GossipCodec.MAX_DATAGRAM_BYTES);
        new GossipCodec("fleet").encode(message, bytes);
        return HexFormat.of().formatHex(bytes.array(), 0, bytes.limit());
    }

    private static Stream<Arguments> kindsAndBytes() {
        return Stream.of(
                Arguments.of(
                        0,
                        "b4b418cf0a05666c6565741001180122026e3128aa808080103001380942026e3249ffff"
                            + "ffffffffffff5000580062240a026e3110aa80808010180220012a0e3132372e302e302e"
                            + "313a37313031320465617374"),
                Arguments.of(
                        1,
                        "6ec60d220a05666c6565741001180122026e3128aa808080103002380942026e3249ffff"
                            + "ffffffffffff5000580062240a026e3110aa80808010180220012a0e3132372e302e302e"
                            + "313a37313031320465617374"),
                Arguments.of(
                        2,
                        "dbb3d3d60a05666c6565741001180122026e3128aa808080103003380942026e3249ffff"
                            + "ffffffffffff5000580062240a026e3110aa80808010180220012a0e3132372e302e302e"
                            + "313a37313031320465617374"),
                Arguments.of(
                        3,
                        "8ec6ee4f0a05666c6565741001180122026e3128aa808080103004380942026e3249ffff"
                            + "ffffffffffff50005800720801000000feffffff62240a026e3110aa8080801018022001"
                            + "2a0e3132372e302e302e313a37313031320465617374"),
                Arguments.of(
                        4,
                        "0bb98d7f0a05666c6565741001180122026e3128aa808080103005380942026e3249ffff"
                            + "ffffffffffff5000580362240a026e3110aa80808010180220012a0e3132372e302e302e"
                            + "313a37313031320465617374"));
    }

    @ParameterizedTest
    @MethodSource("kindsAndBytes")
    void encodesEachKindOfMessageAsBefore(int kind, String expected) {
        List<Integer> buckets = kind == 3 ? List.of(1, -2) : List.of();
        GossipMessage message =
                new GossipMessage(
                        "n1",
                        0x1_0000_002aL,
                        GossipMessage.Kind.values()[kind],
                        9,
                        "n2",
                        -1,
                        List.of(ALIVE),
                        0,
                        kind == 4 ? 3 : 0,
                        buckets);
        assertEquals(expected, encodeToHex(message));
    }

    @Test
    void encodesEachMemberStatusAsBefore() {
        List<MemberRecord> records =
                java.util.Arrays.stream(MemberStatus.values())
                        .map(status -> new MemberRecord("m", 1, 3, status, "h:1", ""))
                        .toList();
        assertEquals(
                "36f3e15e0a05666c6565741001180122026e312800300138004200490000000000000000"
                        + "5000580062100a016d1001180320012a03683a31320062100a016d1001180320022a0368"
                        + "3a31320062100a016d1001180320032a03683a31320062100a016d1001180320042a0368"
                        + "3a313200",
                encodeToHex(
                        new GossipMessage(
                                "n1", 0, GossipMessage.Kind.PING, 0, "", 0, records, 0, 0)));
    }
}
