package junipercourse.engine;

import junipercourse.core.Counters;
import junipercourse.core.Counters.Count;
import junipercourse.core.Query;
import junipercourse.liveness.AttemptLiveness;

/** Fetches the pages of a result after page 0, which reported the success of the query. */
final class ResultPageFetcher {
    private static final double RETRY_DELAY_SECONDS = 0.1;

    /** Consecutive calls that may fail to return the page. */
    private static final int MAX_FAILURES = 4;

    private static final int FIRST_ERROR_STATUS = 400;

    private final Query query;
    private final ResultPages pages;
    private final AttemptConnections connections;
    private final AttemptLiveness liveness;
    private final Counters counters;
    private final CompletionListener listener;
    private int failures;

    /** Called once, when all pages are fetched or one is lost. */
    interface CompletionListener {
        void onFinished(boolean isComplete);
    }

    ResultPageFetcher(
            Query query,
            ResultPages pages,
            AttemptConnections connections,
            AttemptLiveness liveness,
            Counters counters,
            CompletionListener listener) {
        this.query = query;
        this.pages = pages;
        this.connections = connections;
        this.liveness = liveness;
        this.counters = counters;
        this.listener = listener;
    }

    void fetchNext() {
        if (pages.isComplete()) {
            listener.onFinished(true);
        } else {
            connections.schedule(
                    failures > 1 ? RETRY_DELAY_SECONDS : AttemptConnections.REUSE_DELAY_SECONDS,
                    () ->
                            connections.makeCall(
                                    EngineRequestEncoder.encodeBodiless(
                                            "GET", query, "/" + pages.nextNumber()),
                                    new PageListener(),
                                    false));
        }
    }

    private final class PageListener extends AttemptConnections.CallListener {
        PageListener() {
            super(connections);
        }

        /** A page carries its number; an error is no duplicate, as no page is fetched after one. */
        @Override
        public boolean matchesOnlyThisCall(HttpResponse response) {
            return pages.isNextPage(response) || response.status() >= FIRST_ERROR_STATUS;
        }

        @Override
        void handleResponse(HttpResponse response, boolean isUnambiguous) {
            if (pages.addNext(response)) {
                liveness.recordResponse();
                failures = 0;
                fetchNext();
            } else if (response.status() >= FIRST_ERROR_STATUS) {
                listener.onFinished(false); // pages are lost with their engine, or expire unpolled
            } else { // malformed, or a duplicate of a 202 or of another page: the engine has this
                // one
                counters.increment(Count.ENGINES_GARBLED);
                connections.resetIdle();
                handleFailure();
            }
        }

        @Override
        void handleFailure() {
            failures++;
            if (failures >= MAX_FAILURES) {
                liveness.recordResponse(); // known to have succeeded, so not expired unpolled
                listener.onFinished(false);
            } else {
                fetchNext();
            }
        }

        @Override
        public void onUnreachable(boolean refused) {
            handleFailure();
        }
    }
}
