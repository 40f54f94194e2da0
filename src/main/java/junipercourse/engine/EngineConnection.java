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
 * One connection to an engine, with at most one call on it. It serves one attempt of one query and
 * is then closed: an answer names no query, and a second copy of it may come at any later time.
 */
final class EngineConnection implements Connection.Handler {
    /** The attempt that a connection serves. */
    interface Owner {
        /** The call on it is answered, and it can serve another. */
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

    /**
     * Calls of which no answer proves that they have arrived. At most those that one attempt makes.
     */
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
     * Whether another call can go here. What came since the last answer is to nothing: it is closed
     * then.
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

    /** Whether it has neither been closed nor broken. */
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
                throw new HttpResponseParser.MalformedResponseException("an answer to nothing");
            }
            if (bytes.hasRemaining() && HttpResponseParser.containsRows(bytes)) {
                throw new HttpResponseParser.MalformedResponseException(
                        "rows behind the length told");
            }
            completeCall(response, bytes.hasRemaining());
        } catch (HttpResponseParser.MalformedResponseException e) {
            counters.increment(Count.ENGINES_GARBLED);
            Logger.warn(
                    "engine {}: {}; the connection is closed", pool.engineName(), e.getMessage());
            connection.close();
            disconnected(); // the call on it is told at once, not when its answer is overdue
        }
    }

    private void completeCall(HttpResponse response, boolean hasTrailingBytes) {
        HttpCall completedCall = call;
        boolean isUnambiguous = !hasResponded || completedCall.matchesOnlyThisCall(response);
        call = null;
        hasResponded = true;
        if (isUnambiguous) { // an engine takes the calls of a connection in order
            endDeliveries();
        }
        if (hasTrailingBytes) { // a whole answer counts, but what follows it belongs to no call
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
            connection.abort(); // of a call that is told as broken nothing more may arrive
            counters.increment(Count.ENGINES_BROKEN);
            endDeliveries();
            brokenCall.failBroken();
        } else if (!unconfirmedCalls.isEmpty()) {
            abort();
        }
    }

    /** Closes; a call on it hears nothing. */
    void close() {
        if (!unconfirmedCalls
                .isEmpty()) { // an orderly close would still deliver what lies in the kernel
            abort();
            return;
        }
        call = null;
        connection.close();
        markClosed();
    }

    /**
     * Closes with a reset; a call on it hears nothing, and what has not reached the engine never
     * does.
     */
    void abort() {
        call = null;
        connection.abort();
        markClosed();
        loop.runAfterNextPass(
                this::endDeliveries); // by then the reset has surely reached the kernel
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
