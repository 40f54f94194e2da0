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
 * A connection with a handler: bytes go to the handler as they come, and what is written waits
 * until the peer takes it ({@link WriteQueue}). It is given back in one place, {@link #close}.
 */
public final class Connection {
    private static final int MAX_READS_PER_EVENT =
            8; // so that no one peer keeps the thread to itself

    /** What happens on a link. */
    public interface Handler {
        /** Bytes have come; all of them are to be consumed or copied. */
        void received(ByteBuffer bytes);

        /**
         * The peer has closed, or the connection broke; not called after {@link Connection#close}.
         */
        void disconnected();

        /** All that was written has gone out. */
        default void flushed() {}

        /**
         * An exception in the handler has cost this connection, which is closed; it is to be
         * counted.
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
    private double unreadSince = Double.NaN;
    private double assumedUnreadAt;
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
        arrival = loop.arrival();
        assumeUnread(arrival.earliest()); // it may have brought bytes with it
        source.resumeReads();
    }

    /** Bytes may lie there that came since then, until a whole pass from now on has found none. */
    private void assumeUnread(double sinceSeconds) {
        unreadSince = sinceSeconds;
        assumedUnreadAt = loop.now();
    }

    private ArrivalInterval currentArrival() {
        ArrivalInterval loopArrival = loop.arrival();
        boolean mayHaveUnread =
                !Double.isNaN(unreadSince) && loop.readWatermark() <= assumedUnreadAt;
        return mayHaveUnread
                ? new ArrivalInterval(
                        Math.min(unreadSince, loopArrival.earliest()), loopArrival.readAt())
                : loopArrival;
    }

    /** When the bytes that were read last have come. */
    public ArrivalInterval arrival() {
        return arrival;
    }

    private void readable() {
        loop.recordActivity();
        try {
            arrival = currentArrival();
            for (int i = 0; i < MAX_READS_PER_EVENT && !closed && source.isReadResumed(); i++) {
                readBuffer.clear();
                int n = source.read(readBuffer);
                if (n < 0) {
                    fail();
                    return;
                }
                if (n == 0) {
                    unreadSince = Double.NaN;
                    return;
                }
                readBuffer.flip();
                handler.received(readBuffer);
            }
            if (!closed) { // what is left came after what was read
                assumeUnread(arrival.earliest());
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

    /**
     * Takes in at once what has come, as if its turn had come; nothing while reading is stopped.
     */
    public void readNow() {
        if (!closed && source.isReadResumed()) {
            readable();
        }
    }

    /** Whether it is open and nothing has come that was not read; what has come is lost. */
    public boolean isOpenWithoutInput() {
        try {
            readBuffer.clear();
            return !closed && source.read(readBuffer) == 0;
        } catch (IOException e) {
            return false;
        }
    }

    /** Reading stops while a peer sends more than can be taken. */
    public void setReadingEnabled(boolean enabled) {
        if (closed) {
            return;
        }
        if (enabled && !source.isReadResumed()) {
            assumeUnread(Double.isNaN(unreadSince) ? loop.arrival().earliest() : unreadSince);
            source.resumeReads();
        } else if (!enabled) {
            source.suspendReads();
        }
    }

    /**
     * Queues bytes for the peer and sends what it takes now. The array is not to be changed
     * afterwards.
     */
    public void write(byte[] bytes) {
        if (closed) {
            return;
        }
        unsent.add(bytes);
        flush();
    }

    /** Bytes that the peer has not taken yet. */
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
            // Told through the reading side's turn: a caller in the middle of its work is not
            // called back.
            unsent.clear();
            loop.execute(this::fail);
        }
    }

    /**
     * Ends the connection in order, with last words; the handler hears nothing more. For use right
     * after {@link #readNow}: whatever this process does in between, or is kept from doing by a
     * stop, is time in which a query may come that nobody would read.
     */
    public LingeringClose closeLingering(byte[] finalBytes, Consumer<LingeringClose> onClosing) {
        markClosed();
        if (finalBytes.length > 0) {
            unsent.add(finalBytes);
        }
        return new LingeringClose(loop, connection, unsent, onClosing);
    }

    /**
     * Closes; the handler hears nothing more. The system call comes after this pass over the
     * sockets: so what is accepted later in this pass cannot meet descriptors that are closed but
     * not given back yet.
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
     * Closes with a reset, which empties the kernel's buffer: an orderly close would still deliver
     * what lies there, across a cut network when that heals. Also good after {@link #close} in the
     * same pass.
     */
    public void abort() {
        try {
            connection.setOption(Options.CLOSE_ABORT, true);
        } catch (IOException e) { // it is closed already
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
