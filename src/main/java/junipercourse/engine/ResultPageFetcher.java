package junipercourse.engine;

import junipercourse.core.Counters;
import junipercourse.core.Counters.Count;
import junipercourse.core.Query;
import junipercourse.liveness.AttemptLiveness;

/** Gets the further pages of a result, after its good end was told with page 0. */
final class ResultPageFetcher {
    private static final double ASK_AGAIN_S = 0.1;

    /** Calls in a row that do not bring the page. */
    private static final int BREAKS = 4;

    private static final int FIRST_ERROR = 400;

    private final Query query;
    private final ResultPages pages;
    private final AttemptConnections calls;
    private final AttemptLiveness evidence;
    private final Counters counters;
    private final CompletionListener done;
    private int breaks;

    /** Is told once, when all pages are there or one is lost. */
    interface CompletionListener {
        void done(boolean whole);
    }

    ResultPageFetcher(
            Query query,
            ResultPages pages,
            AttemptConnections calls,
            AttemptLiveness evidence,
            Counters counters,
            CompletionListener done) {
        this.query = query;
        this.pages = pages;
        this.calls = calls;
        this.evidence = evidence;
        this.counters = counters;
        this.done = done;
    }

    void next() {
        if (pages.whole()) {
            done.done(true);
        } else {
            calls.later(
                    breaks > 1 ? ASK_AGAIN_S : AttemptConnections.REST_S,
                    () ->
                            calls.run(
                                    EngineRequestEncoder.bare("GET", query, "/" + pages.next()),
                                    new PageListener(),
                                    false));
        }
    }

    private final class PageListener extends AttemptConnections.CallListener {
        PageListener() {
            super(calls);
        }

        /** A page bears its number; an error is told of no query whose pages are got after it. */
        @Override
        public boolean proves(HttpResponse response) {
            return pages.isNext(response) || response.status() >= FIRST_ERROR;
        }

        @Override
        void told(HttpResponse response, boolean sure) {
            if (pages.further(response)) {
                evidence.recordResponse();
                breaks = 0;
                next();
            } else if (response.status() >= FIRST_ERROR) {
                done.done(false); // pages end with their engine, or when nobody asks for them
            } else { // spoilt, or a copy of a 202 or of another page: the engine still has this one
                counters.increment(Count.ENGINES_GARBLED);
                calls.reset();
                failed();
            }
        }

        @Override
        void failed() {
            breaks++;
            if (breaks >= BREAKS) {
                evidence.recordResponse(); // it is known to have ended well: nobody has left it
                // alone
                done.done(false);
            } else {
                next();
            }
        }

        @Override
        public void unreachable(boolean refused) {
            failed();
        }
    }
}
