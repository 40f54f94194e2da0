package junipercourse.engine;

import java.util.function.Supplier;
import junipercourse.liveness.AttemptLiveness;
import junipercourse.net.DeadlineQueue;
import junipercourse.net.EventLoop;

/**
 * Makes the calls of one attempt one after the other, each with a response timeout, and owns their
 * connections: at most two, the second one for a DELETE beside a call that the engine holds. No
 * other attempt uses them, so that everything received on them concerns this query. They are closed
 * when the attempt completes.
 */
final class AttemptConnections implements EngineConnection.Owner {
    /** The engine answers each call within 0.25 s; one unanswered after this time is lost. */
    static final double RESPONSE_TIMEOUT_SECONDS = 0.6;

    /**
     * Delay before a connection is reused: bytes that an engine sends right behind a response have
     * arrived by then.
     */
    static final double REUSE_DELAY_SECONDS = 0.002;

    private final EventLoop loop;
    private final EnginePool pool;
    private final AttemptLiveness liveness;
    private HttpCall call;
    private CallListener listener;
    private HttpCall ignoredCall;
    private EngineConnection idleConnection;
    private boolean hasLateRows;

    /** Whether the engine has closed the last connection; if it is silent, it may still run. */
    private boolean isClosedByEngine;

    private boolean isClosed;
    private DeadlineQueue.Entry timer;

    AttemptConnections(EventLoop loop, EnginePool pool, AttemptLiveness liveness) {
        this.loop = loop;
        this.pool = pool;
        this.liveness = liveness;
    }

    /** Makes a call on the idle connection if that can be reused, otherwise on a new one. */
    void makeCall(byte[] request, CallListener callListener, boolean startsQuery) {
        makeCall(() -> request, callListener, startsQuery);
    }

    /**
     * Makes the call that starts the query. Its bytes are created when the first one is written,
     * since they contain the time left.
     */
    void makeStartCall(Supplier<byte[]> request, CallListener callListener) {
        makeCall(request, callListener, true);
    }

    private void makeCall(
            Supplier<byte[]> request, CallListener callListener, boolean startsQuery) {
        HttpCall newCall = new HttpCall(request, callListener);
        call = newCall;
        listener = callListener;
        // A connection for a new query is established within the configured timeout, or the query
        // goes to another engine.
        armResponseTimer(
                startsQuery
                        ? RESPONSE_TIMEOUT_SECONDS + pool.dialTimeoutSeconds()
                        : RESPONSE_TIMEOUT_SECONDS);
        EngineConnection reusable = idleConnection;
        idleConnection = null;
        if (reusable != null && reusable.prepareReuse()) {
            newCall.writeOn(reusable);
            return;
        }
        isClosedByEngine |= reusable != null;
        if (pool.isAddressReused() && !isClosedByEngine) {
            loop.execute(newCall::withdraw); // the other engine knows nothing of the query
        } else {
            pool.callOnNewConnection(newCall, startsQuery, this);
        }
    }

    /**
     * Limits the time until the current call has a response; restarted when its first byte is
     * written.
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
    public void onAnswered(EngineConnection connection) {
        if (isClosed || idleConnection != null) {
            connection.close();
        } else {
            idleConnection = connection;
        }
    }

    @Override
    public void onLateRows() {
        hasLateRows = true;
    }

    /**
     * Reads what has arrived on the idle connection, and returns whether rows have come behind the
     * last response since this was asked last.
     */
    boolean takeLateRows() {
        if (idleConnection != null && !idleConnection.prepareReuse()) {
            idleConnection = null;
        }
        boolean found = hasLateRows;
        hasLateRows = false;
        return found;
    }

    /** Resets the idle connection: the last response on it may not belong to the last call. */
    void resetIdle() {
        if (idleConnection != null) {
            idleConnection.abort();
            idleConnection = null;
        }
    }

    /** Schedules a task in place of the response timer. */
    void schedule(double delaySeconds, Runnable task) {
        loop.cancel(timer);
        timer = loop.scheduleAfter(delaySeconds, task);
    }

    /** Stops the timer and ignores the response to the last call, if there was one. */
    void ignore() {
        loop.cancel(timer);
        if (call != null) {
            call.ignore();
            ignoredCall = call;
        }
    }

    /** Resets the connection of the ignored call; after a delay, only if it is unanswered then. */
    void abortIgnored(double delaySeconds) {
        if (delaySeconds > 0) {
            loop.scheduleAfter(delaySeconds, ignoredCall::abort);
        } else {
            ignoredCall.abort();
        }
    }

    boolean hasMadeCall() {
        return call != null;
    }

    /** Closes all connections, with a reset where a call may still be in transit. */
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

    /** Restarts the response timer and records in the liveness when a call is in transit. */
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

        /** Restarts the response timer, which so excludes the time taken to connect. */
        final void markWriteStarted() {
            writeStartedAt = connections.loop.now();
            connections.armResponseTimer(RESPONSE_TIMEOUT_SECONDS);
        }

        /** Seconds since the first byte of the call was written. */
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
            connections.isClosedByEngine = false;
            handleResponse(response, isUnambiguous);
        }

        @Override
        public final void onConnectionBroken() {
            connections.isClosedByEngine = true;
            handleFailure();
        }

        /** Handles a response; parameters as in {@link HttpCall.Subscription#onResponse}. */
        abstract void handleResponse(HttpResponse response, boolean isUnambiguous);

        /** Handles a call that ended without a readable response. */
        abstract void handleFailure();

        /**
         * Handled like a broken connection: a live process also refuses connections beyond its own
         * limit.
         */
        @Override
        public void onUnreachable(boolean refused) {
            handleFailure();
        }

        /** No connection was available: handled like a broken one. */
        @Override
        public void onWithdrawn() {
            handleFailure();
        }
    }
}
