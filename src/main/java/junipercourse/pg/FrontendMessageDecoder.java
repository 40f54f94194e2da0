package junipercourse.pg;

import java.nio.ByteBuffer;
import java.util.Arrays;

/** Cuts a client's bytes, in whatever pieces they come, into start-up packets and messages. */
final class FrontendMessageDecoder {
    static final int MAX_STARTUP = 10_000; // what a PostgreSQL server takes
    static final int MAX_MESSAGE = 64 * 1024; // some hundred clients may send as much at once
    private static final int LEAST = 512;

    private byte[] buffer = new byte[LEAST];
    private int from;
    private int to;

    /** Bytes that are no message. */
    static final class MalformedMessageException extends Exception {
        private static final long serialVersionUID = 1L;

        MalformedMessageException(String message) {
            super(message);
        }
    }

    /** A message: its type, or 0 for a start-up packet, and what follows the length. */
    record Message(char type, byte[] body) {}

    void add(ByteBuffer bytes) {
        int held = to - from;
        int n = bytes.remaining();
        if (to + n > buffer.length) {
            byte[] room =
                    held + n > buffer.length ? new byte[Math.max(LEAST, (held + n) * 2)] : buffer;
            System.arraycopy(buffer, from, room, 0, held);
            buffer = room;
            from = 0;
            to = held;
        }
        bytes.get(buffer, to, n);
        to += n;
    }

    /** Bytes that no message has been cut from. */
    int held() {
        return to - from;
    }

    /** The next start-up packet, or null if more bytes are needed. */
    Message startup() throws MalformedMessageException {
        return cut(0, MAX_STARTUP, 8);
    }

    /** The next message, or null if more bytes are needed. */
    Message message() throws MalformedMessageException {
        return cut(1, MAX_MESSAGE, 4);
    }

    private Message cut(int typeBytes, int most, int least) throws MalformedMessageException {
        if (held() < typeBytes + 4) {
            return null;
        }
        long length = ByteBuffer.wrap(buffer).getInt(from + typeBytes) & 0xffffffffL;
        if (length < least || length > most) {
            throw new MalformedMessageException("a message of " + length + " bytes");
        }
        int whole = typeBytes + (int) length;
        if (held() < whole) {
            return null;
        }
        char type = typeBytes == 0 ? 0 : (char) (buffer[from] & 0xff);
        byte[] body = Arrays.copyOfRange(buffer, from + typeBytes + 4, from + whole);
        from += whole;
        if (from == to) {
            from = 0;
            to = 0;
            if (buffer.length > 16 * LEAST) {
                buffer =
                        new byte[LEAST]; // one large message is no reason to hold its room for good
            }
        }
        return new Message(type, body);
    }
}
