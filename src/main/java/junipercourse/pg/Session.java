package junipercourse.pg;

import java.nio.ByteBuffer;
import junipercourse.core.Counters.Count;
import junipercourse.liveness.ArrivalInterval;
import junipercourse.net.Connection;
import org.xnio.StreamConnection;

/**
 * One client's connection: limits the bytes held for the client and the time to wait for them, and
 * closes the connection, always through {@link #release}. {@link PgProtocolHandler} interprets the
 * bytes. The server owns the session and its slot.
 */
final class Session implements Connection.Handler {
    private static final int TYPICAL_QUERY_BYTES = 4 * 1024; // exempt from the shared limit
    private static final int MAX_PIPELINED_BYTES = 16 * 1024; // sent during a query
    private static final int MAX_DISCARDED_BYTES = 1 << 20; // sent beyond those
    private static final int MAX_UNSENT_BYTES = 64 * 1024; // of unread results
    private static final double REJECTION_TIMEOUT_SECONDS = 0.3; // until start-up
    private static final double FIRST_QUERY_TIMEOUT_SECONDS = 2.4; // from connecting
    private static final double MESSAGE_TIMEOUT_SECONDS = 2.0; // first to last byte
    private static final double WRITE_TIMEOUT_SECONDS = 3.0; // without any progress

    private final PgServer server;
    private final PgProtocolHandler protocol;
    private final FrontendMessageDecoder decoder = new FrontendMessageDecoder();
    private final Connection connection;
    final int secret;
    long slot;
    // In responsive seconds, so that a stall of this process does not count against the client.
    private final double connectedAt;
    private double idleSince;
    private double incompleteSince = Double.POSITIVE_INFINITY;
    private double lastWriteProgress;
    private ArrivalInterval arrival;
    private long previousUnsentBytes;
    private int reportedBufferedBytes;
    private long discardedBytes;
    private boolean isRejected;
    private boolean hasQueried;
    private boolean closed;

    Session(StreamConnection streamConnection, PgServer server, int secret) {
        this.server = server;
        this.secret = secret;
        this.protocol = new PgProtocolHandler(server, this);
        connectedAt = server.loop().responsiveSeconds();
        idleSince = connectedAt;
        lastWriteProgress = connectedAt;
        this.connection = new Connection(server.loop(), streamConnection, this);
    }

    /** No slot is free: rejects the client after its start-up packet. */
    void rejectAfterStartup() {
        isRejected = true;
    }

    boolean isRejected() {
        return isRejected;
    }

    /** Returns when the last query ended, or infinity before the first and during a query. */
    double idleSince() {
        return protocol.hasOpenQuery() || !hasQueried || closed
                ? Double.POSITIVE_INFINITY
                : idleSince;
    }

    /** Returns when the client connected, or infinity after its first query. */
    double unusedSince() {
        return hasQueried || closed ? Double.POSITIVE_INFINITY : connectedAt;
    }

    /** Closes the session if its client did not query, finish a message or read in time. */
    void closeIfExpired(double now, double maxIdleSeconds) {
        if (connection.unsentBytes() == 0 || connection.unsentBytes() != previousUnsentBytes) {
            lastWriteProgress = now;
            previousUnsentBytes = connection.unsentBytes();
        }
        if (now > lastWriteProgress + WRITE_TIMEOUT_SECONDS) {
            closeImmediately(); // it would not read the error either
        } else if (isRejected && now > connectedAt + REJECTION_TIMEOUT_SECONDS) {
            closeWithError("53300", "too many clients");
        } else if (now > unusedSince() + FIRST_QUERY_TIMEOUT_SECONDS) {
            closeWithError("57014", "no query came in time");
        } else if (!protocol.hasOpenQuery() && now > incompleteSince + MESSAGE_TIMEOUT_SECONDS) {
            closeWithError("08P01", "a message without its end");
        } else if (now > idleSince() + maxIdleSeconds) {
            connection.readNow();
            boolean hasPartialMessage =
                    connection.unsentBytes() > 0 || decoder.bufferedBytes() > 0; // result or query
            if (now > idleSince() + maxIdleSeconds && !hasPartialMessage) {
                closeWithError("57P05", "closed after being idle");
            }
        }
    }

    /** Reads a query that has arrived, so that the session is not closed as idle before it. */
    void readPending() {
        connection.readNow();
    }

    @Override
    public void received(ByteBuffer bytes) {
        idleSince = server.loop().responsiveSeconds();
        arrival = connection.arrival();
        decoder.append(discardExcess(bytes));
        if (discardedBytes > MAX_DISCARDED_BYTES) {
            closeForExcessInput();
        } else {
            processInput();
        }
    }

    /**
     * Discards what exceeds the limit for bytes sent during a query. Reading goes on, since only
     * that detects a disconnect and cancels the query. After a discard the session is closed later.
     */
    private ByteBuffer discardExcess(ByteBuffer bytes) {
        if (discardedBytes > 0 || protocol.hasOpenQuery()) {
            int capacity =
                    discardedBytes > 0
                            ? 0
                            : Math.max(0, MAX_PIPELINED_BYTES - decoder.bufferedBytes());
            int excessBytes = Math.max(0, bytes.remaining() - capacity);
            discardedBytes += excessBytes;
            bytes.limit(bytes.limit() - excessBytes);
        }
        return bytes;
    }

    private void closeForExcessInput() {
        server.counters().increment(Count.CLIENTS_GARBLED);
        closeWithError("08P01", "too much was sent ahead of an answer");
    }

    private void processInput() {
        try {
            boolean progressed = true;
            while (progressed
                    && !protocol.hasOpenQuery()
                    && !closed
                    && connection.unsentBytes() <= MAX_UNSENT_BYTES) {
                progressed = protocol.handleNext(decoder);
            }
            incompleteSince =
                    decoder.bufferedBytes() == 0 || protocol.hasOpenQuery()
                            ? Double.POSITIVE_INFINITY
                            : Math.min(incompleteSince, server.loop().responsiveSeconds());
            int growth = decoder.bufferedBytes() - reportedBufferedBytes;
            reportedBufferedBytes = decoder.bufferedBytes();
            // Limits memory if many clients each send most of a large message.
            if (!closed
                    && !server.addBufferedBytes(growth)
                    && decoder.bufferedBytes() > TYPICAL_QUERY_BYTES) {
                closeWithError("53200", "too much is held for unfinished messages");
                return;
            }
            if (discardedBytes > 0 && !progressed && !protocol.hasOpenQuery() && !closed) {
                closeForExcessInput(); // all complete messages have been answered
                return;
            }
            connection.setReadingEnabled(
                    protocol.hasOpenQuery()
                            || discardedBytes > 0
                            || decoder.bufferedBytes()
                                    < FrontendMessageDecoder.MAX_MESSAGE_BYTES + 5);
        } catch (FrontendMessageDecoder.MalformedMessageException e) {
            server.counters().increment(Count.CLIENTS_GARBLED);
            closeWithError("08P01", e.getMessage());
        }
    }

    /** Resumes processing after the client has read its results. */
    @Override
    public void flushed() {
        processInput();
    }

    /** Returns the arrival of the bytes received last. */
    ArrivalInterval arrival() {
        return arrival;
    }

    /** A query is complete: bytes held from now on belong to the next message. */
    void onQueryReceived() {
        hasQueried = true;
        incompleteSince = Double.POSITIVE_INFINITY;
    }

    void cancelQuery() {
        protocol.cancelQuery();
    }

    void write(byte[] bytes) {
        connection.write(bytes);
    }

    /** Sends the result of the query that was open. */
    void sendResponse(byte[] bytes) {
        idleSince = server.loop().responsiveSeconds();
        connection.write(bytes);
        server.loop().execute(this::processInput); // the next query may have arrived already
    }

    /** Sends an error with the reason and closes the session. */
    void closeWithError(String code, String reason) {
        closeLingering(fatalMessage(code, reason));
    }

    private static byte[] fatalMessage(String code, String reason) {
        return new BackendMessageEncoder().errorResponse("FATAL", code, reason).bytes();
    }

    /**
     * Closes the session in an orderly way: sends a final message, shuts down the output and
     * discards input until the client closes. The connection is closed before anything else, so
     * that no query can arrive between the last read ({@link #readPending}) and this.
     */
    void closeLingering(byte[] finalMessage) {
        if (!closed) {
            server.connectionSlots().closeLingering(connection, finalMessage);
            release();
        }
    }

    @Override
    public void handlerFailed() {
        server.counters().increment(Count.INTERNAL_ERRORS);
        disconnected();
    }

    @Override
    public void disconnected() {
        if (!closed) {
            server.connectionSlots().onConnectionClosing();
            release();
        }
    }

    /** Closes at once, for a client that has stopped reading. */
    private void closeImmediately() {
        connection.close();
        disconnected();
    }

    /** Releases the held bytes, the open query and the slot, once. Every close ends here. */
    private void release() {
        closed = true;
        server.addBufferedBytes(-reportedBufferedBytes);
        protocol.onSessionClosed();
        server.connectionSlots().remove(this);
    }
}
