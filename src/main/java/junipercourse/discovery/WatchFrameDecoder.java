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

/** Reads the event bus's frames from bytes that come in any pieces. */
final class WatchFrameDecoder {
    private static final int HEADER_BYTES = 9; // number and kind
    private static final int RECORD_BYTES = 27;
    private static final int INITIAL_BUFFER_BYTES = 1024;
    static final int MAX_FRAME_BYTES = HEADER_BYTES + RECORD_BYTES * 4096;

    /** What a frame carries. */
    enum Kind {
        EMPTY,
        FULL,
        DELTA
    }

    /** One frame. */
    record Frame(Kind kind, long offset, List<EngineEndpoint> endpoints) {}

    /** Bytes that are no frame. */
    static final class MalformedFrameException extends Exception {
        private static final long serialVersionUID = 1L;

        MalformedFrameException(String message) {
            super(message);
        }
    }

    /**
     * Between position and limit: what has come and was not read, one unfinished frame between
     * reads.
     */
    private ByteBuffer pending = ByteBuffer.allocate(INITIAL_BUFFER_BYTES).limit(0);

    /**
     * Adds what has come. Room doubles, so that a long frame in small pieces is not copied once for
     * each of them; it stays under twice the longest frame and what is added at once.
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

    /** The bytes of memory held for what has come. */
    int bufferCapacity() {
        return pending.capacity();
    }

    /** The next whole frame, or null if more bytes are needed. */
    Frame decodeNext() throws MalformedFrameException {
        if (pending.remaining() < Integer.BYTES) {
            return null;
        }
        long frameBytes = pending.getInt(pending.position()) & 0xffffffffL;
        if (frameBytes < HEADER_BYTES || frameBytes > MAX_FRAME_BYTES) {
            throw new MalformedFrameException("frame of " + frameBytes + " bytes");
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
                    "frame of kind " + kind + " with " + payloadBytes + " bytes");
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
            throw new MalformedFrameException("engine state " + stage);
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
            throw new MalformedFrameException("engine address");
        }
    }
}
