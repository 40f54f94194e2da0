package junipercourse.engine;

import junipercourse.core.Counters;
import junipercourse.core.Counters.Count;
import junipercourse.core.Query;
import junipercourse.liveness.AttemptLiveness;

/** Gets the further pages of a result, after its good end was told with page 0. */
final class ResultPageFetcher {
    private static final double RETRY_DELAY_SECONDS = 0.1;

    /** Calls in a row that do not bring the page. */
    private static final int MAX_FAILURES = 4;

    private static final int FIRST_ERROR_STATUS = 400;

    private final Query query;
    private final ResultPages pages;
    private final AttemptConnections connections;
    private final AttemptLiveness liveness;
    private final Counters counters;
    private final CompletionListener listener;
    private int failures;

    /** Is told once, when all pages are there or one is lost. */
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
                                    EngineRequestEncoder.encodeWithoutBody(
                                            "GET", query, "/" + pages.nextNumber()),
                                    new PageListener(),
                                    false));
        }
    }

    private final class PageListener extends AttemptConnections.CallListener {
        PageListener() {
            super(connections);
        }

        /** A page bears its number; an error is told of no query whose pages are got after it. */
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
                listener.onFinished(
                        false); // pages end with their engine, or when nobody asks for them
            } else { // spoilt, or a copy of a 202 or of another page: the engine still has this one
                counters.increment(Count.ENGINES_GARBLED);
                connections.resetIdle();
                handleFailure();
            }
        }

        @Override
        void handleFailure() {
            failures++;
            if (failures >= MAX_FAILURES) {
                liveness.recordResponse(); // it is known to have ended well: nobody has left it
                // alone
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
