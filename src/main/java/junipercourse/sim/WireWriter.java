package junipercourse.sim;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import junipercourse.decision.api.DispatcherActions;
import junipercourse.decision.api.EngineId;
import junipercourse.decision.api.RequestId;

/** Collects one reply. Actions are written for the instance named by {@link #speakFor}. */
final class WireWriter implements DispatcherActions {
    private static final int MAX_TEXT = 65535;

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
            ByteBuffer wider =
                    ByteBuffer.allocate((out.capacity() + room) * 2).order(ByteOrder.LITTLE_ENDIAN);
            out.flip();
            wider.put(out);
            out = wider;
        }
        records++;
        return out.putShort((short) code);
    }

    @Override
    public void startAttempt(RequestId id, EngineId engine, double giveUpAfter) {
        record(257, 20);
        out.putLong(id.value()).putDouble(giveUpAfter).putInt((int) engine.value());
    }

    @Override
    public void cancelAttempt(RequestId id, int attempt) {
        record(258, 9);
        out.putLong(id.value()).put((byte) attempt);
    }

    @Override
    public void reject(RequestId id, double coolDown) {
        record(264, 16);
        out.putLong(id.value()).putDouble(coolDown);
    }

    @Override
    public void fail(RequestId id) {
        record(261, 8);
        out.putLong(id.value());
    }

    @Override
    public void setAttemptParameters(RequestId id, int priority, double memoryMb) {
        record(259, 13);
        out.putLong(id.value()).put((byte) priority).putFloat((float) memoryMb);
    }

    @Override
    public void scheduleTimer(double delay, long token) {
        record(256, 12);
        out.putDouble(delay).putInt((int) token);
    }

    @Override
    public void probeEngine(EngineId engine) {
        record(266, 4);
        out.putInt((int) engine.value());
    }

    @Override
    public void broadcastToPeers(byte[] payload) {
        record(268, 4 + payload.length);
        out.putShort((short) 0xffff).putShort((short) payload.length).put(payload);
    }

    @Override
    public void subscribeToEndpoints() {
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
