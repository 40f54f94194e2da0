package junipercourse.engine;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import junipercourse.core.Counters;
import junipercourse.core.Counters.Count;
import junipercourse.net.Connection;
import junipercourse.net.EventLoop;
import org.tinylog.Logger;
import org.xnio.StreamConnection;

/**
 * One connection to an engine, with at most one call at a time. It serves one attempt of one query
 * and is then closed: a response names no query, and a duplicate of it may arrive at any later
 * time.
 */
final class EngineConnection implements Connection.Handler {
    private static final int STATUS_OK = 200;

    /** The attempt that a connection serves. */
    interface Owner {
        /** The call on the connection is answered; see {@link #prepareReuse}. */
        void onAnswered(EngineConnection connection);

        /** Rows came behind the last response: its declared length was too short. */
        void onLateRows();
    }

    private final EventLoop loop;
    private final EnginePool pool;
    private final Owner owner;
    private final Counters counters;
    private final HttpResponseParser parser = new HttpResponseParser();
    private final Connection connection;
    private HttpCall call;
    private boolean isWritten;

    /** Calls whose arrival no response has proven; bounded by the calls of one attempt. */
    private final List<HttpCall> unconfirmedCalls = new ArrayList<>();

    private boolean hasResponded;

    /** Whether the last response was one that has rows. */
    private boolean lastHadRows;

    private TrailingBytes trailingBytes = new TrailingBytes();
    private boolean isReusable = true;
    private boolean isClosed;

    EngineConnection(
            EventLoop loop,
            StreamConnection stream,
            EnginePool pool,
            Owner owner,
            Counters counters) {
        this.loop = loop;
        this.pool = pool;
        this.owner = owner;
        this.counters = counters;
        this.connection = new Connection(loop, stream, this);
    }

    /**
     * Reads what has arrived since the last response, and closes the connection if there was
     * anything or the engine wants it closed. Returns whether it can carry another call.
     */
    boolean prepareReuse() {
        connection.readNow();
        if (!isReusable && !isClosed) {
            countTrailingBytes();
            close();
        }
        return !isClosed;
    }

    /** Whether the connection is neither closed nor broken. */
    boolean isOpen() {
        return !isClosed;
    }

    void write(HttpCall nextCall, byte[] request) {
        unconfirmedCalls.add(nextCall);
        trailingBytes = new TrailingBytes();
        call = nextCall;
        isWritten = false;
        connection.write(request);
        if (connection.unsentBytes() == 0) {
            flushed();
        }
    }

    @Override
    public void flushed() {
        if (call != null && !isWritten) {
            isWritten = true;
            call.markWritten();
        }
    }

    @Override
    public void received(ByteBuffer bytes) {
        if (call == null) {
            receiveWithoutCall(bytes);
            return;
        }
        HttpResponse response = null;
        try {
            rejectInputBehindRows(bytes);
            response = parser.read(bytes);
            if (response == null) {
                return;
            }
            trailingBytes.add(bytes);
            if (trailingBytes.areRows()) {
                throw new HttpResponseParser.MalformedResponseException(
                        "rows beyond the declared length");
            }
            completeCall(response);
        } catch (HttpResponseParser.MalformedResponseException e) {
            if (response == null && lastHadRows && parser.isInStatusLine()) {
                owner.onLateRows(); // what is no response may be more of the rows before it
            }
            rejectInput(e.getMessage());
        }
    }

    /**
     * Handles bytes that belong to no call. Behind a response with rows they may be more of these:
     * then the connection stays open, so that the rest of them can arrive.
     */
    private void receiveWithoutCall(ByteBuffer bytes) {
        trailingBytes.add(bytes);
        if (lastHadRows && trailingBytes.areRows()) {
            owner.onLateRows();
            rejectInput("rows behind a complete response");
        } else if (lastHadRows) {
            isReusable = false;
        } else {
            rejectInput("response without a call");
        }
    }

    private void rejectInput(String reason) {
        counters.increment(Count.ENGINES_GARBLED);
        Logger.warn("engine {}: {}; the connection is closed", pool.engineName(), reason);
        connection.close();
        disconnected(); // fails the call at once, not at its response timeout
    }

    /** Rejects bytes that begin no response without waiting for the end of their line. */
    private void rejectInputBehindRows(ByteBuffer bytes)
            throws HttpResponseParser.MalformedResponseException {
        if (lastHadRows && parser.isBetweenResponses() && !TrailingBytes.mayBeginResponse(bytes)) {
            throw new HttpResponseParser.MalformedResponseException("no response to the call");
        }
    }

    private static boolean hasRows(HttpResponse response) {
        return response.status() == STATUS_OK;
    }

    private void completeCall(HttpResponse response) {
        HttpCall completedCall = call;
        boolean isUnambiguous = !hasResponded || completedCall.matchesOnlyThisCall(response);
        call = null;
        hasResponded = true;
        lastHadRows = hasRows(response);
        isReusable = response.keepAlive() && trailingBytes.isEmpty();
        if (isUnambiguous) { // an engine handles the calls of a connection in order
            endDeliveries();
        }
        if (isReusable || lastHadRows) { // more rows may still come behind it
            owner.onAnswered(this);
        } else {
            countTrailingBytes();
            close();
        }
        completedCall.complete(response, isUnambiguous);
    }

    /** A complete response counts, but bytes after it belong to no call. */
    private void countTrailingBytes() {
        if (!trailingBytes.isEmpty()) {
            counters.increment(Count.ENGINES_GARBLED);
        }
    }

    @Override
    public void handlerFailed() {
        counters.increment(Count.INTERNAL_ERRORS);
        disconnected();
    }

    @Override
    public void disconnected() {
        markClosed();
        HttpCall brokenCall = call;
        call = null;
        if (brokenCall != null) {
            connection.abort(); // no more bytes of a call reported as broken may arrive
            counters.increment(Count.ENGINES_BROKEN);
            endDeliveries();
            brokenCall.failBroken();
        } else if (!unconfirmedCalls.isEmpty()) {
            abort();
        }
    }

    /** Closes the connection without notifying a call on it. */
    void close() {
        if (!unconfirmedCalls.isEmpty()) {
            abort(); // an orderly close would still deliver bytes buffered in the kernel
            return;
        }
        call = null;
        connection.close();
        markClosed();
    }

    /**
     * Resets the connection without notifying a call on it; bytes that have not reached the engine
     * never do.
     */
    void abort() {
        call = null;
        connection.abort();
        markClosed();
        loop.runAfterNextPass(this::endDeliveries); // the reset has reached the kernel by then
    }

    private void endDeliveries() {
        List<HttpCall> endedCalls = List.copyOf(unconfirmedCalls);
        unconfirmedCalls.clear();
        endedCalls.forEach(HttpCall::endDelivery);
    }

    private void markClosed() {
        if (!isClosed) {
            isClosed = true;
            pool.onConnectionClosed();
        }
    }
}
