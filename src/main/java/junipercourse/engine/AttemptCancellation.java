package junipercourse.engine;

import junipercourse.core.Query;
import junipercourse.liveness.AttemptLiveness;
import junipercourse.net.DeadlineQueue;
import junipercourse.net.EventLoop;

/** Cancels an attempt: sends DELETE to its engine until the query is proven not to run any more. */
final class AttemptCancellation {
    private static final double RETRY_DELAY_SECONDS = 0.1;
    private static final int STATUS_DELETED = 204;

    private final EventLoop loop;
    private final Query query;
    private final AttemptConnections connections;
    private final AttemptLiveness liveness;
    private final Runnable onQueryStopped;
    private DeadlineQueue.Entry expiryTimer;

    /** {@code onQueryStopped} runs once the engine certainly does not run the query any more. */
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
     * Starts the cancellation of an attempt of which something was written.
     *
     * @param deliveryMarginSeconds for bytes of a reset call to arrive before the DELETE
     */
    void begin(double deliveryMarginSeconds) {
        if (liveness.hasEngineResponded()) {
            connections.abortIgnored(AttemptConnections.RESPONSE_TIMEOUT_SECONDS);
            sendDelete();
        } else {
            // Does not await a response of a silent engine. The delay prevents that the DELETE
            // overtakes its POST and leaves the query running.
            connections.abortIgnored(0);
            connections.schedule(deliveryMarginSeconds, this::sendDelete);
        }
        waitForExpiry();
    }

    /** Stops waiting: the attempt has completed. */
    void stop() {
        loop.cancel(expiryTimer);
    }

    /** Without any response, the query has expired once it has not been polled for long enough. */
    private void waitForExpiry() {
        double now = loop.now();
        double expiresAt = liveness.latestExpiryTime();
        if (expiresAt <= now) {
            onQueryStopped.run();
        } else { // a call in transit is aborted within its response timeout
            expiryTimer =
                    loop.scheduleAt(
                            Math.min(expiresAt, now + AttemptConnections.RESPONSE_TIMEOUT_SECONDS),
                            this::waitForExpiry);
        }
    }

    private void sendDelete() {
        connections.makeCall(
                EngineRequestEncoder.encodeBodiless("DELETE", query, ""),
                new DeleteListener(),
                false);
    }

    private final class DeleteListener extends AttemptConnections.CallListener {
        DeleteListener() {
            super(connections);
        }

        /** Does not record a poll: a DELETE does not keep the query alive. */
        @Override
        public boolean mayWrite() {
            markWriteStarted();
            return true;
        }

        @Override
        public boolean matchesOnlyThisCall(HttpResponse response) {
            return response.status() == STATUS_DELETED;
        }

        /**
         * Only a 204 proves the deletion: another response may be a duplicate of an earlier one.
         */
        @Override
        void handleResponse(HttpResponse response, boolean isUnambiguous) {
            if (response.status() == STATUS_DELETED) {
                onQueryStopped.run();
            } else {
                connections.resetIdle();
                handleFailure();
            }
        }

        /** Retries until the DELETE is answered or the query expires: until then it may run. */
        @Override
        void handleFailure() {
            connections.schedule(RETRY_DELAY_SECONDS, AttemptCancellation.this::sendDelete);
        }
    }
}
