package junipercourse.pg;

import java.nio.ByteBuffer;
import junipercourse.core.Counters.Count;
import junipercourse.liveness.ArrivalInterval;
import junipercourse.net.Connection;
import org.tinylog.Logger;
import org.xnio.StreamConnection;

/**
 * One client's connection: limits the bytes held for the client and the time to wait for them, and
 * closes the connection, always through {@link #release}. {@link PgProtocolHandler} interprets the
 * bytes. The server owns the session and its slot.
 */
final class Session implements Connection.Handler {
    private static final int MAX_UNSENT_BYTES = 64 * 1024; // of unread results
    private static final int MAX_PENDING_MESSAGES = 16; // processed before their turn

    private final PgServer server;
    private final PgProtocolHandler protocol;
    private final SessionInput input;
    private final InputScheduler.Usage inputUsage = new InputScheduler.Usage();
    private final Connection connection;
    final int secret;
    long slot;
    private final SessionTimeouts timeouts;
    private boolean isRejected;
    private boolean hasQueried;
    private boolean closed;

    Session(StreamConnection streamConnection, PgServer server, int secret) {
        this.server = server;
        this.secret = secret;
        this.protocol = new PgProtocolHandler(server, this);
        this.input = new SessionInput(server);
        this.timeouts = new SessionTimeouts(server.loop().responsiveSeconds());
        this.connection = new Connection(server.loop(), streamConnection, this);
    }

    /** No slot is free: rejects the client after its start-up packet. */
    void rejectAfterStartup() {
        isRejected = true;
    }

    boolean isRejected() {
        return isRejected;
    }

    /**
     * Returns when the last query ended, or infinity before the first, during a query and while
     * messages wait for their turn.
     */
    double idleSince() {
        return protocol.hasOpenQuery() || inputUsage.isWaiting() || !hasQueried || closed
                ? Double.POSITIVE_INFINITY
                : timeouts.idleSince();
    }

    /** Returns since when bytes of the client may wait to be processed; infinity if none do. */
    double unprocessedSince() {
        return Math.min(connection.unreadSince(), input.unprocessedSince());
    }

    /** Returns when the client connected, or infinity after its first query. */
    double unusedSince() {
        return hasQueried || closed ? Double.POSITIVE_INFINITY : timeouts.connectedAt();
    }

    /** Closes the session if its client did not query, finish a message or read in time. */
    void closeIfExpired(double now, double maxIdleSeconds) {
        timeouts.recordUnsentBytes(connection.unsentBytes(), now);
        if (timeouts.isWriteOverdue(now)) {
            connection.close(); // the client would not read an error either
            disconnected();
        } else if (isRejected && timeouts.isRejectionOverdue(now)) {
            closeWithError("53300", "too many clients");
        } else if (!hasQueried && !closed && timeouts.isFirstQueryOverdue(now)) {
            closeWithError("57014", "no query came in time");
        } else if (!protocol.hasOpenQuery() && timeouts.isMessageOverdue(now)) {
            closeWithError("08P01", "a message without its end");
        } else if (now > idleSince() + maxIdleSeconds) {
            connection.readNow();
            boolean hasPartialMessage =
                    connection.unsentBytes() > 0 || input.bufferedBytes() > 0; // result or query
            if (now > idleSince() + maxIdleSeconds && !hasPartialMessage) {
                closeWithError("57P05", "closed after being idle");
            }
        }
    }

    /**
     * Processes what has arrived, also if it waits for its turn, so that the session is not closed
     * as idle before it, and a cancellation finds its query.
     */
    void readPending() {
        processInput(MAX_PENDING_MESSAGES);
        connection.readNow();
        processInput(MAX_PENDING_MESSAGES);
    }

    @Override
    public void received(ByteBuffer bytes) {
        timeouts.recordActivity(server.loop().responsiveSeconds());
        input.append(bytes, connection.arrival(), protocol.hasOpenQuery());
        if (input.hasExcess()) {
            closeForExcessInput();
        } else {
            processInput(0);
        }
    }

    private void closeForExcessInput() {
        server.counters().increment(Count.CLIENTS_GARBLED);
        closeWithError("08P01", "too much was sent ahead of an answer");
    }

    /** Processes at least one message that has waited for its turn in the scheduler. */
    void processDeferred() {
        try {
            processInput(1);
        } catch (RuntimeException | StackOverflowError e) {
            Logger.error(e, "a message could not be processed; the connection is closed");
            connection.close();
            handlerFailed();
        }
    }

    /** Processes messages while the scheduler has time for them, and some before their turn. */
    private void processInput(int messagesBeforeTurn) {
        int beforeTurn = messagesBeforeTurn;
        try {
            while (canProcess() && (server.inputScheduler().hasCapacity() || beforeTurn-- > 0)) {
                server.inputScheduler().processNext(inputUsage, input, protocol);
            }
            if (!closed) {
                adjustReading();
            }
        } catch (FrontendMessageDecoder.MalformedMessageException e) {
            server.counters().increment(Count.CLIENTS_GARBLED);
            closeWithError("08P01", e.getMessage());
        }
    }

    private boolean canProcess() {
        return !closed
                && !protocol.hasOpenQuery()
                && connection.unsentBytes() <= MAX_UNSENT_BYTES
                && protocol.hasNext(input.decoder());
    }

    /** Reads on, waits for its turn with what is left, or closes the session for it. */
    private void adjustReading() {
        boolean mustWait = canProcess();
        if (input.bufferedBytes() > 0) {
            server.unprocessedInput().add(this);
        }
        if (mustWait) {
            server.inputScheduler().enqueue(this, inputUsage, input.bufferedBytes());
        }
        timeouts.recordIncomplete(
                input.bufferedBytes() > 0 && !protocol.hasOpenQuery() && !mustWait,
                server.loop().responsiveSeconds());
        if (!input.reportHeldBytes()) {
            closeWithError("53200", "too much is held for unfinished messages");
        } else if (input.hasDiscarded()
                && !protocol.hasOpenQuery()
                && !protocol.hasNext(input.decoder())) {
            closeForExcessInput(); // all complete messages have been answered
        } else {
            connection.setReadingEnabled(
                    protocol.hasOpenQuery()
                            || input.hasDiscarded()
                            || !mustWait && input.hasRoom());
        }
    }

    /** Resumes processing after the client has read its results. */
    @Override
    public void flushed() {
        processInput(0);
    }

    /** When the last byte of the message arrived that is being processed. */
    ArrivalInterval messageArrival() {
        return input.messageArrival();
    }

    /** A query is complete: bytes held from now on belong to the next message. */
    void onQueryReceived() {
        hasQueried = true;
        timeouts.recordIncomplete(false, server.loop().responsiveSeconds());
    }

    void cancelQuery() {
        protocol.cancelQuery();
    }

    void write(byte[] bytes) {
        connection.write(bytes);
    }

    /** Sends the result of the query that was open. */
    void sendResponse(byte[] bytes) {
        timeouts.recordActivity(server.loop().responsiveSeconds());
        connection.write(bytes);
        server.loop().execute(() -> processInput(0)); // the next query may have arrived already
    }

    /** Sends an error with the reason and closes the session. */
    void closeWithError(String code, String reason) {
        closeLingering(new BackendMessageEncoder().errorResponse("FATAL", code, reason).bytes());
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

    /** Releases the held bytes, the open query and the slot, once. Every close ends here. */
    private void release() {
        closed = true;
        input.release();
        server.inputScheduler().remove(inputUsage);
        server.unprocessedInput().remove(this);
        protocol.onSessionClosed();
        server.connectionSlots().remove(this);
    }
}
