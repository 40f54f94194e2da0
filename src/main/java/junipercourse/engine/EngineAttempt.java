package junipercourse.engine;

import java.util.List;
import junipercourse.core.Backend;
import junipercourse.core.Backend.AttemptCompletion;
import junipercourse.core.Backend.AttemptListener;
import junipercourse.core.Counters;
import junipercourse.core.Counters.Count;
import junipercourse.core.Query;
import junipercourse.decision.api.AttemptOutcome;
import junipercourse.liveness.AttemptLiveness;
import junipercourse.net.EventLoop;

/**
 * One attempt of a query at one engine: starts it, asks for its news until it ends, then gets all
 * pages. It is bound to no connection: if one breaks, the news is asked for again on another.
 */
final class EngineAttempt implements Backend.Attempt {
    private static final double ASK_AGAIN_S = 0.1;
    private static final double ASK_AGAIN_FIRST_S = 0.01;

    /**
     * Calls in a row that bring nothing readable, before and after the engine has said anything of
     * it.
     */
    private static final int BREAKS_UNHEARD = 4;

    private static final int BREAKS = 12;

    /** A 202 that comes sooner was not held by the engine; its clock may be a little fast. */
    private static final double NO_NEWS_S = AttemptLiveness.LONG_POLL_SECONDS - 0.01;

    /**
     * For what had left before its connection was reset to come in before what follows on another.
     */
    private static final double OVERTAKE_S = 0.05;

    private final EventLoop loop;
    private final EnginePool pool;
    private final Query query;
    private final double giveUpAt;
    private final EngineClient.LoadReportReader gauges;
    private final Counters counters;
    private final AttemptListener ending;
    private final ResultPages pages = new ResultPages();
    private final AttemptLiveness evidence = new AttemptLiveness();
    private final AttemptConnections calls;
    private final AttemptCancellation givingUp;
    private boolean posted;
    private int breaks;
    private AttemptOutcome givenUpAs;
    private HttpResponse goodEnd;
    private boolean over;

    EngineAttempt(
            EventLoop loop,
            EnginePool pool,
            Query query,
            double giveUpAt,
            EngineClient.LoadReportReader gauges,
            Counters counters,
            AttemptListener ending) {
        this.loop = loop;
        this.pool = pool;
        this.query = query;
        this.giveUpAt = giveUpAt;
        this.gauges = gauges;
        this.counters = counters;
        this.ending = ending;
        calls = new AttemptConnections(loop, pool, evidence);
        givingUp =
                new AttemptCancellation(
                        loop,
                        query,
                        calls,
                        evidence,
                        () -> end(AttemptCompletion.withOutcome(givenUpAs)));
    }

    void start() {
        if (givenUpAs == null) {
            calls.start(
                    () ->
                            EngineRequestEncoder.post(
                                    query, Math.max(1, Math.round((giveUpAt - loop.now()) * 1000))),
                    new StartListener());
        }
    }

    /** A call that is answered with news. */
    private abstract class StateListener extends AttemptConnections.CallListener {
        StateListener() {
            super(calls);
        }

        @Override
        public final boolean proves(HttpResponse response) {
            return response.status() != 202;
        }

        @Override
        void told(HttpResponse response, boolean sure) {
            news(response, sure || age() > NO_NEWS_S);
        }
    }

    private final class StartListener extends StateListener {
        /**
         * Guards against sends on facts that have changed since; reading the client's may change
         * others.
         */
        @Override
        public boolean mayWrite() {
            posted =
                    ending.maySendRequest()
                            && pool.ready()
                            && givenUpAs == null
                            && super.mayWrite();
            return posted;
        }

        @Override
        public void written() {
            ending.onRequestWritten();
        }

        @Override
        public void unreachable(boolean refused) {
            end(AttemptCompletion.withOutcome(AttemptOutcome.UNREACHABLE));
        }

        /** It may have run and may be running: only the engine can tell. */
        @Override
        void failed() {
            if (posted) {
                askAgain();
            } else { // no room for a connection in all that time, or facts that have changed
                end(AttemptCompletion.withOutcome(AttemptOutcome.NOT_SENT));
            }
        }
    }

    private final class PollListener extends StateListener {
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
     * The news did not come, or spoilt; after a good end the engine gives it again. One that only
     * ever closes cannot read this query, or has nothing to tell: it is given up, since it may have
     * run.
     */
    private void askAgain() {
        counters.increment(Count.ENGINES_ASKED_AGAIN);
        breaks++;
        switch (evidence.assessUnansweredCall(loop.now(), loop.responsiveSeconds())) {
            case ENGINE_LOST -> end(AttemptCompletion.withOutcome(AttemptOutcome.RESET));
            case NOT_POLLED -> leftAlone();
            default -> {
                if (breaks >= (evidence.hasEngineResponded() ? BREAKS : BREAKS_UNHEARD)) {
                    abort(AttemptOutcome.ERROR);
                } else {
                    double first = evidence.hasEngineResponded() ? ASK_AGAIN_FIRST_S : OVERTAKE_S;
                    calls.later(breaks == 1 ? first : ASK_AGAIN_S, this::poll);
                }
            }
        }
    }

    /** The engine dropped it because we were not there to ask: as if we had called it off. */
    private void leftAlone() {
        counters.increment(Count.ATTEMPTS_LEFT_ALONE);
        end(AttemptCompletion.withOutcome(AttemptOutcome.CANCELLED));
    }

    private void poll() {
        calls.run(EngineRequestEncoder.bare("GET", query, "/0"), new PollListener(), false);
    }

    /**
     * What may be a copy is news nevertheless: it is about this query, and only a 202 can be one,
     * since whatever else is told ends the asking. But then its call is still on its way.
     */
    private void news(HttpResponse response, boolean trusted) {
        boolean leftAlone = evidence.mayHaveExpiredUnpolled();
        boolean neverRan = "1".equals(response.header("x-unrun"));
        switch (response.status()) {
            case 200 -> goodEnd(response);
            case 202 -> stillRuns(trusted);
            case 503 ->
                    end(plain(neverRan ? AttemptOutcome.REJECTED : AttemptOutcome.ERROR, response));
            case 504 ->
                    end(plain(neverRan ? AttemptOutcome.OBSOLETE : AttemptOutcome.ERROR, response));
            case 500 -> {
                if (leftAlone) {
                    leftAlone();
                } else {
                    end(plain(AttemptOutcome.ERROR, response));
                }
            }
            default -> spoilt(); // such as 204, which answers no call for news: no proof of an end
        }
    }

    /** One that came too soon, where another came before: the next call goes elsewhere. */
    private void stillRuns(boolean trusted) {
        if (trusted) {
            evidence.recordResponse();
            breaks = 0;
        } else {
            calls.reset();
        }
        calls.later(AttemptConnections.REST_S, this::poll);
    }

    private void spoilt() {
        counters.increment(Count.ENGINES_GARBLED);
        calls.reset();
        askAgain();
    }

    private AttemptCompletion plain(AttemptOutcome outcome, HttpResponse response) {
        return new AttemptCompletion(
                outcome, gauges.read(response.header("x-gauges")), 0, 0, List.of());
    }

    private void goodEnd(HttpResponse response) {
        evidence.recordResponse();
        goodEnd = response;
        if (pages.first(response)) {
            new ResultPageFetcher(query, pages, calls, evidence, counters, this::pagesDone).next();
        } else {
            spoilt();
        }
    }

    private void pagesDone(boolean whole) {
        if (whole) {
            end(
                    new AttemptCompletion(
                            AttemptOutcome.OK,
                            gauges.read(goodEnd.header("x-gauges")),
                            goodEnd.decimal("x-effort") / 1000,
                            goodEnd.decimal("x-footprint"),
                            pages.all()));
        } else if (evidence.mayHaveExpiredUnpolled()) {
            leftAlone();
        } else {
            end(plain(AttemptOutcome.ERROR, goodEnd));
        }
    }

    @Override
    public void abort(AttemptOutcome as) {
        if (over || givenUpAs != null) {
            return;
        }
        givenUpAs = as;
        calls.ignore();
        if (!calls.began() || !posted) { // nothing was written
            loop.execute(() -> end(AttemptCompletion.withOutcome(AttemptOutcome.NOT_SENT)));
            return;
        }
        givingUp.begin(OVERTAKE_S);
    }

    /** The one place where an attempt ends. */
    private void end(AttemptCompletion end) {
        if (!over) {
            over = true;
            givingUp.end();
            calls.end();
            ending.onCompleted(end);
        }
    }
}
