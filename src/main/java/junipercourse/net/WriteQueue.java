package junipercourse.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import org.xnio.conduits.ConduitStreamSinkChannel;

/**
 * What was written to a link and its peer has not taken yet, in order. It has no bound of its own:
 * who writes looks at {@link #unsentBytes}.
 */
final class WriteQueue {
    /** The loop's: small pieces are gathered here, so that one system call sends many. */
    private final ByteBuffer gatherBuffer;

    private final ArrayDeque<ByteBuffer> unsent = new ArrayDeque<>();
    private long unsentBytes;

    WriteQueue(ByteBuffer gatherBuffer) {
        this.gatherBuffer = gatherBuffer;
    }

    /** Adds bytes at the end. The array is not to be changed afterwards. */
    void add(byte[] data) {
        unsent.add(ByteBuffer.wrap(data));
        unsentBytes += data.length;
    }

    boolean isEmpty() {
        return unsent.isEmpty();
    }

    /** Bytes that have not been taken yet. */
    long unsentBytes() {
        return unsentBytes;
    }

    /** Sends what is taken now. Returns whether that is all. */
    boolean sendTo(ConduitStreamSinkChannel sink) throws IOException {
        while (!unsent.isEmpty()) {
            int n = sink.write(gather());
            if (n == 0) {
                return false;
            }
            removeWritten(n);
        }
        return true;
    }

    /** Forgets all: nobody will take it. */
    void clear() {
        unsent.clear();
        unsentBytes = 0;
    }

    private ByteBuffer gather() {
        gatherBuffer.clear();
        for (ByteBuffer pending : unsent) {
            if (!gatherBuffer.hasRemaining()) {
                break;
            }
            copy(pending);
        }
        return gatherBuffer.flip();
    }

    private void copy(ByteBuffer source) {
        ByteBuffer slice = source.duplicate();
        slice.limit(slice.position() + Math.min(slice.remaining(), gatherBuffer.remaining()));
        gatherBuffer.put(slice);
    }

    private void removeWritten(int written) {
        unsentBytes -= written;
        int remaining = written;
        while (remaining > 0) {
            ByteBuffer head = unsent.peek();
            int n = Math.min(remaining, head.remaining());
            head.position(head.position() + n);
            remaining -= n;
            if (!head.hasRemaining()) {
                unsent.poll();
            }
        }
    }
}
