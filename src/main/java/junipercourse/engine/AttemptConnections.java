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
    static final double RESPONSE_TIMEOUT_SECONDS = 0.6;

    /**
     * Before a connection is used again: what an engine sends right behind an answer has come by
     * then.
     */
    static final double REUSE_DELAY_SECONDS = 0.002;

    private final EventLoop loop;
    private final EnginePool pool;
    private final AttemptLiveness liveness;
    private HttpCall call;
    private CallListener listener;
    private HttpCall ignoredCall;
    private EngineConnection idleConnection;
    private boolean isClosed;
    private DeadlineQueue.Entry timer;

    AttemptConnections(EventLoop loop, EnginePool pool, AttemptLiveness liveness) {
        this.loop = loop;
        this.pool = pool;
        this.liveness = liveness;
    }

    /** Makes a call on the connection that is kept, if that is usable, or on a new one. */
    void makeCall(byte[] request, CallListener callListener, boolean startsQuery) {
        makeCall(() -> request, callListener, startsQuery);
    }

    /**
     * Makes the call that starts the query, whose bytes tell of the moment when the first of them
     * leaves.
     */
    void makeStartCall(Supplier<byte[]> request, CallListener callListener) {
        makeCall(request, callListener, true);
    }

    private void makeCall(
            Supplier<byte[]> request, CallListener callListener, boolean startsQuery) {
        HttpCall newCall = new HttpCall(request, callListener);
        call = newCall;
        listener = callListener;
        // A new query's connection comes up within the settings' time or never; then it goes
        // elsewhere.
        armResponseTimer(
                startsQuery
                        ? RESPONSE_TIMEOUT_SECONDS + pool.dialTimeoutSeconds()
                        : RESPONSE_TIMEOUT_SECONDS);
        EngineConnection reusable = idleConnection;
        idleConnection = null;
        if (reusable != null && reusable.checkReusable()) {
            newCall.writeOn(reusable);
        } else {
            pool.callOnNewConnection(newCall, startsQuery, this);
        }
    }

    /**
     * Waits so long for the call that is out; its first byte begins that anew, as its answer's
     * time.
     */
    private void armResponseTimer(double seconds) {
        HttpCall timedCall = call;
        CallListener timedListener = listener;
        schedule(
                seconds,
                () -> {
                    timedCall.abort();
                    timedListener.handleFailure();
                });
    }

    @Override
    public void onReusable(EngineConnection connection) {
        if (isClosed || idleConnection != null) {
            connection.close();
        } else {
            idleConnection = connection;
        }
    }

    /**
     * Resets the connection that is kept: what came there last may be no answer to the last call.
     */
    void resetIdle() {
        if (idleConnection != null) {
            idleConnection.abort();
            idleConnection = null;
        }
    }

    /** Does something later instead of waiting for an answer. */
    void schedule(double delaySeconds, Runnable task) {
        loop.cancel(timer);
        timer = loop.scheduleAfter(delaySeconds, task);
    }

    /** Waits for nothing any more; the last call, if there was one, hears no more of its answer. */
    void ignore() {
        loop.cancel(timer);
        if (call != null) {
            call.ignore();
            ignoredCall = call;
        }
    }

    /** Resets the connection of the ignored call, after a delay only if it has no answer then. */
    void abortIgnored(double delaySeconds) {
        if (delaySeconds > 0) {
            loop.scheduleAfter(delaySeconds, ignoredCall::abort);
        } else {
            ignoredCall.abort();
        }
    }

    /** Whether a call was ever made. */
    boolean hasMadeCall() {
        return call != null;
    }

    /**
     * The attempt is over: closes its connections, with a reset where a call may still be on its
     * way.
     */
    void close() {
        isClosed = true;
        loop.cancel(timer);
        if (ignoredCall != null) {
            ignoredCall.abort();
        }
        if (call != null) {
            call.abort();
        }
        if (idleConnection != null) {
            idleConnection.close();
        }
    }

    /** What all calls have in common. */
    abstract static class CallListener implements HttpCall.Listener {
        private final AttemptConnections connections;
        private boolean isInTransit;
        private double writeStartedAt;

        CallListener(AttemptConnections connections) {
            this.connections = connections;
        }

        @Override
        public boolean mayWrite() {
            markWriteStarted();
            isInTransit = true;
            connections.liveness.recordCallStarted(
                    writeStartedAt, connections.loop.responsiveSeconds());
            return true;
        }

        /**
         * Its first byte is written now: the time that its connection took to come up was none of
         * its.
         */
        final void markWriteStarted() {
            writeStartedAt = connections.loop.now();
            connections.armResponseTimer(RESPONSE_TIMEOUT_SECONDS);
        }

        /** Seconds since its first byte. */
        final double secondsSinceWrite() {
            return connections.loop.now() - writeStartedAt;
        }

        @Override
        public final void onDeliveryEnded() {
            if (isInTransit) {
                isInTransit = false;
                connections.liveness.recordCallCompleted(connections.loop.now());
            }
        }

        @Override
        public final void onResponse(HttpResponse response, boolean isUnambiguous) {
            handleResponse(response, isUnambiguous);
        }

        @Override
        public final void onConnectionBroken() {
            handleFailure();
        }

        /** The engine has answered; {@code sure} as in {@link HttpCall.Listener#onResponse}. */
        abstract void handleResponse(HttpResponse response, boolean isUnambiguous);

        /** The call brought nothing readable, and brings nothing more. */
        abstract void handleFailure();

        /** No room for a connection: like one that broke. */
        @Override
        public void onWithdrawn() {
            handleFailure();
        }
    }
}
