package junipercourse.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.xnio.StreamConnection;
import org.xnio.conduits.ConduitStreamSinkChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * Closes a connection in order: sends the remaining bytes, shuts down writing, then reads and
 * discards what the peer still sends until it closes, too. Only then the connection is closed: a
 * close with unread bytes resets it, and the bytes sent last are lost.
 *
 * <p>The time and the bytes are limited for a peer that does not close. Bytes read here are never
 * parsed.
 */
public final class LingeringClose {
    private static final double MAX_LINGER_SECONDS = 1.0;
    private static final long MAX_DISCARDED_BYTES = 1 << 20;
    private static final int MAX_READS_PER_EVENT = 8; // as in Connection

    private final EventLoop loop;
    private final StreamConnection connection;
    private final ConduitStreamSourceChannel source;
    private final ConduitStreamSinkChannel sink;
    private final WriteQueue unsent;
    private final Consumer<LingeringClose> onClosing;
    private final DeadlineQueue.Entry timeout;
    private long discardedBytes;
    private boolean writesShutDown;
    private boolean peerClosed;
    private boolean closed;

    /** {@code onClosing} runs once, later, when the connection is being closed. */
    LingeringClose(
            EventLoop loop,
            StreamConnection connection,
            WriteQueue unsent,
            Consumer<LingeringClose> onClosing) {
        this.loop = loop;
        this.connection = connection;
        this.unsent = unsent;
        this.onClosing = onClosing;
        source = connection.getSourceChannel();
        sink = connection.getSinkChannel();
        source.setReadListener(c -> readable());
        sink.setWriteListener(c -> writable());
        timeout = loop.scheduleAfter(MAX_LINGER_SECONDS, this::close);
        send(() -> loop.execute(this::close)); // later, as the caller is still working
        if (!closed) {
            source.resumeReads();
        }
    }

    private void send(Runnable onComplete) {
        try {
            if (!unsent.sendTo(sink)) {
                sink.resumeWrites();
                return;
            }
            sink.suspendWrites();
            sink.shutdownWrites();
            writesShutDown = sink.flush();
            if (!writesShutDown) {
                sink.resumeWrites();
            } else if (peerClosed) {
                onComplete.run();
            }
        } catch (IOException e) { // the peer is gone
            onComplete.run();
        }
    }

    private void writable() {
        loop.recordActivity();
        if (!closed) {
            send(this::close);
        }
    }

    private void readable() {
        loop.recordActivity();
        ByteBuffer readBuffer = loop.readBuffer();
        try {
            for (int i = 0; i < MAX_READS_PER_EVENT && !closed; i++) {
                readBuffer.clear();
                int n = source.read(readBuffer);
                if (n == 0) {
                    return;
                }
                discardedBytes += Math.max(0, n);
                peerClosed = n < 0;
                if (peerClosed && !writesShutDown) { // the peer may still read the rest
                    source.suspendReads();
                    return;
                }
                if (peerClosed || discardedBytes > MAX_DISCARDED_BYTES) {
                    close();
                }
            }
        } catch (IOException e) {
            close();
        }
    }

    /** Whether written bytes or the end of the stream have not been sent yet. */
    public boolean hasUnsentBytes() {
        return !writesShutDown && !closed;
    }

    /**
     * Closes at once, whatever is still unsent; like {@link Connection#close}, the system call
     * follows after this selector pass.
     */
    public void close() {
        if (closed) {
            return;
        }
        closed = true;
        loop.cancel(timeout);
        source.suspendReads();
        sink.suspendWrites();
        loop.execute(() -> Connection.closeQuietly(connection));
        onClosing.accept(this);
    }
}
