package junipercourse.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import org.xnio.conduits.ConduitStreamSinkChannel;

/**
 * Written bytes that the peer has not accepted yet, in order. The queue has no limit of its own:
 * writers check {@link #unsentBytes}.
 */
final class WriteQueue {
    /** The event loop's write buffer: gathers small pieces, so that one system call sends many. */
    private final ByteBuffer gatherBuffer;

    private final ArrayDeque<ByteBuffer> unsent = new ArrayDeque<>();
    private long unsentBytes;

    WriteQueue(ByteBuffer gatherBuffer) {
        this.gatherBuffer = gatherBuffer;
    }

    /** Appends bytes. The array must not be changed afterwards. */
    void add(byte[] data) {
        unsent.add(ByteBuffer.wrap(data));
        unsentBytes += data.length;
    }

    boolean isEmpty() {
        return unsent.isEmpty();
    }

    /** Bytes that the peer has not accepted yet. */
    long unsentBytes() {
        return unsentBytes;
    }

    /** Sends as many bytes as the peer accepts now. Returns whether that is all. */
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

    /** Drops all bytes, for a peer that will not accept them any more. */
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
