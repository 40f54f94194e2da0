package junipercourse.pg;

import java.nio.ByteBuffer;
import junipercourse.core.Counters.Count;
import junipercourse.liveness.ArrivalInterval;
import junipercourse.net.Connection;
import org.xnio.StreamConnection;

/**
 * One client's connection: bounds what it holds of its client's bytes and for how long it waits for
 * them, and closes it, which always ends in {@link #release}. What the bytes say is the {@link
 * PgProtocolHandler}'s. The front owns the session and its slot.
 */
final class Session implements Connection.Handler {
    private static final int TYPICAL_QUERY_BYTES =
            4 * 1024; // a usual query: never closed for what others send
    private static final int MAX_PIPELINED_BYTES =
            16 * 1024; // held of a client that writes on while it waits
    private static final int MAX_DISCARDED_BYTES =
            1 << 20; // thrown away of what it writes beyond that
    private static final int MAX_UNSENT_BYTES = 64 * 1024; // of answers that a client does not read
    private static final double REJECTION_TIMEOUT_SECONDS =
            0.3; // for one that finds no place, until its start-up packet
    private static final double FIRST_QUERY_TIMEOUT_SECONDS =
            2.4; // from connecting until the first query is whole
    private static final double MESSAGE_TIMEOUT_SECONDS =
            2.0; // from a later message's first byte to its last
    private static final double WRITE_TIMEOUT_SECONDS =
            3.0; // for a client to take some of what is sent to it

    private final PgServer server;
    private final PgProtocolHandler protocolHandler;
    private final FrontendMessageDecoder decoder = new FrontendMessageDecoder();
    private final Connection connection;
    final int secret;
    long slot;
    // Seconds attended: no gap of our own is held against the client.
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
        this.protocolHandler = new PgProtocolHandler(server, this);
        connectedAt = server.loop().responsiveSeconds();
        idleSince = connectedAt;
        lastWriteProgress = connectedAt;
        this.connection = new Connection(server.loop(), streamConnection, this);
    }

    /** There is no place for it: it is told so once it has said what it wants. */
    void rejectAfterStartup() {
        isRejected = true;
    }

    boolean isRejected() {
        return isRejected;
    }

    /** Since when no query is open, for one that has asked before; never, as long as one is. */
    double idleSince() {
        return protocolHandler.hasOpenQuery() || !hasQueried || closed
                ? Double.POSITIVE_INFINITY
                : idleSince;
    }

    /** Since when it is connected without having asked anything; never, once it has. */
    double unusedSince() {
        return hasQueried || closed ? Double.POSITIVE_INFINITY : connectedAt;
    }

    /**
     * Closes a session whose client has had its time: to ask, to end what it began, or to read.
     * {@code now} is in seconds attended, as are all times here.
     */
    void closeIfExpired(double now, double maxIdleSeconds) {
        if (connection.unsentBytes() == 0 || connection.unsentBytes() != previousUnsentBytes) {
            lastWriteProgress = now;
            previousUnsentBytes = connection.unsentBytes();
        }
        if (now > lastWriteProgress + WRITE_TIMEOUT_SECONDS) {
            closeImmediately(); // it would not read the reason either
        } else if (isRejected && now > connectedAt + REJECTION_TIMEOUT_SECONDS) {
            closeWithError("53300", "too many clients");
        } else if (now > unusedSince() + FIRST_QUERY_TIMEOUT_SECONDS) {
            closeWithError("57014", "no query came in time");
        } else if (!protocolHandler.hasOpenQuery()
                && now > incompleteSince + MESSAGE_TIMEOUT_SECONDS) {
            closeWithError("08P01", "a message without its end");
        } else if (now > idleSince() + maxIdleSeconds) {
            connection.readNow();
            boolean hasPartialMessage =
                    connection.unsentBytes() > 0
                            || decoder.bufferedBytes() > 0; // of an answer, or of a query
            if (now > idleSince() + maxIdleSeconds && !hasPartialMessage) {
                closeWithError("57P05", "closed after being idle");
            }
        }
    }

    /** Guards a query that has come and was not read yet against the close of its idle session. */
    void readPending() {
        connection.readNow();
    }

    // ---- what comes in ----

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
     * Of bytes that come while a query is open, those that are held. Reading goes on beyond them,
     * since only so the client's end is seen and its query given up; what is thrown away costs the
     * session, later.
     */
    private ByteBuffer discardExcess(ByteBuffer bytes) {
        if (discardedBytes > 0 || protocolHandler.hasOpenQuery()) {
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
                    && !protocolHandler.hasOpenQuery()
                    && !closed
                    && connection.unsentBytes() <= MAX_UNSENT_BYTES) {
                progressed = protocolHandler.handleNext(decoder);
            }
            incompleteSince =
                    decoder.bufferedBytes() == 0 || protocolHandler.hasOpenQuery()
                            ? Double.POSITIVE_INFINITY
                            : Math.min(incompleteSince, server.loop().responsiveSeconds());
            int growth = decoder.bufferedBytes() - reportedBufferedBytes;
            reportedBufferedBytes = decoder.bufferedBytes();
            // Guards memory against many who each send the better part of a large message.
            if (!closed
                    && !server.addBufferedBytes(growth)
                    && decoder.bufferedBytes() > TYPICAL_QUERY_BYTES) {
                closeWithError("53200", "too much is held for unfinished messages");
                return;
            }
            if (discardedBytes > 0 && !progressed && !protocolHandler.hasOpenQuery() && !closed) {
                closeForExcessInput(); // all that was held whole has been answered
                return;
            }
            connection.setReadingEnabled(
                    protocolHandler.hasOpenQuery()
                            || discardedBytes > 0
                            || decoder.bufferedBytes()
                                    < FrontendMessageDecoder.MAX_MESSAGE_BYTES + 5);
        } catch (FrontendMessageDecoder.MalformedMessageException e) {
            server.counters().increment(Count.CLIENTS_GARBLED);
            closeWithError("08P01", e.getMessage());
        }
    }

    /** A client that did not read its answers has caught up. */
    @Override
    public void flushed() {
        processInput();
    }

    /** When the bytes that were taken last have come. */
    ArrivalInterval arrival() {
        return arrival;
    }

    /** A query is whole: what is held from now on is a part of the next. */
    void onQueryReceived() {
        hasQueried = true;
        incompleteSince = Double.POSITIVE_INFINITY;
    }

    /** The client no longer wants the answer to what it has asked. */
    void cancelQuery() {
        protocolHandler.cancelQuery();
    }

    // ---- what goes out ----

    void write(byte[] bytes) {
        connection.write(bytes);
    }

    /** Sends the answer to the query that was open. */
    void sendResponse(byte[] bytes) {
        idleSince = server.loop().responsiveSeconds();
        connection.write(bytes);
        server.loop().execute(this::processInput); // a next query may have come already
    }

    /** Says why, and ends the session. */
    void closeWithError(String code, String reason) {
        closeLingering(fatalMessage(code, reason));
    }

    private static byte[] fatalMessage(String code, String reason) {
        return new BackendMessageEncoder().errorResponse("FATAL", code, reason).bytes();
    }

    // ---- the end ----

    /**
     * Ends the session by us, in order: last words, the end of what we send, and what the client
     * sends until it has ended, too, is thrown away. That comes first of all, so that nothing lies
     * between the last look for a query ({@link #readPending}) and this.
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

    /** Closes at once, for a client that takes nothing any more. */
    private void closeImmediately() {
        connection.close();
        disconnected();
    }

    /** The one way out: gives back what is held, the open query and the slot, once. */
    private void release() {
        closed = true;
        server.addBufferedBytes(-reportedBufferedBytes);
        protocolHandler.onSessionClosed();
        server.connectionSlots().remove(this);
    }
}
