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
    private static final int HEAD = 9; // number and kind
    private static final int RECORD = 27;
    private static final int FIRST_ROOM = 1024;
    static final int MAX_FRAME = HEAD + RECORD * 4096;

    /** What a frame carries. */
    enum Kind {
        NOTHING,
        WHOLE,
        CHANGES
    }

    /** One frame. */
    record Frame(Kind kind, long number, List<EngineEndpoint> members) {}

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
    private ByteBuffer pending = ByteBuffer.allocate(FIRST_ROOM).limit(0);

    /**
     * Adds what has come. Room doubles, so that a long frame in small pieces is not copied once for
     * each of them; it stays under twice the longest frame and what is added at once.
     */
    void add(ByteBuffer bytes) {
        int needed = pending.remaining() + bytes.remaining();
        if (needed > pending.capacity()) {
            pending =
                    ByteBuffer.allocate(Math.max(needed, 2 * pending.capacity()))
                            .put(pending)
                            .flip();
        } else if (pending.limit() + bytes.remaining() > pending.capacity()) {
            pending.compact().flip();
        }
        int end = pending.limit();
        pending.limit(end + bytes.remaining());
        pending.put(end, bytes, bytes.position(), bytes.remaining());
        bytes.position(bytes.limit());
    }

    /** The bytes of memory held for what has come. */
    int room() {
        return pending.capacity();
    }

    /** The next whole frame, or null if more bytes are needed. */
    Frame next() throws MalformedFrameException {
        if (pending.remaining() < Integer.BYTES) {
            return null;
        }
        long length = pending.getInt(pending.position()) & 0xffffffffL;
        if (length < HEAD || length > MAX_FRAME) {
            throw new MalformedFrameException("frame of " + length + " bytes");
        }
        if (pending.remaining() < Integer.BYTES + length) {
            return null;
        }
        pending.getInt();
        long number = pending.getLong();
        int kind = pending.get() & 0xff;
        int payload = (int) length - HEAD;
        if (kind >= Kind.values().length || payload % RECORD != 0 || kind == 0 && payload > 0) {
            throw new MalformedFrameException(
                    "frame of kind " + kind + " with " + payload + " bytes");
        }
        List<EngineEndpoint> members = new ArrayList<>();
        for (int i = 0; i < payload / RECORD; i++) {
            members.add(member());
        }
        return new Frame(Kind.values()[kind], number, members);
    }

    private EngineEndpoint member() throws MalformedFrameException {
        EngineId id = new EngineId(pending.getInt() & 0xffffffffL);
        byte[] address = new byte[4];
        pending.get(address);
        int port = pending.getShort() & 0xffff;
        int state = pending.get() & 0xff;
        int zone = pending.get() & 0xff;
        int kind = pending.get() & 0xff;
        int cell = pending.getShort() & 0xffff;
        double weight = (pending.getInt() & 0xffffffffL) / 1000.0;
        double started = pending.getLong() / 1000.0;
        if (state >= EngineStage.values().length) {
            throw new MalformedFrameException("engine state " + state);
        }
        try {
            return new EngineEndpoint(
                    new EngineListing(
                            id, zone, kind, cell, EngineStage.values()[state], weight, started),
                    new InetSocketAddress(InetAddress.getByAddress(address), port));
        } catch (UnknownHostException e) {
            throw new MalformedFrameException("engine address");
        }
    }
}
