package junipercourse.pg;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class FrontendMessageDecoderTest {
    /** A start-up packet, an empty query and the goodbye, as they may come in one piece. */
    private static final byte[] BYTES = {
        0, 0, 0, 9, 0, 3, 0, 0, 0, 'Q', 0, 0, 0, 5, 0, 'X', 0, 0, 0, 4
    };

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 7, 9, 10, 20})
    void cutsMessagesFromAnyPieces(int piece)
            throws FrontendMessageDecoder.MalformedMessageException {
        FrontendMessageDecoder in = new FrontendMessageDecoder();
        List<FrontendMessageDecoder.Message> got = new ArrayList<>();
        for (int at = 0; at < BYTES.length; at += piece) {
            in.add(ByteBuffer.wrap(BYTES, at, Math.min(piece, BYTES.length - at)));
            FrontendMessageDecoder.Message m = got.isEmpty() ? in.startup() : in.message();
            while (m != null) {
                got.add(m);
                m = in.message();
            }
        }
        assertEquals(
                List.of((char) 0, 'Q', 'X'),
                got.stream().map(FrontendMessageDecoder.Message::type).toList());
        assertArrayEquals(new byte[] {0, 3, 0, 0, 0}, got.get(0).body());
        assertEquals(0, in.held());
    }

    @ParameterizedTest
    @ValueSource(ints = {-1, 0, 3, FrontendMessageDecoder.MAX_MESSAGE + 1, Integer.MAX_VALUE})
    void refusesLengthsOutOfRange(int length) {
        FrontendMessageDecoder in = new FrontendMessageDecoder();
        in.add(ByteBuffer.allocate(5).put((byte) 'Q').putInt(length).flip());
        assertThrows(FrontendMessageDecoder.MalformedMessageException.class, in::message);
    }

    @Test
    void holdsALargeMessageUntilItIsWhole()
            throws FrontendMessageDecoder.MalformedMessageException {
        FrontendMessageDecoder in = new FrontendMessageDecoder();
        int length = 50_000;
        in.add(ByteBuffer.allocate(5).put((byte) 'Q').putInt(length).flip());
        in.add(ByteBuffer.allocate(length - 5));
        assertNull(in.message());
        in.add(ByteBuffer.allocate(1));
        assertEquals(length - 4, in.message().body().length);
    }
}
