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
    private static final double RETRY_DELAY_SECONDS = 0.1;
    private static final double FIRST_RETRY_DELAY_SECONDS = 0.01;

    /**
     * Calls in a row that bring nothing readable, before and after the engine has said anything of
     * it.
     */
    private static final int MAX_FAILURES_WITHOUT_RESPONSE = 4;

    private static final int MAX_FAILURES = 12;

    /** A 202 that comes sooner was not held by the engine; its clock may be a little fast. */
    private static final double MIN_LONG_POLL_SECONDS = AttemptLiveness.LONG_POLL_SECONDS - 0.01;

    /**
     * For what had left before its connection was reset to come in before what follows on another.
     */
    private static final double DELIVERY_MARGIN_SECONDS = 0.05;

    private final EventLoop loop;
    private final EnginePool pool;
    private final Query query;
    private final double deadlineAt;
    private final EngineClient.LoadReportReader loadReports;
    private final Counters counters;
    private final AttemptListener listener;
    private final ResultPages pages = new ResultPages();
    private final AttemptLiveness liveness = new AttemptLiveness();
    private final AttemptConnections connections;
    private final AttemptCancellation cancellation;
    private boolean posted;
    private int failures;
    private AttemptOutcome abortOutcome;
    private HttpResponse okResponse;
    private boolean isCompleted;

    EngineAttempt(
            EventLoop loop,
            EnginePool pool,
            Query query,
            double deadlineAt,
            EngineClient.LoadReportReader loadReports,
            Counters counters,
            AttemptListener listener) {
        this.loop = loop;
        this.pool = pool;
        this.query = query;
        this.deadlineAt = deadlineAt;
        this.loadReports = loadReports;
        this.counters = counters;
        this.listener = listener;
        connections = new AttemptConnections(loop, pool, liveness);
        cancellation =
                new AttemptCancellation(
                        loop,
                        query,
                        connections,
                        liveness,
                        () -> complete(AttemptCompletion.withOutcome(abortOutcome)));
    }

    void start() {
        if (abortOutcome == null) {
            connections.makeStartCall(
                    () ->
                            EngineRequestEncoder.encodePost(
                                    query,
                                    Math.max(1, Math.round((deadlineAt - loop.now()) * 1000))),
                    new StartListener());
        }
    }

    /** A call that is answered with news. */
    private abstract class StateListener extends AttemptConnections.CallListener {
        StateListener() {
            super(connections);
        }

        @Override
        public final boolean matchesOnlyThisCall(HttpResponse response) {
            return response.status() != 202;
        }

        @Override
        void handleResponse(HttpResponse response, boolean isUnambiguous) {
            handleState(response, isUnambiguous || secondsSinceWrite() > MIN_LONG_POLL_SECONDS);
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
                    listener.maySendRequest()
                            && pool.isReady()
                            && abortOutcome == null
                            && super.mayWrite();
            return posted;
        }

        @Override
        public void onWritten() {
            listener.onRequestWritten();
        }

        @Override
        public void onUnreachable(boolean refused) {
            complete(AttemptCompletion.withOutcome(AttemptOutcome.UNREACHABLE));
        }

        /** It may have run and may be running: only the engine can tell. */
        @Override
        void handleFailure() {
            if (posted) {
                retryPoll();
            } else { // no room for a connection in all that time, or facts that have changed
                complete(AttemptCompletion.withOutcome(AttemptOutcome.NOT_SENT));
            }
        }
    }

    private final class PollListener extends StateListener {
        @Override
        void handleFailure() {
            retryPoll();
        }

        @Override
        public void onUnreachable(boolean refused) {
            retryPoll(); // a process that lives refuses connections, too, past its own limit
        }
    }

    /**
     * The news did not come, or spoilt; after a good end the engine gives it again. One that only
     * ever closes cannot read this query, or has nothing to tell: it is given up, since it may have
     * run.
     */
    private void retryPoll() {
        counters.increment(Count.ENGINES_ASKED_AGAIN);
        failures++;
        switch (liveness.assessUnansweredCall(loop.now(), loop.responsiveSeconds())) {
            case ENGINE_LOST -> complete(AttemptCompletion.withOutcome(AttemptOutcome.RESET));
            case NOT_POLLED -> completeNotPolled();
            default -> {
                if (failures
                        >= (liveness.hasEngineResponded()
                                ? MAX_FAILURES
                                : MAX_FAILURES_WITHOUT_RESPONSE)) {
                    abort(AttemptOutcome.ERROR);
                } else {
                    double firstDelay =
                            liveness.hasEngineResponded()
                                    ? FIRST_RETRY_DELAY_SECONDS
                                    : DELIVERY_MARGIN_SECONDS;
                    connections.schedule(
                            failures == 1 ? firstDelay : RETRY_DELAY_SECONDS, this::poll);
                }
            }
        }
    }

    /** The engine dropped it because we were not there to ask: as if we had called it off. */
    private void completeNotPolled() {
        counters.increment(Count.ATTEMPTS_LEFT_ALONE);
        complete(AttemptCompletion.withOutcome(AttemptOutcome.CANCELLED));
    }

    private void poll() {
        connections.makeCall(
                EngineRequestEncoder.encodeWithoutBody("GET", query, "/0"),
                new PollListener(),
                false);
    }

    /**
     * What may be a copy is news nevertheless: it is about this query, and only a 202 can be one,
     * since whatever else is told ends the asking. But then its call is still on its way.
     */
    private void handleState(HttpResponse response, boolean isTrusted) {
        boolean mayHaveExpired = liveness.mayHaveExpiredUnpolled();
        boolean neverRan = "1".equals(response.header("x-unrun"));
        switch (response.status()) {
            case 200 -> handleOk(response);
            case 202 -> handleRunning(isTrusted);
            case 503 ->
                    complete(
                            withLoadReport(
                                    neverRan ? AttemptOutcome.REJECTED : AttemptOutcome.ERROR,
                                    response));
            case 504 ->
                    complete(
                            withLoadReport(
                                    neverRan ? AttemptOutcome.OBSOLETE : AttemptOutcome.ERROR,
                                    response));
            case 500 -> {
                if (mayHaveExpired) {
                    completeNotPolled();
                } else {
                    complete(withLoadReport(AttemptOutcome.ERROR, response));
                }
            }
            default ->
                    handleMalformed(); // such as 204, which answers no call for news: no proof of
                // an end
        }
    }

    /** One that came too soon, where another came before: the next call goes elsewhere. */
    private void handleRunning(boolean isTrusted) {
        if (isTrusted) {
            liveness.recordResponse();
            failures = 0;
        } else {
            connections.resetIdle();
        }
        connections.schedule(AttemptConnections.REUSE_DELAY_SECONDS, this::poll);
    }

    private void handleMalformed() {
        counters.increment(Count.ENGINES_GARBLED);
        connections.resetIdle();
        retryPoll();
    }

    private AttemptCompletion withLoadReport(AttemptOutcome outcome, HttpResponse response) {
        return new AttemptCompletion(
                outcome, loadReports.read(response.header("x-gauges")), 0, 0, List.of());
    }

    private void handleOk(HttpResponse response) {
        liveness.recordResponse();
        okResponse = response;
        if (pages.addFirst(response)) {
            new ResultPageFetcher(
                            query, pages, connections, liveness, counters, this::onPagesFetched)
                    .fetchNext();
        } else {
            handleMalformed();
        }
    }

    private void onPagesFetched(boolean isComplete) {
        if (isComplete) {
            complete(
                    new AttemptCompletion(
                            AttemptOutcome.OK,
                            loadReports.read(okResponse.header("x-gauges")),
                            okResponse.decimalHeader("x-effort") / 1000,
                            okResponse.decimalHeader("x-footprint"),
                            pages.toList()));
        } else if (liveness.mayHaveExpiredUnpolled()) {
            completeNotPolled();
        } else {
            complete(withLoadReport(AttemptOutcome.ERROR, okResponse));
        }
    }

    @Override
    public void abort(AttemptOutcome outcome) {
        if (isCompleted || abortOutcome != null) {
            return;
        }
        abortOutcome = outcome;
        connections.ignore();
        if (!connections.hasMadeCall() || !posted) { // nothing was written
            loop.execute(() -> complete(AttemptCompletion.withOutcome(AttemptOutcome.NOT_SENT)));
            return;
        }
        cancellation.begin(DELIVERY_MARGIN_SECONDS);
    }

    /** The one place where an attempt ends. */
    private void complete(AttemptCompletion completion) {
        if (!isCompleted) {
            isCompleted = true;
            cancellation.stop();
            connections.close();
            listener.onCompleted(completion);
        }
    }
}
