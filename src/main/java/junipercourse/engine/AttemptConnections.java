package junipercourse.engine;

import java.util.function.Supplier;
import junipercourse.liveness.AttemptLiveness;
import junipercourse.net.DeadlineQueue;
import junipercourse.net.EventLoop;

/**
 * The calls of one attempt, one after the other, each with the time it has for its answer, and
 * their connections: at most two, the second one for a DELETE beside a call that the engine holds.
 * No other attempt ever uses them, so that all that comes there is about this query; its end closes
 * them.
 */
final class AttemptConnections implements EngineConnection.Owner {
    /** The engine answers each call within a quarter of a second; one this late is lost. */
    static final double ANSWER_S = 0.6;

    /**
     * Before a connection is used again: what an engine sends right behind an answer has come by
     * then.
     */
    static final double REST_S = 0.002;

    private final EventLoop loop;
    private final EnginePool pool;
    private final AttemptLiveness evidence;
    private HttpCall call;
    private CallListener waiting;
    private HttpCall ignored;
    private EngineConnection kept;
    private boolean ended;
    private DeadlineQueue.Entry timer;

    AttemptConnections(EventLoop loop, EnginePool pool, AttemptLiveness evidence) {
        this.loop = loop;
        this.pool = pool;
        this.evidence = evidence;
    }

    /** Makes a call on the connection that is kept, if that is usable, or on a new one. */
    void run(byte[] request, CallListener step, boolean starts) {
        run(() -> request, step, starts);
    }

    /**
     * Makes the call that starts the query, whose bytes tell of the moment when the first of them
     * leaves.
     */
    void start(Supplier<byte[]> request, CallListener step) {
        run(request, step, true);
    }

    private void run(Supplier<byte[]> request, CallListener step, boolean starts) {
        HttpCall mine = new HttpCall(request, step);
        call = mine;
        waiting = step;
        // A new query's connection comes up within the settings' time or never; then it goes
        // elsewhere.
        await(starts ? ANSWER_S + pool.dialTimeout() : ANSWER_S);
        EngineConnection reused = kept;
        kept = null;
        if (reused != null && reused.usable()) {
            mine.run(reused);
        } else {
            pool.call(mine, starts, this);
        }
    }

    /**
     * Waits so long for the call that is out; its first byte begins that anew, as its answer's
     * time.
     */
    private void await(double seconds) {
        HttpCall mine = call;
        CallListener step = waiting;
        later(
                seconds,
                () -> {
                    mine.drop();
                    step.failed();
                });
    }

    @Override
    public void free(EngineConnection connection) {
        if (ended || kept != null) {
            connection.close();
        } else {
            kept = connection;
        }
    }

    /**
     * Resets the connection that is kept: what came there last may be no answer to the last call.
     */
    void reset() {
        if (kept != null) {
            kept.abort();
            kept = null;
        }
    }

    /** Does something later instead of waiting for an answer. */
    void later(double delay, Runnable task) {
        loop.cancel(timer);
        timer = loop.scheduleAfter(delay, task);
    }

    /** Waits for nothing any more; the last call, if there was one, hears no more of its answer. */
    void ignore() {
        loop.cancel(timer);
        if (call != null) {
            call.ignore();
            ignored = call;
        }
    }

    /** Resets the connection of the ignored call, after a delay only if it has no answer then. */
    void dropIgnored(double delay) {
        if (delay > 0) {
            loop.scheduleAfter(delay, ignored::drop);
        } else {
            ignored.drop();
        }
    }

    /** Whether a call was ever made. */
    boolean began() {
        return call != null;
    }

    /**
     * The attempt is over: closes its connections, with a reset where a call may still be on its
     * way.
     */
    void end() {
        ended = true;
        loop.cancel(timer);
        if (ignored != null) {
            ignored.drop();
        }
        if (call != null) {
            call.drop();
        }
        if (kept != null) {
            kept.close();
        }
    }

    /** What all calls have in common. */
    abstract static class CallListener implements HttpCall.Listener {
        private final AttemptConnections calls;
        private boolean onTheWay;
        private double writtenAt;

        CallListener(AttemptConnections calls) {
            this.calls = calls;
        }

        @Override
        public boolean mayWrite() {
            begins();
            onTheWay = true;
            calls.evidence.recordCallStarted(writtenAt, calls.loop.responsiveSeconds());
            return true;
        }

        /**
         * Its first byte is written now: the time that its connection took to come up was none of
         * its.
         */
        final void begins() {
            writtenAt = calls.loop.now();
            calls.await(ANSWER_S);
        }

        /** Seconds since its first byte. */
        final double age() {
            return calls.loop.now() - writtenAt;
        }

        @Override
        public final void over() {
            if (onTheWay) {
                onTheWay = false;
                calls.evidence.recordCallCompleted(calls.loop.now());
            }
        }

        @Override
        public final void answered(HttpResponse response, boolean sure) {
            told(response, sure);
        }

        @Override
        public final void broken() {
            failed();
        }

        /** The engine has answered; {@code sure} as in {@link HttpCall.Listener#answered}. */
        abstract void told(HttpResponse response, boolean sure);

        /** The call brought nothing readable, and brings nothing more. */
        abstract void failed();

        /** No room for a connection: like one that broke. */
        @Override
        public void takenBack() {
            failed();
        }
    }
}
