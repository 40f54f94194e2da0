package junipercourse.sim;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import junipercourse.decision.api.DispatcherActions;
import junipercourse.decision.api.EngineId;
import junipercourse.decision.api.RequestId;

/** Writes one reply. Actions belong to the instance selected by {@link #selectInstance}. */
final class WireWriter implements DispatcherActions {
    private static final int MAX_TEXT_BYTES = 65535;

    private ByteBuffer buffer = ByteBuffer.allocate(4096).order(ByteOrder.LITTLE_ENDIAN);
    private int records;
    private long selectedInstance;
    private long writtenInstance = -1;

    void begin() {
        buffer.clear();
        buffer.position(12);
        records = 0;
        writtenInstance = -1;
    }

    void selectInstance(long instance) {
        selectedInstance = instance;
    }

    void finish(long batch, ByteArrayOutputStream output) {
        int end = buffer.position();
        buffer.putInt(0, records).putInt(4, end - 8).putInt(8, (int) batch);
        output.write(buffer.array(), 0, end);
    }

    private void beginRecord(int code, int bodyBytes) {
        if (writtenInstance != selectedInstance) {
            writtenInstance = selectedInstance;
            appendCode(267, 4).putInt((int) selectedInstance);
        }
        appendCode(code, bodyBytes);
    }

    private ByteBuffer appendCode(int code, int bodyBytes) {
        if (buffer.remaining() < bodyBytes + 2) {
            ByteBuffer larger =
                    ByteBuffer.allocate((buffer.capacity() + bodyBytes) * 2)
                            .order(ByteOrder.LITTLE_ENDIAN);
            buffer.flip();
            larger.put(buffer);
            buffer = larger;
        }
        records++;
        return buffer.putShort((short) code);
    }

    @Override
    public void startAttempt(RequestId id, EngineId engine, double timeoutSeconds) {
        beginRecord(257, 20);
        buffer.putLong(id.value()).putDouble(timeoutSeconds).putInt((int) engine.value());
    }

    @Override
    public void cancelAttempt(RequestId id, int attempt) {
        beginRecord(258, 9);
        buffer.putLong(id.value()).put((byte) attempt);
    }

    @Override
    public void reject(RequestId id, double retryAfterSeconds) {
        beginRecord(264, 16);
        buffer.putLong(id.value()).putDouble(retryAfterSeconds);
    }

    @Override
    public void fail(RequestId id) {
        beginRecord(261, 8);
        buffer.putLong(id.value());
    }

    @Override
    public void setAttemptParameters(RequestId id, int priority, double memoryMb) {
        beginRecord(259, 13);
        buffer.putLong(id.value()).put((byte) priority).putFloat((float) memoryMb);
    }

    @Override
    public void scheduleTimer(double delaySeconds, long token) {
        beginRecord(256, 12);
        buffer.putDouble(delaySeconds).putInt((int) token);
    }

    @Override
    public void probeEngine(EngineId engine) {
        beginRecord(266, 4);
        buffer.putInt((int) engine.value());
    }

    @Override
    public void broadcastToPeers(byte[] payload) {
        beginRecord(268, 4 + payload.length);
        buffer.putShort((short) 0xffff).putShort((short) payload.length).put(payload);
    }

    @Override
    public void subscribeToEndpoints() {
        beginRecord(260, 1);
        buffer.put((byte) 1);
    }

    @Override
    public void log(String line) {
        writeText(262, line);
    }

    void fault(String line) {
        writeText(265, line);
    }

    private void writeText(int code, String line) {
        byte[] bytes = line.getBytes(StandardCharsets.UTF_8);
        int length = Math.min(bytes.length, MAX_TEXT_BYTES);
        beginRecord(code, 2 + length);
        buffer.putShort((short) length).put(bytes, 0, length);
    }
}
