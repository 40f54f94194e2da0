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
        void free(EngineConnection connection);
    }

    private final EventLoop loop;
    private final EnginePool pool;
    private final Owner owner;
    private final Counters counters;
    private final HttpResponseParser parser = new HttpResponseParser();
    private final Connection link;
    private HttpCall call;
    private boolean written;

    /**
     * Calls of which no answer proves that they have arrived. At most those that one attempt makes.
     */
    private final List<HttpCall> unproven = new ArrayList<>();

    private boolean hasAnswered;
    private boolean left;

    EngineConnection(
            EventLoop loop,
            StreamConnection connection,
            EnginePool pool,
            Owner owner,
            Counters counters) {
        this.loop = loop;
        this.pool = pool;
        this.owner = owner;
        this.counters = counters;
        this.link = new Connection(loop, connection, this);
    }

    /**
     * Whether another call can go here. What came since the last answer is to nothing: it is closed
     * then.
     */
    boolean usable() {
        if (left) {
            return false;
        }
        if (!link.isOpenWithoutInput()) {
            counters.increment(Count.ENGINES_GARBLED);
            close();
            return false;
        }
        return true;
    }

    /** Whether it has neither been closed nor broken. */
    boolean isOpen() {
        return !left;
    }

    void write(HttpCall next, byte[] request) {
        unproven.add(next);
        call = next;
        written = false;
        link.write(request);
        if (link.unsentBytes() == 0) {
            flushed();
        }
    }

    @Override
    public void flushed() {
        if (call != null && !written) {
            written = true;
            call.written();
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
            if (bytes.hasRemaining() && HttpResponseParser.rowsFollow(bytes)) {
                throw new HttpResponseParser.MalformedResponseException(
                        "rows behind the length told");
            }
            answered(response, bytes.hasRemaining());
        } catch (HttpResponseParser.MalformedResponseException e) {
            counters.increment(Count.ENGINES_GARBLED);
            Logger.warn("engine {}: {}; the connection is closed", pool.name(), e.getMessage());
            link.close();
            disconnected(); // the call on it is told at once, not when its answer is overdue
        }
    }

    private void answered(HttpResponse response, boolean followed) {
        HttpCall done = call;
        boolean sure = !hasAnswered || done.proves(response);
        call = null;
        hasAnswered = true;
        if (sure) { // an engine takes the calls of a connection in order
            nothingMore();
        }
        if (followed) { // a whole answer counts, but what follows it belongs to no call
            counters.increment(Count.ENGINES_GARBLED);
            close();
        } else if (response.keepAlive()) {
            owner.free(this);
        } else {
            close();
        }
        done.answered(response, sure);
    }

    @Override
    public void handlerFailed() {
        counters.increment(Count.INTERNAL_ERRORS);
        disconnected();
    }

    @Override
    public void disconnected() {
        leave();
        HttpCall broken = call;
        call = null;
        if (broken != null) {
            link.abort(); // of a call that is told as broken nothing more may arrive
            counters.increment(Count.ENGINES_BROKEN);
            nothingMore();
            broken.broken();
        } else if (!unproven.isEmpty()) {
            abort();
        }
    }

    /** Closes; a call on it hears nothing. */
    void close() {
        if (!unproven.isEmpty()) { // an orderly close would still deliver what lies in the kernel
            abort();
            return;
        }
        call = null;
        link.close();
        leave();
    }

    /**
     * Closes with a reset; a call on it hears nothing, and what has not reached the engine never
     * does.
     */
    void abort() {
        call = null;
        link.abort();
        leave();
        loop.runAfterNextPass(this::nothingMore); // by then the reset has surely reached the kernel
    }

    private void nothingMore() {
        List<HttpCall> over = List.copyOf(unproven);
        unproven.clear();
        over.forEach(HttpCall::nothingMore);
    }

    private void leave() {
        if (!left) {
            left = true;
            pool.left();
        }
    }
}
