package junipercourse.engine;

import static junipercourse.core.Backend.AttemptCompletion.withOutcome;
import static junipercourse.decision.api.AttemptOutcome.ERROR;

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
 * One attempt of a query at one engine: starts the query, polls its state until it completes, then
 * fetches all result pages. If a connection breaks, polling continues on another one.
 */
final class EngineAttempt implements Backend.Attempt, ResultPageFetcher.CompletionListener {
    // The engine did not hold a poll whose 202 arrives sooner; its clock may be a little fast.
    private static final double MIN_LONG_POLL_SECONDS = AttemptLiveness.LONG_POLL_SECONDS - 0.01;
    // Lets bytes sent before a reset arrive before those sent on the next connection.
    private static final double DELIVERY_SECONDS = 0.05;

    private final EventLoop loop;
    private final EnginePool pool;
    private final Query query;
    private final double deadline;
    private final AttemptCompletionFactory completions;
    private final Counters counters;
    private final AttemptListener listener;
    private final ResultPages pages;
    private final AttemptLiveness liveness = new AttemptLiveness();
    private final AttemptConnections connections;
    private final AttemptCancellation cancellation;
    private boolean posted;
    private final PollRetries retries = new PollRetries();
    private AttemptOutcome abortResult;
    private HttpResponse okResponse;
    private boolean isFinished;

    EngineAttempt(
            EventLoop loop,
            EnginePool pool,
            Query query,
            double deadline,
            EngineClient.LoadReportReader loadReports,
            Counters counters,
            AttemptListener listener) {
        this.loop = loop;
        this.pool = pool;
        this.query = query;
        this.deadline = deadline;
        completions = new AttemptCompletionFactory(loadReports);
        this.counters = counters;
        this.listener = listener;
        pages = new ResultPages(pool.engineName());
        connections = new AttemptConnections(loop, pool, liveness);
        cancellation =
                new AttemptCancellation(
                        loop, query, connections, liveness, () -> finish(withOutcome(abortResult)));
    }

    void start() {
        if (abortResult == null) {
            connections.makeStartCall(
                    () ->
                            EngineRequestEncoder.encodePost(
                                    query, Math.max(1, Math.round((deadline - loop.now()) * 1000))),
                    new StartListener());
        }
    }

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
        /** Rechecks the state, which {@code maySendRequest} may change as it reads client input. */
        @Override
        public boolean mayWrite() {
            posted =
                    listener.maySendRequest()
                            && pool.isReady()
                            && abortResult == null
                            && super.mayWrite();
            return posted;
        }

        @Override
        public void onWritten() {
            listener.onRequestWritten();
        }

        @Override
        public void onUnreachable(boolean refused) {
            finish(withOutcome(AttemptOutcome.UNREACHABLE));
        }

        /** The query may have run or be running: only the engine knows. */
        @Override
        void handleFailure() {
            if (posted) {
                retryPoll();
            } else { // no connection was available in time, or the state has changed
                finish(withOutcome(AttemptOutcome.NOT_SENT));
            }
        }
    }

    private final class PollListener extends StateListener {
        @Override
        void handleFailure() {
            retryPoll();
        }
    }

    /**
     * Polls again; the engine repeats a successful result. If it only ever closes, it cannot read
     * the query or has no state of it: the attempt is aborted, since the query may have run.
     */
    private void retryPoll() {
        counters.increment(Count.ENGINES_ASKED_AGAIN);
        retries.recordFailure();
        switch (liveness.assessUnansweredCall(loop.now(), loop.responsiveSeconds())) {
            case ENGINE_LOST -> finish(withOutcome(AttemptOutcome.RESET));
            case NOT_POLLED -> finishNotPolled();
            default -> {
                boolean hasResponded = liveness.hasEngineResponded();
                if (retries.areExhausted(hasResponded)) {
                    abort(ERROR);
                } else {
                    connections.schedule(
                            retries.delaySeconds(hasResponded, DELIVERY_SECONDS), this::poll);
                }
            }
        }
    }

    /** The engine dropped the query because this process did not poll: counts as a cancellation. */
    private void finishNotPolled() {
        counters.increment(Count.ATTEMPTS_LEFT_ALONE);
        finish(withOutcome(AttemptOutcome.CANCELLED));
    }

    private void poll() {
        connections.makeCall(
                EngineRequestEncoder.encodeBodiless("GET", query, "/0"), new PollListener(), false);
    }

    /**
     * Handles possible duplicates as well: they concern this query, and only a 202 can be one,
     * since any other response ends polling. The call of a duplicate is still in transit.
     */
    private void handleState(HttpResponse response, boolean isTrusted) {
        switch (response.status()) {
            case 200 -> handleOk(response);
            case 202 -> handleRunning(isTrusted);
            case 503, 504 -> finish(completions.notAccepted(response));
            case 500 -> finishFailed(response);
            default -> handleMalformed(); // 204, say, never answers a poll and proves no completion
        }
    }

    /** After an early 202 that may be a duplicate, the next poll uses another connection. */
    private void handleRunning(boolean isTrusted) {
        if (isTrusted) {
            liveness.recordResponse();
            retries.recordSuccess();
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

    private void handleOk(HttpResponse response) {
        liveness.recordResponse();
        okResponse = response;
        if (pages.addFirst(response)) {
            new ResultPageFetcher(query, pages, connections, liveness, counters, this).start();
        } else {
            handleMalformed();
        }
    }

    @Override
    public void onFinished(boolean isComplete) {
        if (isComplete) {
            finish(completions.served(okResponse, pages));
        } else {
            finishFailed(okResponse);
        }
    }

    private void finishFailed(HttpResponse response) {
        if (liveness.mayHaveExpiredUnpolled()) {
            finishNotPolled();
        } else {
            finish(completions.failed(response));
        }
    }

    @Override
    public void onFirstPageIncomplete() {
        retryPoll(); // the engine repeats a successful result
    }

    @Override
    public void abort(AttemptOutcome outcome) {
        if (isFinished || abortResult != null) {
            return;
        }
        abortResult = outcome;
        connections.ignore();
        if (!connections.hasMadeCall() || !posted) { // nothing was written
            loop.execute(() -> finish(withOutcome(AttemptOutcome.NOT_SENT)));
            return;
        }
        cancellation.begin(DELIVERY_SECONDS);
    }

    /** Completes the attempt, once. */
    private void finish(AttemptCompletion completion) {
        if (!isFinished) {
            isFinished = true;
            cancellation.stop();
            connections.close();
            listener.onCompleted(completion);
        }
    }
}
