package junipercourse.engine;

import java.util.List;
import junipercourse.core.Backend;
import junipercourse.core.Backend.End;
import junipercourse.core.Counters;
import junipercourse.core.Counters.Count;
import junipercourse.core.Query;
import junipercourse.decision.DispatchApi.Outcome;
import junipercourse.liveness.AttemptEvidence;
import junipercourse.net.Deadlines;
import junipercourse.net.Loop;

/**
 * One attempt of a query at one engine: starts it, asks for its news until it ends, then gets all pages. It
 * is bound to no connection: if one breaks, the news is asked for again on another.
 */
final class Fetch implements Backend.Attempt {
    private static final double ASK_AGAIN_S = 0.1;
    private static final double ASK_AGAIN_FIRST_S = 0.01;
    /** Calls in a row that bring nothing readable, before and after the engine has said anything of it. */
    private static final int BREAKS_UNHEARD = 4;
    private static final int BREAKS = 12;
    /** For what had left before its connection was reset to come in before what follows on another. */
    private static final double OVERTAKE_S = 0.05;

    private final Loop loop;
    private final EnginePool pool;
    private final Query query;
    private final double giveUpAt;
    private final EngineClient.GaugeReader gauges;
    private final Counters counters;
    private final Backend.Ending ending;
    private final FetchPages pages = new FetchPages();
    private final AttemptEvidence evidence = new AttemptEvidence();
    private final FetchCalls calls;
    private Deadlines.Entry forgotten;
    private boolean posted;
    private int breaks;
    private Outcome givenUpAs;
    private HttpResponse goodEnd;
    private boolean over;

    Fetch(Loop loop, EnginePool pool, Query query, double giveUpAt, EngineClient.GaugeReader gauges,
            Counters counters, Backend.Ending ending) {
        this.loop = loop;
        this.pool = pool;
        this.query = query;
        this.giveUpAt = giveUpAt;
        this.gauges = gauges;
        this.counters = counters;
        this.ending = ending;
        calls = new FetchCalls(loop, pool, evidence);
    }

    // ---- starting ----

    void start() {
        if (givenUpAs == null) {
            long wait = Math.max(1, Math.round((giveUpAt - loop.now()) * 1000));
            calls.run(EngineRequests.post(query, wait), new Start(), false, true);
        }
    }

    private final class Start extends FetchCalls.Step {
        Start() {
            super(calls);
        }

        /** Guards drains: the list may have changed while the connection came up. */
        @Override
        public boolean mayWrite() {
            posted = pool.ready() && givenUpAs == null;
            return posted && super.mayWrite();
        }

        @Override
        public void takenBack() {
            end(End.of(Outcome.TURNED_AWAY));
        }

        @Override
        public void unreachable(boolean refused) {
            end(End.of(Outcome.UNREACHABLE));
        }

        @Override
        void told(HttpResponse response) {
            news(response);
        }

        /** It may have run and may be running: only the engine can tell. */
        @Override
        void failed() {
            if (posted) {
                askAgain();
            } else { // no room for a connection in all that time, which is no fault of the engine
                end(End.of(Outcome.MOOT));
            }
        }
    }

    // ---- news ----

    private final class Poll extends FetchCalls.Step {
        Poll() {
            super(calls);
        }

        @Override
        void told(HttpResponse response) {
            news(response);
        }

        @Override
        void failed() {
            askAgain();
        }

        @Override
        public void unreachable(boolean refused) {
            askAgain(); // a process that lives refuses connections, too, past its own limit
        }
    }

    /**
     * The news did not come, or spoilt; after a good end the engine gives it again. One that only ever closes
     * cannot read this query, or has nothing to tell: it is given up, since it may have run.
     */
    private void askAgain() {
        counters.add(Count.ENGINES_ASKED_AGAIN);
        breaks++;
        switch (evidence.unanswered(loop.now(), loop.attended())) {
            case ENGINE_LOST -> end(End.of(Outcome.RESET));
            case LEFT_ALONE -> leftAlone();
            default -> {
                if (breaks >= (evidence.wasHeard() ? BREAKS : BREAKS_UNHEARD)) {
                    giveUp(Outcome.ERROR);
                } else {
                    double first = evidence.wasHeard() ? ASK_AGAIN_FIRST_S : OVERTAKE_S;
                    calls.later(breaks == 1 ? first : ASK_AGAIN_S, this::poll);
                }
            }
        }
    }

    /** The engine dropped it because we were not there to ask: as if we had called it off. */
    private void leftAlone() {
        counters.add(Count.ATTEMPTS_LEFT_ALONE);
        end(End.of(Outcome.CANCELLED));
    }

    private void poll() {
        calls.run(EngineRequests.bare("GET", query, "/0"), new Poll(), breaks > 0, false);
    }

    private void news(HttpResponse response) {
        boolean leftAlone = evidence.droppedByUs();
        evidence.heard();
        breaks = 0;
        boolean neverRan = "1".equals(response.header("x-unrun"));
        switch (response.status()) {
            case 200 -> goodEnd(response);
            case 202 -> calls.later(EnginePool.REST_S, this::poll);
            case 503 -> end(plain(neverRan ? Outcome.TURNED_AWAY : Outcome.ERROR, response));
            case 504 -> end(plain(neverRan ? Outcome.MOOT : Outcome.ERROR, response));
            default -> {
                if (leftAlone) {
                    leftAlone();
                } else {
                    end(plain(Outcome.ERROR, response));
                }
            }
        }
    }

    private End plain(Outcome outcome, HttpResponse response) {
        return new End(outcome, gauges.read(response.header("x-gauges")), 0, 0, List.of());
    }

    // ---- pages ----

    private void goodEnd(HttpResponse response) {
        goodEnd = response;
        if (!pages.first(response)) {
            counters.add(Count.ENGINES_GARBLED);
            askAgain();
            return;
        }
        nextPage();
    }

    private static double decimal(String text) {
        try {
            double d = text == null ? 0 : Double.parseDouble(text);
            return d >= 0 && d < Double.POSITIVE_INFINITY ? d : 0;
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    private void nextPage() {
        if (pages.whole()) {
            end(new End(Outcome.OK, gauges.read(goodEnd.header("x-gauges")),
                    decimal(goodEnd.header("x-effort")) / 1000, decimal(goodEnd.header("x-footprint")),
                    pages.all()));
        } else {
            calls.later(breaks > 1 ? ASK_AGAIN_S : EnginePool.REST_S,
                    () -> calls.run(EngineRequests.bare("GET", query, "/" + pages.next()), new Page(),
                            breaks > 0, false));
        }
    }

    private final class Page extends FetchCalls.Step {
        Page() {
            super(calls);
        }

        @Override
        void told(HttpResponse response) {
            if (response.status() != 200) { // pages end with their engine, or when nobody asks for them
                if (evidence.droppedByUs()) {
                    leftAlone();
                } else {
                    end(plain(Outcome.ERROR, goodEnd));
                }
                return;
            }
            evidence.heard();
            if (pages.further(response)) {
                breaks = 0;
                nextPage();
            } else { // spoilt, or another page's: the engine still has this one
                counters.add(Count.ENGINES_GARBLED);
                failed();
            }
        }

        @Override
        void failed() {
            breaks++;
            if (breaks >= BREAKS_UNHEARD) {
                end(plain(Outcome.ERROR, goodEnd));
            } else {
                nextPage();
            }
        }

        @Override
        public void unreachable(boolean refused) {
            failed();
        }
    }

    // ---- giving up ----

    @Override
    public void giveUp(Outcome as) {
        if (over || givenUpAs != null) {
            return;
        }
        givenUpAs = as;
        calls.ignore();
        if (!calls.began() || !posted) { // nothing was written
            loop.execute(() -> end(End.of(as)));
            return;
        }
        if (evidence.wasHeard()) { // a silent engine's connection is not kept for its answer
            calls.dropAfter(FetchCalls.ANSWER_S);
            delete(breaks > 0);
        } else { // guards against a DELETE that overtakes its POST and leaves the query running
            calls.dropAfter(0);
            calls.later(OVERTAKE_S, () -> delete(breaks > 0));
        }
        untilForgotten();
    }

    /** If nobody answers, the query is surely gone once it has not been asked for long enough. */
    private void untilForgotten() {
        double now = loop.now();
        double gone = evidence.goneFrom();
        if (gone <= now) {
            end(End.of(givenUpAs));
        } else { // a call that is on its way is dropped within the time for its answer
            forgotten = loop.at(Math.min(gone, now + FetchCalls.ANSWER_S), this::untilForgotten);
        }
    }

    private void delete(boolean fresh) {
        calls.run(EngineRequests.bare("DELETE", query, ""), new Delete(), fresh, false);
    }

    private final class Delete extends FetchCalls.Step {
        Delete() {
            super(calls);
        }

        /** Asking the engine to forget a query does not keep it alive. */
        @Override
        public boolean mayWrite() {
            return true;
        }

        @Override
        void told(HttpResponse response) {
            end(End.of(givenUpAs));
        }

        /** Tried until it is answered or the query is forgotten: until then it may run. */
        @Override
        void failed() {
            calls.later(ASK_AGAIN_S, () -> delete(true));
        }

        /** Guards against a second attempt beside one at an engine that merely takes no more connections. */
        @Override
        public void unreachable(boolean refused) {
            calls.later(ASK_AGAIN_S, () -> delete(false));
        }
    }

    /** The one place where an attempt ends. */
    private void end(End end) {
        if (!over) {
            over = true;
            loop.cancel(forgotten);
            calls.end();
            ending.ended(end);
        }
    }
}
