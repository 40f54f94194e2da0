package junipercourse.engine;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
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
    /** The engine answers each call within a quarter of a second; one this late is lost. */
    private static final double ANSWER_S = 0.6;
    private static final double ASK_AGAIN_S = 0.1;
    private static final double ASK_AGAIN_FIRST_S = 0.01;
    /** Calls in a row that bring nothing readable, before and after the engine has said anything of it. */
    private static final int BREAKS_UNHEARD = 4;
    private static final int BREAKS = 12;
    /** For what had left before its connection was reset to come in before what follows on another. */
    private static final double OVERTAKE_S = 0.05;
    private static final int COLUMNS = 3;
    private static final int MOST_PAGES = 64;
    private static final int MOST_BYTES = 256 * 1024; // in all pages: a result has 48,000 at most

    private final Loop loop;
    private final EnginePool pool;
    private final Query query;
    private final double giveUpAt;
    private final EngineClient.GaugeReader gauges;
    private final Counters counters;
    private final Backend.Ending ending;
    private final List<byte[]> pages = new ArrayList<>();
    private EngineCall call;
    private Step onCall;
    private Deadlines.Entry timer;
    private Deadlines.Entry forgotten;
    private int pageCount;
    private int bytes;
    private final AttemptEvidence evidence = new AttemptEvidence();
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
    }

    // ---- starting ----

    void start() {
        if (givenUpAs == null) {
            run(post(), new Start(), false);
        }
    }

    private byte[] post() {
        long wait = Math.max(1, Math.round((giveUpAt - loop.now()) * 1000));
        StringBuilder head = new StringBuilder("POST /fetch HTTP/1.1\r\n").append("Host: engine\r\n")
                .append("X-Txn: ").append(query.id()).append("\r\n")
                .append("X-Lane: ").append(query.className()).append("\r\n")
                .append("X-Limit-Ms: ").append(wait).append("\r\n");
        if (query.idempotencyKey() != null) {
            head.append("X-Dedupe: ").append(query.idempotencyKey()).append("\r\n");
        }
        head.append("Content-Length: ").append(query.statement().length).append("\r\n\r\n");
        byte[] top = head.toString().getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = Arrays.copyOf(top, top.length + query.statement().length);
        System.arraycopy(query.statement(), 0, all, top.length, query.statement().length);
        return all;
    }

    private byte[] bare(String method, String rest) {
        return (method + " /fetch/" + query.id() + rest + " HTTP/1.1\r\nHost: engine\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    private void run(byte[] request, Step step, boolean fresh) {
        EngineCall mine = new EngineCall(request, step);
        call = mine;
        onCall = step;
        loop.cancel(timer);
        timer = loop.after(ANSWER_S, () -> {
            drop(mine, step);
            step.failed();
        });
        pool.call(call, fresh, step instanceof Start);
    }

    /** Resets the call's connection; the call is over once that has surely reached the kernel. */
    private void drop(EngineCall dropped, Step step) {
        dropped.drop();
        loop.afterNextPass(step::over);
    }

    /** What all calls have in common. */
    private abstract class Step implements EngineCall.Listener {
        private boolean onTheWay;

        @Override
        public boolean mayWrite() {
            onTheWay = true;
            evidence.writing(loop.now(), loop.attended());
            return true;
        }

        /** Nothing more of it arrives. May be said twice. */
        final void over() {
            if (onTheWay) {
                onTheWay = false;
                evidence.over(loop.now());
            }
        }

        @Override
        public final void answered(HttpResponse response) {
            over();
            told(response);
        }

        @Override
        public final void broken() {
            over();
            failed();
        }

        /** The engine has answered. */
        abstract void told(HttpResponse response);

        /** The call brought nothing readable, and brings nothing more. */
        abstract void failed();

        /** No room for a connection: like one that broke. */
        @Override
        public void takenBack() {
            failed();
        }
    }

    private final class Start extends Step {
        /** Guards drains: the list may have changed while the connection came up. */
        @Override
        public boolean mayWrite() {
            posted = pool.ready() && givenUpAs == null;
            return posted && super.mayWrite();
        }

        @Override
        public void written() {
            ending.written();
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

    private final class Poll extends Step {
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
                    later(breaks == 1 ? first : ASK_AGAIN_S, this::poll);
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
        run(bare("GET", "/0"), new Poll(), breaks > 0);
    }

    private void later(double delay, Runnable task) {
        loop.cancel(timer);
        timer = loop.after(delay, task);
    }

    private void news(HttpResponse response) {
        boolean leftAlone = evidence.droppedByUs();
        evidence.heard();
        breaks = 0;
        boolean neverRan = "1".equals(response.header("x-unrun"));
        switch (response.status()) {
            case 200 -> goodEnd(response);
            case 202 -> later(EnginePool.REST_S, this::poll);
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
        pageCount = number(response.header("x-fetches"));
        if (pageCount < 1 || pageCount > MOST_PAGES || !wholeRows(response.body())) {
            counters.add(Count.ENGINES_GARBLED);
            askAgain();
            return;
        }
        bytes = response.body().length;
        pages.add(response.body());
        nextPage();
    }

    /** Whether a page holds whole rows of three columns: no client is to get part of a result as all. */
    private static boolean wholeRows(byte[] page) {
        int tabs = 0;
        for (byte b : page) {
            tabs += b == '\t' ? 1 : 0;
            if (b == '\n') {
                if (tabs != COLUMNS - 1) {
                    return false;
                }
                tabs = 0;
            }
        }
        return page.length == 0 || page[page.length - 1] == '\n';
    }

    private static int number(String text) {
        try {
            return text == null ? 1 : Integer.parseInt(text.trim());
        } catch (NumberFormatException e) {
            return -1;
        }
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
        if (pages.size() == pageCount) {
            end(new End(Outcome.OK, gauges.read(goodEnd.header("x-gauges")),
                    decimal(goodEnd.header("x-effort")) / 1000, decimal(goodEnd.header("x-footprint")),
                    List.copyOf(pages)));
        } else {
            later(breaks > 1 ? ASK_AGAIN_S : EnginePool.REST_S,
                    () -> run(bare("GET", "/" + pages.size()), new Page(), breaks > 0));
        }
    }

    private final class Page extends Step {
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
            boolean wanted = number(response.header("x-fetch")) == pages.size()
                    && wholeRows(response.body()) && bytes + response.body().length <= MOST_BYTES;
            if (wanted) {
                breaks = 0;
                bytes += response.body().length;
                pages.add(response.body());
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
        loop.cancel(timer);
        if (call == null || !posted) { // nothing was written
            if (call != null) {
                call.ignore();
            }
            loop.execute(() -> end(End.of(as)));
            return;
        }
        EngineCall ignored = call;
        Step step = onCall;
        ignored.ignore();
        if (evidence.wasHeard()) { // a silent engine's connection is not kept for its answer
            loop.after(ANSWER_S, () -> drop(ignored, step));
            delete(breaks > 0);
        } else { // guards against a DELETE that overtakes its POST and leaves the query running
            drop(ignored, step);
            later(OVERTAKE_S, () -> delete(breaks > 0));
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
            forgotten = loop.at(Math.min(gone, now + ANSWER_S), this::untilForgotten);
        }
    }

    private void delete(boolean fresh) {
        run(bare("DELETE", ""), new Delete(), fresh);
    }

    private final class Delete extends Step {
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
            later(ASK_AGAIN_S, () -> delete(true));
        }

        /** Guards against a second attempt beside one at an engine that merely takes no more connections. */
        @Override
        public void unreachable(boolean refused) {
            later(ASK_AGAIN_S, () -> delete(false));
        }
    }

    /** The one place where an attempt ends. */
    private void end(End end) {
        if (!over) {
            over = true;
            loop.cancel(timer);
            loop.cancel(forgotten);
            if (call != null) {
                call.drop(); // a call that is still unanswered would hold its connection for good
            }
            ending.ended(end);
        }
    }
}
