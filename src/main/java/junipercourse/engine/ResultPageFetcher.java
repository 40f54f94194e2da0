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

    /** Pages of one result that may turn out to be incomplete. */
    private static final int MAX_REMOVED_PAGES = 16;

    private static final int FIRST_ERROR_STATUS = 400;

    private final Query query;
    private final ResultPages pages;
    private final AttemptConnections connections;
    private final AttemptLiveness liveness;
    private final Counters counters;
    private final CompletionListener listener;
    private int failures;
    private int removedPages;

    /** Exactly one of its methods is called, once. */
    interface CompletionListener {
        /** All pages are fetched, or one is lost. */
        void onFinished(boolean isComplete);

        /** Page 0 was incomplete and is removed: it has to be polled again. */
        void onFirstPageIncomplete();
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

    /** Starts after page 0 has been added. */
    void start() {
        awaitLateRows();
    }

    /** Gives rows behind the last page the time to arrive, before the page is relied on. */
    private void awaitLateRows() {
        connections.schedule(AttemptConnections.REUSE_DELAY_SECONDS, this::confirmLastPage);
    }

    private void confirmLastPage() {
        if (connections.takeLateRows()) {
            removeLastPage();
            return;
        }
        failures = 0;
        if (pages.isComplete()) {
            listener.onFinished(true);
        } else {
            fetchNext();
        }
    }

    private void fetchNext() {
        connections.makeCall(
                EngineRequestEncoder.encodeBodiless("GET", query, "/" + pages.nextNumber()),
                new PageListener(),
                false);
    }

    /** Rows came behind the page added last: the engine still has the whole page. */
    private void removeLastPage() {
        removedPages++;
        pages.removeLast();
        if (pages.isEmpty()) {
            listener.onFirstPageIncomplete();
        } else {
            retryOrFinish();
        }
    }

    private void retryOrFinish() {
        failures++;
        if (failures >= MAX_FAILURES || removedPages >= MAX_REMOVED_PAGES) {
            liveness.recordResponse(); // known to have succeeded, so not expired unpolled
            listener.onFinished(false);
        } else {
            connections.schedule(
                    failures > 1 ? RETRY_DELAY_SECONDS : AttemptConnections.REUSE_DELAY_SECONDS,
                    this::fetchNext);
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
                awaitLateRows();
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
            if (connections.takeLateRows()) { // they came while this call was open
                removeLastPage();
            } else {
                retryOrFinish();
            }
        }
    }
}
