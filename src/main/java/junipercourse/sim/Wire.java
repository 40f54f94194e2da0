package junipercourse.sim;

import junipercourse.decision.DispatchApi.Actions;
import junipercourse.decision.DispatchApi.Engine;
import junipercourse.decision.DispatchApi.EngineId;
import junipercourse.decision.DispatchApi.Outcome;
import junipercourse.decision.DispatchApi.RequestId;
import junipercourse.decision.DispatchApi.Stage;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** The byte layout of the wire: reading fields of a batch, writing actions into a reply. */
final class Wire {
    static final int FIRED = 256;
    static final int FIRST_BYTE = 257;
    static final int CRASH_NOW = 258;
    static final int INGRESS = 259;
    static final int PROBE_DONE = 260;
    static final int ATTEMPT_END = 261;
    static final int PEER_DATA = 262;
    static final int LEDGER = 263;
    static final int ROSTER_CHANGE = 264;
    static final int NOTICE = 265;
    static final int TARGET_INSTANCE = 266;
    static final int ABANDONED = 267;
    static final int CREATE = 268;
    private static final int MEMORY_STEP_MB = 4;
    private static final int COST_UNIT = 4096;
    private static final int MAX_TEXT = 65535;

    private Wire() { }

    /** Input that is not what the wire allows; the text says what and where. */
    static final class WireException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        WireException(String message) {
            super(message);
        }
    }

    /** Reads the fields of one batch's body, past the length. */
    static final class Reader {
        private final ByteBuffer in;

        Reader(byte[] body) {
            in = ByteBuffer.wrap(body).order(ByteOrder.LITTLE_ENDIAN);
        }

        int position() {
            return in.position();
        }

        int left() {
            return in.remaining();
        }

        int u8() {
            need(1);
            return in.get() & 0xff;
        }

        boolean flag() {
            return u8() != 0;
        }

        int u16() {
            need(2);
            return in.getShort() & 0xffff;
        }

        long u32() {
            need(4);
            return in.getInt() & 0xffffffffL;
        }

        long u64() {
            need(8);
            return in.getLong();
        }

        float f32() {
            need(4);
            return in.getFloat();
        }

        double f64() {
            need(8);
            return in.getDouble();
        }

        byte[] bytes() {
            long n = u32();
            need(n);
            byte[] out = new byte[(int) n];
            in.get(out);
            return out;
        }

        byte[] shortBytes() {
            int n = u16();
            need(n);
            byte[] out = new byte[n];
            in.get(out);
            return out;
        }

        float[] report() {
            float[] out = new float[u8()];
            for (int i = 0; i < out.length; i++) {
                out[i] = f32();
            }
            return out;
        }

        List<Engine> entries() {
            long n = u32();
            need(n * 22);
            List<Engine> out = new ArrayList<>((int) n);
            for (long i = 0; i < n; i++) {
                EngineId id = new EngineId(u32());
                int zone = u8();
                int kind = u16();
                int cell = u16();
                out.add(new Engine(id, zone, kind, cell, stage(u8()), f32(), f64()));
            }
            return out;
        }

        private void need(long n) {
            if (in.remaining() < n) {
                throw new WireException("batch ends inside a field at byte " + in.position());
            }
        }
    }

    static double costSeconds(long note) {
        return (note / COST_UNIT) / 1000.0;
    }

    static double memoryMb(long note) {
        return (note % COST_UNIT) * MEMORY_STEP_MB;
    }

    static Stage stage(int code) {
        return switch (code) {
            case 0 -> Stage.GONE;
            case 1 -> Stage.READY;
            case 2 -> Stage.DRAINING;
            default -> throw new WireException("unknown stage_state " + code);
        };
    }

    static Outcome outcome(int code) {
        return switch (code) {
            case 100 -> Outcome.OK;
            case 301 -> Outcome.ERROR;
            case 302 -> Outcome.TURNED_AWAY;
            case 303 -> Outcome.TIMEOUT;
            case 304 -> Outcome.UNREACHABLE;
            case 305 -> Outcome.RESET;
            case 306 -> Outcome.CANCELLED;
            case 307 -> Outcome.MOOT;
            default -> throw new WireException("unknown disposition " + code);
        };
    }

    /** Collects one reply. Actions are written for the instance named by {@link #speakFor}. */
    static final class Writer implements Actions {
        private ByteBuffer out = ByteBuffer.allocate(4096).order(ByteOrder.LITTLE_ENDIAN);
        private int records;
        private long speaking;
        private long named = -1;

        void begin() {
            out.clear();
            out.position(12);
            records = 0;
            named = -1;
        }

        void speakFor(long instance) {
            speaking = instance;
        }

        void finish(long batch, ByteArrayOutputStream to) {
            int end = out.position();
            out.putInt(0, records).putInt(4, end - 8).putInt(8, (int) batch);
            to.write(out.array(), 0, end);
        }

        private void record(int code, int room) {
            if (named != speaking) {
                named = speaking;
                open(267, 4).putInt((int) speaking);
            }
            open(code, room);
        }

        private ByteBuffer open(int code, int room) {
            if (out.remaining() < room + 2) {
                ByteBuffer wider = ByteBuffer.allocate((out.capacity() + room) * 2)
                        .order(ByteOrder.LITTLE_ENDIAN);
                out.flip();
                wider.put(out);
                out = wider;
            }
            records++;
            return out.putShort((short) code);
        }

        @Override
        public void send(RequestId id, EngineId engine, double giveUpAfter) {
            record(257, 20);
            out.putLong(id.value()).putDouble(giveUpAfter).putInt((int) engine.value());
        }

        @Override
        public void cancel(RequestId id, int attempt) {
            record(258, 9);
            out.putLong(id.value()).put((byte) attempt);
        }

        @Override
        public void refuse(RequestId id, double coolDown) {
            record(264, 16);
            out.putLong(id.value()).putDouble(coolDown);
        }

        @Override
        public void fail(RequestId id) {
            record(261, 8);
            out.putLong(id.value());
        }

        @Override
        public void terms(RequestId id, int priority, double memoryMb) {
            record(259, 13);
            out.putLong(id.value()).put((byte) priority).putFloat((float) memoryMb);
        }

        @Override
        public void timer(double delay, long token) {
            record(256, 12);
            out.putDouble(delay).putInt((int) token);
        }

        @Override
        public void probe(EngineId engine) {
            record(266, 4);
            out.putInt((int) engine.value());
        }

        @Override
        public void tellPeers(byte[] payload) {
            record(268, 4 + payload.length);
            out.putShort((short) 0xffff).putShort((short) payload.length).put(payload);
        }

        @Override
        public void subscribe() {
            record(260, 1);
            out.put((byte) 1);
        }

        @Override
        public void log(String line) {
            text(262, line);
        }

        void fault(String line) {
            text(265, line);
        }

        private void text(int code, String line) {
            byte[] bytes = line.getBytes(StandardCharsets.UTF_8);
            int n = Math.min(bytes.length, MAX_TEXT);
            record(code, 2 + n);
            out.putShort((short) n).put(bytes, 0, n);
        }
    }
}
