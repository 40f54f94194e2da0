package junipercourse.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import junipercourse.liveness.ArrivalInterval;
import org.tinylog.Logger;
import org.xnio.IoUtils;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.conduits.ConduitStreamSinkChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * A connection with a handler: received bytes go to the handler, and written bytes wait until the
 * peer accepts them ({@link WriteQueue}). It is released in one place, {@link #close}.
 */
public final class Connection {
    private static final int MAX_READS_PER_EVENT = 8; // so that no peer monopolizes the thread

    /** Receives the events of a connection. */
    public interface Handler {
        /** Bytes were received; the handler must consume or copy all of them. */
        void received(ByteBuffer bytes);

        /**
         * The peer closed the connection, or it broke; not called after {@link Connection#close}.
         */
        void disconnected();

        /** All written bytes have been sent. */
        default void flushed() {}

        /**
         * The handler threw an exception, which is to be counted; the connection has been closed.
         */
        void handlerFailed();
    }

    private final EventLoop loop;
    private final StreamConnection connection;
    private final ConduitStreamSourceChannel source;
    private final ConduitStreamSinkChannel sink;
    private final Handler handler;
    private final ByteBuffer readBuffer;
    private final WriteQueue unsent;
    private boolean closed;
    private final UnreadBytes unread;
    private ArrivalInterval arrival;

    public Connection(EventLoop loop, StreamConnection connection, Handler handler) {
        this.loop = loop;
        this.connection = connection;
        this.handler = handler;
        readBuffer = loop.readBuffer();
        unsent = new WriteQueue(loop.writeBuffer());
        source = connection.getSourceChannel();
        sink = connection.getSinkChannel();
        source.setReadListener(c -> readable());
        sink.setWriteListener(c -> writable());
        arrival = loop.arrivalOnNewConnection();
        unread = new UnreadBytes(loop);
        unread.assume(arrival.earliest()); // its first bytes may be here already
        source.resumeReads();
    }

    /** Since when bytes may have arrived that are not read yet; infinity if there are none. */
    public double unreadSince() {
        return closed ? Double.POSITIVE_INFINITY : unread.since();
    }

    /** The interval in which the bytes that were read last arrived. */
    public ArrivalInterval arrival() {
        return arrival;
    }

    private void readable() {
        loop.recordActivity();
        try {
            arrival = unread.arrival();
            for (int i = 0; i < MAX_READS_PER_EVENT && !closed && source.isReadResumed(); i++) {
                readBuffer.clear();
                int n = source.read(readBuffer);
                if (n < 0) {
                    fail();
                    return;
                }
                if (n == 0) {
                    unread.clear();
                    return;
                }
                readBuffer.flip();
                handler.received(readBuffer);
            }
            if (!closed) { // the rest arrived after the bytes just read
                unread.assume(arrival.earliest());
            }
        } catch (IOException e) {
            fail();
        } catch (RuntimeException | StackOverflowError e) {
            Logger.error(e, "a connection's handler failed; the connection is closed");
            if (!closed) {
                close();
                handler.handlerFailed();
            }
        } catch (Error e) {
            loop.reportError(e);
            throw e;
        }
    }

    private void fail() {
        if (!closed) {
            close();
            handler.disconnected();
        }
    }

    /** Reads available bytes now, ahead of the event; does nothing while reading is disabled. */
    public void readNow() {
        if (!closed && source.isReadResumed()) {
            readable();
        }
    }

    /** Disables reading while a peer sends more than can be processed, and enables it again. */
    public void setReadingEnabled(boolean enabled) {
        if (closed) {
            return;
        }
        if (enabled && !source.isReadResumed()) {
            unread.resume();
            source.resumeReads();
        } else if (!enabled && source.isReadResumed()) {
            unread.suspend();
            source.suspendReads();
        }
    }

    /**
     * Queues bytes for the peer and sends as many as it accepts now. The array must not be changed
     * afterwards.
     */
    public void write(byte[] bytes) {
        if (closed) {
            return;
        }
        unsent.add(bytes);
        flush();
    }

    /** Bytes that the peer has not accepted yet. */
    public long unsentBytes() {
        return unsent.unsentBytes();
    }

    private void writable() {
        loop.recordActivity();
        flush();
        if (unsent.isEmpty() && !closed) {
            handler.flushed();
        }
    }

    private void flush() {
        try {
            if (!unsent.sendTo(sink)) {
                sink.resumeWrites();
                return;
            }
            sink.suspendWrites();
        } catch (IOException e) {
            // Reported by a later task: the caller must not be called back while it is working.
            unsent.clear();
            loop.execute(this::fail);
        }
    }

    /**
     * Closes in order after {@code finalBytes}; the handler is not called again. To be called right
     * after {@link #readNow}: a query that arrives in between, also while this process is
     * suspended, would never be read.
     */
    public LingeringClose closeLingering(byte[] finalBytes, Consumer<LingeringClose> onClosing) {
        markClosed();
        if (finalBytes.length > 0) {
            unsent.add(finalBytes);
        }
        return new LingeringClose(loop, connection, unsent, onClosing);
    }

    /**
     * Closes; the handler is not called again. The system call follows after this selector pass, so
     * that connections accepted later in the pass cannot meet descriptors that are closed but not
     * released yet.
     */
    public void close() {
        if (markClosed()) {
            loop.execute(() -> closeQuietly(connection));
        }
    }

    private boolean markClosed() {
        boolean wasOpen = !closed;
        closed = true;
        source.suspendReads();
        sink.suspendWrites();
        return wasOpen;
    }

    /**
     * Closes with a reset, which empties the kernel buffer: an orderly close would still deliver
     * its bytes when a cut network heals. May also be called after {@link #close} in the same pass.
     */
    public void abort() {
        try {
            connection.setOption(Options.CLOSE_ABORT, true);
        } catch (IOException e) { // already closed
            Logger.debug("a connection could not be reset: {}", e.getMessage());
        }
        close();
    }

    public boolean isClosed() {
        return closed;
    }

    static void closeQuietly(StreamConnection connection) {
        IoUtils.safeClose(connection);
    }
}
