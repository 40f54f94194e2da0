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
    /** The attempt that a connection serves. */
    interface Owner {
        /** The call on the connection is answered; it can carry another one. */
        void onReusable(EngineConnection connection);
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
     * Whether the connection can carry another call. It is closed if bytes have arrived since the
     * last response, since these belong to no call.
     */
    boolean checkReusable() {
        if (isClosed) {
            return false;
        }
        if (!connection.isOpenWithoutInput()) {
            counters.increment(Count.ENGINES_GARBLED);
            close();
            return false;
        }
        return true;
    }

    /** Whether the connection is neither closed nor broken. */
    boolean isOpen() {
        return !isClosed;
    }

    void write(HttpCall nextCall, byte[] request) {
        unconfirmedCalls.add(nextCall);
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
        try {
            HttpResponse response = parser.read(bytes);
            if (response == null && call != null) {
                return;
            }
            if (response == null || call == null) {
                throw new HttpResponseParser.MalformedResponseException("response without a call");
            }
            if (bytes.hasRemaining() && HttpResponseParser.containsRows(bytes)) {
                throw new HttpResponseParser.MalformedResponseException(
                        "rows beyond the declared length");
            }
            completeCall(response, bytes.hasRemaining());
        } catch (HttpResponseParser.MalformedResponseException e) {
            counters.increment(Count.ENGINES_GARBLED);
            Logger.warn(
                    "engine {}: {}; the connection is closed", pool.engineName(), e.getMessage());
            connection.close();
            disconnected(); // fails the call at once, not at its response timeout
        }
    }

    private void completeCall(HttpResponse response, boolean hasTrailingBytes) {
        HttpCall completedCall = call;
        boolean isUnambiguous = !hasResponded || completedCall.matchesOnlyThisCall(response);
        call = null;
        hasResponded = true;
        if (isUnambiguous) { // an engine handles the calls of a connection in order
            endDeliveries();
        }
        if (hasTrailingBytes) { // a complete response counts, but bytes after it belong to no call
            counters.increment(Count.ENGINES_GARBLED);
            close();
        } else if (response.keepAlive()) {
            owner.onReusable(this);
        } else {
            close();
        }
        completedCall.complete(response, isUnambiguous);
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
