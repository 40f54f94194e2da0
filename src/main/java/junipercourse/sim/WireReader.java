package junipercourse.sim;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.ArrayList;
import java.util.List;
import junipercourse.decision.api.EngineId;
import junipercourse.decision.api.EngineListing;

/** Reads the fields of one batch, after its length. */
final class WireReader {
    private final ByteBuffer buffer;

    WireReader(byte[] body) {
        buffer = ByteBuffer.wrap(body).order(ByteOrder.LITTLE_ENDIAN);
    }

    int position() {
        return buffer.position();
    }

    int remaining() {
        return buffer.remaining();
    }

    int u8() {
        requireBytes(1);
        return buffer.get() & 0xff;
    }

    boolean flag() {
        return u8() != 0;
    }

    int u16() {
        requireBytes(2);
        return buffer.getShort() & 0xffff;
    }

    long u32() {
        requireBytes(4);
        return buffer.getInt() & 0xffffffffL;
    }

    long u64() {
        requireBytes(8);
        return buffer.getLong();
    }

    float f32() {
        requireBytes(4);
        return buffer.getFloat();
    }

    double f64() {
        requireBytes(8);
        return buffer.getDouble();
    }

    byte[] bytes() {
        long length = u32();
        requireBytes(length);
        byte[] bytes = new byte[(int) length];
        buffer.get(bytes);
        return bytes;
    }

    byte[] shortBytes() {
        int length = u16();
        requireBytes(length);
        byte[] bytes = new byte[length];
        buffer.get(bytes);
        return bytes;
    }

    float[] loadReport() {
        float[] values = new float[u8()];
        for (int i = 0; i < values.length; i++) {
            values[i] = f32();
        }
        return values;
    }

    List<EngineListing> endpointList() {
        long count = u32();
        requireBytes(count * 22);
        List<EngineListing> listings = new ArrayList<>((int) count);
        for (long i = 0; i < count; i++) {
            EngineId id = new EngineId(u32());
            int zone = u8();
            int kind = u16();
            int cell = u16();
            listings.add(new EngineListing(id, zone, kind, cell, Wire.stage(u8()), f32(), f64()));
        }
        return listings;
    }

    private void requireBytes(long count) {
        if (buffer.remaining() < count) {
            throw new Wire.WireException("batch ends inside a field at byte " + buffer.position());
        }
    }
}
