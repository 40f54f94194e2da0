package junipercourse.engine;

import junipercourse.core.Query;
import junipercourse.liveness.AttemptLiveness;
import junipercourse.net.DeadlineQueue;
import junipercourse.net.EventLoop;

/** Gives an attempt up: has its engine delete the query, and waits until that is proven. */
final class AttemptCancellation {
    private static final double RETRY_DELAY_SECONDS = 0.1;
    private static final int STATUS_DELETED = 204;

    private final EventLoop loop;
    private final Query query;
    private final AttemptConnections connections;
    private final AttemptLiveness liveness;
    private final Runnable onQueryStopped;
    private DeadlineQueue.Entry expiryTimer;

    /** {@code done} is run once the engine surely does not run the query any more. */
    AttemptCancellation(
            EventLoop loop,
            Query query,
            AttemptConnections connections,
            AttemptLiveness liveness,
            Runnable onQueryStopped) {
        this.loop = loop;
        this.query = query;
        this.connections = connections;
        this.liveness = liveness;
        this.onQueryStopped = onQueryStopped;
    }

    /**
     * Begins, after something was written. {@code overtake} is what a call that is reset may still
     * need.
     */
    void begin(double deliveryMarginSeconds) {
        if (liveness
                .hasEngineResponded()) { // a silent engine's connection is not kept for its answer
            connections.abortIgnored(AttemptConnections.RESPONSE_TIMEOUT_SECONDS);
            sendDelete();
        } else { // guards against a DELETE that overtakes its POST and leaves the query running
            connections.abortIgnored(0);
            connections.schedule(deliveryMarginSeconds, this::sendDelete);
        }
        waitForExpiry();
    }

    /** The attempt is over. */
    void stop() {
        loop.cancel(expiryTimer);
    }

    /** If nobody answers, the query is surely gone once it has not been asked for long enough. */
    private void waitForExpiry() {
        double now = loop.now();
        double expiresAt = liveness.latestExpiryTime();
        if (expiresAt <= now) {
            onQueryStopped.run();
        } else { // a call that is on its way is dropped within the time for its answer
            expiryTimer =
                    loop.scheduleAt(
                            Math.min(expiresAt, now + AttemptConnections.RESPONSE_TIMEOUT_SECONDS),
                            this::waitForExpiry);
        }
    }

    private void sendDelete() {
        connections.makeCall(
                EngineRequestEncoder.encodeWithoutBody("DELETE", query, ""),
                new DeleteListener(),
                false);
    }

    private final class DeleteListener extends AttemptConnections.CallListener {
        DeleteListener() {
            super(connections);
        }

        /** Asking the engine to forget a query does not keep it alive. */
        @Override
        public boolean mayWrite() {
            markWriteStarted();
            return true;
        }

        @Override
        public boolean matchesOnlyThisCall(HttpResponse response) {
            return response.status() == STATUS_DELETED;
        }

        /** Nothing but its 204 proves it: another answer may be a copy of an earlier one. */
        @Override
        void handleResponse(HttpResponse response, boolean isUnambiguous) {
            if (response.status() == STATUS_DELETED) {
                onQueryStopped.run();
            } else {
                connections.resetIdle();
                handleFailure();
            }
        }

        /** Tried until it is answered or the query is forgotten: until then it may run. */
        @Override
        void handleFailure() {
            connections.schedule(RETRY_DELAY_SECONDS, AttemptCancellation.this::sendDelete);
        }

        /**
         * Guards against a second attempt beside one at an engine that merely takes no more
         * connections.
         */
        @Override
        public void onUnreachable(boolean refused) {
            handleFailure();
        }
    }
}
