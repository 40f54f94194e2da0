package junipercourse.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.xnio.StreamConnection;
import org.xnio.conduits.ConduitStreamSinkChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * A connection that we end in order: what is left is sent, then our side is shut, and what the peer
 * still sends is read and thrown away until it ends, too. Only then it is closed: a close over
 * unread bytes resets the connection and takes what was sent last with it.
 *
 * <p>A peer that does not end gets so many seconds and bytes at most. What is read here is never
 * parsed.
 */
public final class LingeringClose {
    private static final double MAX_LINGER_SECONDS = 1.0;
    private static final long MAX_DISCARDED_BYTES = 1 << 20;
    private static final int MAX_READS_PER_EVENT = 8; // as a link's

    private final EventLoop loop;
    private final StreamConnection connection;
    private final ConduitStreamSourceChannel source;
    private final ConduitStreamSinkChannel sink;
    private final WriteQueue hasUnsentBytes;
    private final Consumer<LingeringClose> onClosing;
    private final DeadlineQueue.Entry timeout;
    private long discardedBytes;
    private boolean writesShutDown;
    private boolean peerClosed;
    private boolean closed;

    /** {@code gone} runs once, later, when it is being closed. */
    LingeringClose(
            EventLoop loop,
            StreamConnection connection,
            WriteQueue unsent,
            Consumer<LingeringClose> onClosing) {
        this.loop = loop;
        this.connection = connection;
        this.hasUnsentBytes = unsent;
        this.onClosing = onClosing;
        source = connection.getSourceChannel();
        sink = connection.getSinkChannel();
        source.setReadListener(c -> readable());
        sink.setWriteListener(c -> writable());
        timeout = loop.scheduleAfter(MAX_LINGER_SECONDS, this::close);
        send(() -> loop.execute(this::close)); // whoever begins this is in the middle of its work
        if (!closed) {
            source.resumeReads();
        }
    }

    private void send(Runnable onComplete) {
        try {
            if (!hasUnsentBytes.sendTo(sink)) {
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
                if (peerClosed && !writesShutDown) { // it may still read what it has not taken yet
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

    /** Whether some of what was written has not been taken, or its end not been told yet. */
    public boolean hasUnsentBytes() {
        return !writesShutDown && !closed;
    }

    /**
     * Closes at once, whatever is on its way; like {@link Connection#close}, after this pass over
     * the sockets.
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
