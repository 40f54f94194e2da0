package junipercourse.pg;

import java.nio.ByteBuffer;
import java.util.Arrays;

/** Splits a client's byte stream into start-up packets and messages. */
final class FrontendMessageDecoder {
    static final int MAX_STARTUP_BYTES = 10_000; // as in a PostgreSQL server
    static final int MAX_MESSAGE_BYTES = 64 * 1024; // for hundreds of clients at once
    private static final int MIN_BUFFER_BYTES = 512;

    private byte[] buffer = new byte[MIN_BUFFER_BYTES];
    private int readIndex;
    private int writeIndex;

    /** Thrown for bytes that are not a valid message. */
    static final class MalformedMessageException extends Exception {
        private static final long serialVersionUID = 1L;

        MalformedMessageException(String message) {
            super(message);
        }
    }

    /** A message: its type, or 0 for a start-up packet, and the bytes after the length. */
    record Message(char type, byte[] body) {}

    void append(ByteBuffer bytes) {
        int buffered = writeIndex - readIndex;
        int addedBytes = bytes.remaining();
        if (writeIndex + addedBytes > buffer.length) {
            byte[] target =
                    buffered + addedBytes > buffer.length
                            ? new byte[Math.max(MIN_BUFFER_BYTES, (buffered + addedBytes) * 2)]
                            : buffer;
            System.arraycopy(buffer, readIndex, target, 0, buffered);
            buffer = target;
            readIndex = 0;
            writeIndex = buffered;
        }
        bytes.get(buffer, writeIndex, addedBytes);
        writeIndex += addedBytes;
    }

    /** Returns the number of bytes that are not yet part of a returned message. */
    int bufferedBytes() {
        return writeIndex - readIndex;
    }

    /** Returns the next start-up packet, or null if more bytes are needed. */
    Message nextStartupPacket() throws MalformedMessageException {
        return extract(0, MAX_STARTUP_BYTES, 8);
    }

    /** Returns the next message, or null if more bytes are needed. */
    Message nextMessage() throws MalformedMessageException {
        return extract(1, MAX_MESSAGE_BYTES, 4);
    }

    /** Whether {@link #nextStartupPacket} would return a packet or fail. */
    boolean hasStartupPacket() {
        return hasMessage(0, MAX_STARTUP_BYTES);
    }

    /** Whether {@link #nextMessage} would return a message or fail. */
    boolean hasMessage() {
        return hasMessage(1, MAX_MESSAGE_BYTES);
    }

    private boolean hasMessage(int typeBytes, int maxLength) {
        if (bufferedBytes() < typeBytes + 4) {
            return false;
        }
        long length = nextLength(typeBytes);
        return length > maxLength || bufferedBytes() >= typeBytes + length;
    }

    private long nextLength(int typeBytes) {
        return ByteBuffer.wrap(buffer).getInt(readIndex + typeBytes) & 0xffffffffL;
    }

    private Message extract(int typeBytes, int maxLength, int minLength)
            throws MalformedMessageException {
        if (bufferedBytes() < typeBytes + 4) {
            return null;
        }
        long length = nextLength(typeBytes);
        if (length < minLength || length > maxLength) {
            throw new MalformedMessageException("a message of " + length + " bytes");
        }
        int totalLength = typeBytes + (int) length;
        if (bufferedBytes() < totalLength) {
            return null;
        }
        char type = typeBytes == 0 ? 0 : (char) (buffer[readIndex] & 0xff);
        byte[] body =
                Arrays.copyOfRange(buffer, readIndex + typeBytes + 4, readIndex + totalLength);
        readIndex += totalLength;
        if (readIndex == writeIndex) {
            readIndex = 0;
            writeIndex = 0;
            if (buffer.length > 16 * MIN_BUFFER_BYTES) {
                buffer = new byte[MIN_BUFFER_BYTES]; // shrinks after a large message
            }
        }
        return new Message(type, body);
    }
}
