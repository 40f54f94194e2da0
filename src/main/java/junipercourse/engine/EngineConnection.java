package junipercourse.engine;

import java.nio.ByteBuffer;
import junipercourse.core.Counters;
import junipercourse.core.Counters.Count;
import junipercourse.net.Link;
import junipercourse.net.Loop;
import org.tinylog.Logger;
import org.xnio.StreamConnection;

/** One connection to an engine, with at most one call on it. Its pool owns it. */
final class EngineConnection implements Link.Handler {
    private final EnginePool pool;
    private final Counters counters;
    private final HttpParser parser = new HttpParser();
    private final Link link;
    private EngineCall call;
    private boolean written;
    double idleSince;

    EngineConnection(Loop loop, StreamConnection connection, EnginePool pool, Counters counters) {
        this.pool = pool;
        this.counters = counters;
        this.link = new Link(loop, connection, this);
    }

    /** Guards the next call against what still came after the last answer: it would be taken for its own. */
    boolean quiet() {
        return link.quiet();
    }

    void write(EngineCall next, byte[] request) {
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
                throw new HttpParser.GarbledException("an answer to nothing");
            }
            EngineCall done = call;
            call = null;
            if (bytes.hasRemaining()) { // a whole answer counts, but what follows it belongs to no call
                counters.add(Count.ENGINES_GARBLED);
                close();
            } else if (response.keepAlive()) {
                pool.idle(this);
            } else {
                close();
            }
            done.answered(response);
        } catch (HttpParser.GarbledException e) {
            counters.add(Count.ENGINES_GARBLED);
            Logger.warn("engine {}: {}; the connection is closed", pool.name(), e.getMessage());
            link.close();
            disconnected(); // the call on it is told at once, not when its answer is overdue
        }
    }

    @Override
    public void crashed() {
        counters.add(Count.INTERNAL_ERRORS);
        disconnected();
    }

    @Override
    public void disconnected() {
        pool.left(this);
        EngineCall broken = call;
        call = null;
        if (broken != null) {
            link.abort(); // of a call that is told as broken nothing more may arrive
            counters.add(Count.ENGINES_BROKEN);
            broken.broken();
        }
    }

    /** Closes; a call on it hears nothing. */
    void close() {
        call = null;
        link.close();
        pool.left(this);
    }

    /** Closes with a reset; a call on it hears nothing, and what has not reached the engine never does. */
    void abort() {
        call = null;
        link.abort();
        pool.left(this);
    }
}
