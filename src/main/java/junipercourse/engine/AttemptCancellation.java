package junipercourse.engine;

import junipercourse.core.Query;
import junipercourse.liveness.AttemptLiveness;
import junipercourse.net.DeadlineQueue;
import junipercourse.net.EventLoop;

/** Gives an attempt up: has its engine delete the query, and waits until that is proven. */
final class AttemptCancellation {
    private static final double ASK_AGAIN_S = 0.1;
    private static final int DELETED = 204;

    private final EventLoop loop;
    private final Query query;
    private final AttemptConnections calls;
    private final AttemptLiveness evidence;
    private final Runnable done;
    private DeadlineQueue.Entry forgotten;

    /** {@code done} is run once the engine surely does not run the query any more. */
    AttemptCancellation(
            EventLoop loop,
            Query query,
            AttemptConnections calls,
            AttemptLiveness evidence,
            Runnable done) {
        this.loop = loop;
        this.query = query;
        this.calls = calls;
        this.evidence = evidence;
        this.done = done;
    }

    /**
     * Begins, after something was written. {@code overtake} is what a call that is reset may still
     * need.
     */
    void begin(double overtake) {
        if (evidence
                .hasEngineResponded()) { // a silent engine's connection is not kept for its answer
            calls.dropIgnored(AttemptConnections.ANSWER_S);
            delete();
        } else { // guards against a DELETE that overtakes its POST and leaves the query running
            calls.dropIgnored(0);
            calls.later(overtake, this::delete);
        }
        untilForgotten();
    }

    /** The attempt is over. */
    void end() {
        loop.cancel(forgotten);
    }

    /** If nobody answers, the query is surely gone once it has not been asked for long enough. */
    private void untilForgotten() {
        double now = loop.now();
        double gone = evidence.latestExpiryTime();
        if (gone <= now) {
            done.run();
        } else { // a call that is on its way is dropped within the time for its answer
            forgotten =
                    loop.scheduleAt(
                            Math.min(gone, now + AttemptConnections.ANSWER_S),
                            this::untilForgotten);
        }
    }

    private void delete() {
        calls.run(EngineRequestEncoder.bare("DELETE", query, ""), new DeleteListener(), false);
    }

    private final class DeleteListener extends AttemptConnections.CallListener {
        DeleteListener() {
            super(calls);
        }

        /** Asking the engine to forget a query does not keep it alive. */
        @Override
        public boolean mayWrite() {
            begins();
            return true;
        }

        @Override
        public boolean proves(HttpResponse response) {
            return response.status() == DELETED;
        }

        /** Nothing but its 204 proves it: another answer may be a copy of an earlier one. */
        @Override
        void told(HttpResponse response, boolean sure) {
            if (response.status() == DELETED) {
                done.run();
            } else {
                calls.reset();
                failed();
            }
        }

        /** Tried until it is answered or the query is forgotten: until then it may run. */
        @Override
        void failed() {
            calls.later(ASK_AGAIN_S, AttemptCancellation.this::delete);
        }

        /**
         * Guards against a second attempt beside one at an engine that merely takes no more
         * connections.
         */
        @Override
        public void unreachable(boolean refused) {
            failed();
        }
    }
}
