package junipercourse.roster;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import junipercourse.core.Backend.Member;
import junipercourse.decision.DispatchApi.Engine;
import junipercourse.decision.DispatchApi.EngineId;
import junipercourse.decision.DispatchApi.Stage;

/** Reads the event bus's frames from bytes that come in any pieces. */
final class BusFrames {
    private static final int HEAD = 9; // number and kind
    private static final int RECORD = 27;
    private static final int MAX_FRAME = HEAD + RECORD * 4096;

    /** What a frame carries. */
    enum Kind { NOTHING, WHOLE, CHANGES }

    /** One frame. */
    record Frame(Kind kind, long number, List<Member> members) { }

    /** Bytes that are no frame. */
    static final class GarbledException extends Exception {
        private static final long serialVersionUID = 1L;

        GarbledException(String message) {
            super(message);
        }
    }

    private ByteBuffer pending = ByteBuffer.allocate(1024).limit(0);

    /** Adds what has come. */
    void add(ByteBuffer bytes) {
        ByteBuffer wider = ByteBuffer.allocate(pending.remaining() + bytes.remaining());
        pending = wider.put(pending).put(bytes).flip();
    }

    /** The next whole frame, or null if more bytes are needed. */
    Frame next() throws GarbledException {
        if (pending.remaining() < Integer.BYTES) {
            return null;
        }
        long length = pending.getInt(pending.position()) & 0xffffffffL;
        if (length < HEAD || length > MAX_FRAME) {
            throw new GarbledException("frame of " + length + " bytes");
        }
        if (pending.remaining() < Integer.BYTES + length) {
            return null;
        }
        pending.getInt();
        long number = pending.getLong();
        int kind = pending.get() & 0xff;
        int payload = (int) length - HEAD;
        if (kind >= Kind.values().length || payload % RECORD != 0 || kind == 0 && payload > 0) {
            throw new GarbledException("frame of kind " + kind + " with " + payload + " bytes");
        }
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < payload / RECORD; i++) {
            members.add(member());
        }
        return new Frame(Kind.values()[kind], number, members);
    }

    private Member member() throws GarbledException {
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
        if (state >= Stage.values().length) {
            throw new GarbledException("engine state " + state);
        }
        try {
            return new Member(new Engine(id, zone, kind, cell, Stage.values()[state], weight, started),
                    new InetSocketAddress(InetAddress.getByAddress(address), port));
        } catch (UnknownHostException e) {
            throw new GarbledException("engine address");
        }
    }
}
