package junipercourse.discovery;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import junipercourse.core.Backend.EngineEndpoint;
import junipercourse.decision.api.EngineId;
import junipercourse.decision.api.EngineListing;
import junipercourse.decision.api.EngineStage;

/** Decodes event bus frames from bytes that may arrive in pieces of any size. */
final class WatchFrameDecoder {
    private static final int HEADER_BYTES = 9; // event number and kind
    private static final int RECORD_BYTES = 27;
    private static final int INITIAL_BUFFER_BYTES = 1024;
    static final int MAX_FRAME_BYTES = HEADER_BYTES + RECORD_BYTES * 4096;

    /** Content of a frame; the order is that of the codes on the wire. */
    enum Kind {
        EMPTY,
        FULL,
        DELTA
    }

    record Frame(Kind kind, long offset, List<EngineEndpoint> endpoints) {}

    /** Reports bytes that are not a valid frame. */
    static final class MalformedFrameException extends Exception {
        private static final long serialVersionUID = 1L;

        MalformedFrameException(String message) {
            super(message);
        }
    }

    /**
     * Received bytes that are not decoded yet, between position and limit. After each read at most
     * one incomplete frame remains.
     */
    private ByteBuffer pending = ByteBuffer.allocate(INITIAL_BUFFER_BYTES).limit(0);

    /**
     * Appends received bytes. The buffer doubles, so that a long frame that arrives in small pieces
     * is not copied for each of them; its capacity stays below twice the sum of the longest frame
     * and the bytes added at once.
     */
    void add(ByteBuffer bytes) {
        int neededBytes = pending.remaining() + bytes.remaining();
        if (neededBytes > pending.capacity()) {
            pending =
                    ByteBuffer.allocate(Math.max(neededBytes, 2 * pending.capacity()))
                            .put(pending)
                            .flip();
        } else if (pending.limit() + bytes.remaining() > pending.capacity()) {
            pending.compact().flip();
        }
        int endOffset = pending.limit();
        pending.limit(endOffset + bytes.remaining());
        pending.put(endOffset, bytes, bytes.position(), bytes.remaining());
        bytes.position(bytes.limit());
    }

    /** Returns the capacity of the buffer in bytes. */
    int bufferCapacity() {
        return pending.capacity();
    }

    /** Returns the next complete frame, or null if more bytes are needed. */
    Frame decodeNext() throws MalformedFrameException {
        if (pending.remaining() < Integer.BYTES) {
            return null;
        }
        long frameBytes = pending.getInt(pending.position()) & 0xffffffffL;
        if (frameBytes < HEADER_BYTES || frameBytes > MAX_FRAME_BYTES) {
            throw new MalformedFrameException("invalid frame length: " + frameBytes + " bytes");
        }
        if (pending.remaining() < Integer.BYTES + frameBytes) {
            return null;
        }
        pending.getInt();
        long offset = pending.getLong();
        int kind = pending.get() & 0xff;
        int payloadBytes = (int) frameBytes - HEADER_BYTES;
        if (kind >= Kind.values().length
                || payloadBytes % RECORD_BYTES != 0
                || kind == 0 && payloadBytes > 0) {
            throw new MalformedFrameException(
                    "invalid frame: kind " + kind + ", payload of " + payloadBytes + " bytes");
        }
        List<EngineEndpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < payloadBytes / RECORD_BYTES; i++) {
            endpoints.add(readEndpoint());
        }
        return new Frame(Kind.values()[kind], offset, endpoints);
    }

    private EngineEndpoint readEndpoint() throws MalformedFrameException {
        EngineId id = new EngineId(pending.getInt() & 0xffffffffL);
        byte[] address = new byte[4];
        pending.get(address);
        int port = pending.getShort() & 0xffff;
        int stage = pending.get() & 0xff;
        int zone = pending.get() & 0xff;
        int kind = pending.get() & 0xff;
        int cell = pending.getShort() & 0xffff;
        double weight = (pending.getInt() & 0xffffffffL) / 1000.0;
        double startedAtSeconds = pending.getLong() / 1000.0;
        if (stage >= EngineStage.values().length) {
            throw new MalformedFrameException("invalid engine state: " + stage);
        }
        try {
            return new EngineEndpoint(
                    new EngineListing(
                            id,
                            zone,
                            kind,
                            cell,
                            EngineStage.values()[stage],
                            weight,
                            startedAtSeconds),
                    new InetSocketAddress(InetAddress.getByAddress(address), port));
        } catch (UnknownHostException e) {
            throw new MalformedFrameException("invalid engine address");
        }
    }
}
