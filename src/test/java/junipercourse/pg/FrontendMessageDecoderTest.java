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
    /** A start-up packet, an empty query and a Terminate message, sent in one piece. */
    private static final byte[] BYTES = {
        0, 0, 0, 9, 0, 3, 0, 0, 0, 'Q', 0, 0, 0, 5, 0, 'X', 0, 0, 0, 4
    };

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 7, 9, 10, 20})
    void decodesMessagesSplitAtAnyPosition(int pieceLength)
            throws FrontendMessageDecoder.MalformedMessageException {
        FrontendMessageDecoder decoder = new FrontendMessageDecoder();
        List<FrontendMessageDecoder.Message> messages = new ArrayList<>();
        for (int offset = 0; offset < BYTES.length; offset += pieceLength) {
            decoder.append(
                    ByteBuffer.wrap(BYTES, offset, Math.min(pieceLength, BYTES.length - offset)));
            FrontendMessageDecoder.Message message =
                    messages.isEmpty() ? decoder.nextStartupPacket() : decoder.nextMessage();
            while (message != null) {
                messages.add(message);
                message = decoder.nextMessage();
            }
        }
        assertEquals(
                List.of((char) 0, 'Q', 'X'),
                messages.stream().map(FrontendMessageDecoder.Message::type).toList());
        assertArrayEquals(new byte[] {0, 3, 0, 0, 0}, messages.get(0).body());
        assertEquals(0, decoder.bufferedBytes());
    }

    @ParameterizedTest
    @ValueSource(ints = {-1, 0, 3, FrontendMessageDecoder.MAX_MESSAGE_BYTES + 1, Integer.MAX_VALUE})
    void rejectsLengthsOutOfRange(int length) {
        FrontendMessageDecoder decoder = new FrontendMessageDecoder();
        decoder.append(ByteBuffer.allocate(5).put((byte) 'Q').putInt(length).flip());
        assertThrows(FrontendMessageDecoder.MalformedMessageException.class, decoder::nextMessage);
    }

    @Test
    void buffersLargeMessageUntilComplete()
            throws FrontendMessageDecoder.MalformedMessageException {
        FrontendMessageDecoder decoder = new FrontendMessageDecoder();
        int length = 50_000;
        decoder.append(ByteBuffer.allocate(5).put((byte) 'Q').putInt(length).flip());
        decoder.append(ByteBuffer.allocate(length - 5));
        assertNull(decoder.nextMessage());
        decoder.append(ByteBuffer.allocate(1));
        assertEquals(length - 4, decoder.nextMessage().body().length);
    }
}
