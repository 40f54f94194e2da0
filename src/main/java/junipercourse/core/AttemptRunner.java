package junipercourse.core;

import junipercourse.core.Backend.AttemptCompletion;
import junipercourse.core.Backend.AttemptListener;
import junipercourse.core.Counters.Count;
import junipercourse.decision.TagsDispatcher;
import junipercourse.decision.api.AttemptOutcome;
import junipercourse.decision.api.AttemptResult;
import junipercourse.decision.api.DecisionSettings;
import junipercourse.decision.api.EngineId;
import junipercourse.decision.api.ProgressKind;
import junipercourse.decision.api.RequestId;
import junipercourse.liveness.ArrivalInterval;
import junipercourse.net.EventLoop;

/**
 * Runs the attempts that the decision module requests, at most one per query at a time, and reports
 * their results to the module.
 */
final class AttemptRunner {
    /**
     * A load report that may be older is discarded, since it does not describe the present load.
     */
    private static final double MAX_LOAD_REPORT_AGE_SECONDS = 0.5;

    private final EventLoop loop;
    private final DecisionSettings settings;
    private final Backend backend;
    private final TagsDispatcher module;
    private final EventBatcher batcher;
    private final OpenQueries openQueries;
    private final Counters counters;
    private final ClassMetrics classMetrics;

    AttemptRunner(
            EventLoop loop,
            DecisionSettings settings,
            Backend backend,
            TagsDispatcher module,
            EventBatcher batcher,
            OpenQueries openQueries,
            Counters counters,
            ClassMetrics classMetrics) {
        this.loop = loop;
        this.settings = settings;
        this.backend = backend;
        this.module = module;
        this.batcher = batcher;
        this.openQueries = openQueries;
        this.counters = counters;
        this.classMetrics = classMetrics;
    }

    /**
     * Starts the query's next attempt, unless the query is answered, past its deadline, has an
     * attempt running or has used up its attempts.
     */
    void startAttempt(RequestId id, EngineId engine, double timeoutSeconds) {
        InFlightQuery inFlight = openQueries.find(id.value());
        double now = loop.now();
        boolean attemptsExhausted =
                inFlight != null
                        && settings.limits().maxAttempts() > 0
                        && inFlight.sentAttemptCount() >= settings.limits().maxAttempts();
        if (inFlight == null
                || inFlight.isAnswered
                || inFlight.currentAttempt != null
                || attemptsExhausted
                || now >= inFlight.query.deadlineAt()) {
            counters.increment(Count.ATTEMPTS_NOT_SENT);
            int attempt = inFlight == null ? 0 : inFlight.attemptCount++;
            batcher.enqueue(
                    batchTime ->
                            module.attemptEnded(
                                    batchTime,
                                    new AttemptResult(
                                            id,
                                            attempt,
                                            engine,
                                            AttemptOutcome.OBSOLETE,
                                            0,
                                            inFlight == null || inFlight.isAnswered,
                                            0,
                                            0,
                                            new float[0])));
            return;
        }
        int attempt = inFlight.attemptCount++;
        counters.increment(Count.ATTEMPTS_SENT);
        double attemptDeadlineAt =
                timeoutSeconds > 0
                        ? Math.min(now + timeoutSeconds, inFlight.query.deadlineAt())
                        : inFlight.query.deadlineAt();
        inFlight.currentAttempt =
                backend.startAttempt(
                        engine,
                        inFlight.query,
                        attemptDeadlineAt,
                        new AttemptListener() {
                            @Override
                            public void onCompleted(AttemptCompletion completion) {
                                AttemptRunner.this.onAttemptCompleted(
                                        inFlight, engine, attempt, now, completion);
                            }

                            @Override
                            public boolean maySendRequest() {
                                return AttemptRunner.this.maySendRequest(inFlight, attempt);
                            }

                            @Override
                            public void onRequestWritten() {
                                classMetrics.recordAttempt(inFlight.query.queryClass());
                            }
                        });
        inFlight.attemptTimer =
                loop.scheduleAt(
                        attemptDeadlineAt,
                        () -> inFlight.currentAttempt.abort(AttemptOutcome.TIMEOUT));
    }

    /**
     * Checks again right before the request is sent. While a connection was established, time has
     * passed since the decision, and bytes with which the client ends or cancels its query may have
     * arrived unread.
     */
    private boolean maySendRequest(InFlightQuery inFlight, int attempt) {
        return inFlight.responseHandler.isClientWaiting()
                && !inFlight.isAnswered
                && module.attemptMayStart(loop.now(), new RequestId(inFlight.id), attempt);
    }

    /** Cancels an attempt, if it is the running one. */
    void cancel(RequestId id, int attempt) {
        InFlightQuery inFlight = openQueries.find(id.value());
        if (inFlight != null
                && inFlight.currentAttempt != null
                && attempt == inFlight.attemptCount - 1) {
            counters.increment(Count.ATTEMPTS_CALLED_OFF);
            inFlight.currentAttempt.abort(AttemptOutcome.CANCELLED);
        }
    }

    /**
     * Reports progress of each running attempt after a stall, so that the module measures silence
     * from now on. What engines sent during the stall has been read; silence in it proves nothing.
     */
    void recheckAfterStall() {
        counters.increment(Count.STALLS_SEEN);
        for (InFlightQuery inFlight : openQueries.all()) {
            if (inFlight.currentAttempt != null) {
                counters.increment(Count.STALLS_REEXAMINED);
                int attempt = inFlight.attemptCount - 1;
                batcher.enqueue(
                        now ->
                                module.attemptProgressed(
                                        now,
                                        new RequestId(inFlight.id),
                                        attempt,
                                        ProgressKind.PROGRESS,
                                        0));
            }
        }
    }

    private void onAttemptCompleted(
            InFlightQuery inFlight,
            EngineId engine,
            int attempt,
            double startedAt,
            AttemptCompletion completion) {
        inFlight.currentAttempt = null;
        loop.cancel(inFlight.attemptTimer);
        inFlight.attemptTimer = null;
        inFlight.unsentAttemptCount += completion.outcome() == AttemptOutcome.NOT_SENT ? 1 : 0;
        counters.increment(Count.forOutcome(completion.outcome()));
        if (completion.outcome() == AttemptOutcome.OK && !inFlight.isAnswered) {
            openQueries.serve(inFlight, completion.pages());
        }
        boolean queryAnswered = inFlight.isAnswered;
        // A response that was unread for long arrived earlier than now: the delay of reading it is
        // not latency of the engine.
        ArrivalInterval arrival = loop.arrival();
        boolean readLate = completion.outcome() == AttemptOutcome.OK && !arrival.isNarrow();
        double earliestArrival =
                Math.max(Math.max(startedAt, arrival.earliest()), batcher.lastBatchTime());
        float[] loadReport =
                arrival.widthSeconds() < MAX_LOAD_REPORT_AGE_SECONDS
                        ? completion.loadReport()
                        : new float[0];
        batcher.enqueue(
                batchTime ->
                        module.attemptEnded(
                                readLate ? earliestArrival : batchTime,
                                new AttemptResult(
                                        new RequestId(inFlight.id),
                                        attempt,
                                        engine,
                                        completion.outcome(),
                                        (readLate ? earliestArrival : batchTime) - startedAt,
                                        queryAnswered,
                                        completion.actualCost(),
                                        completion.actualMemoryMb(),
                                        loadReport)));
        openQueries.releaseIfFinished(inFlight);
    }
}
