package junipercourse.core;

import junipercourse.core.Backend.AttemptCompletion;
import junipercourse.core.Backend.AttemptListener;
import junipercourse.core.Counters.Count;
import junipercourse.decision.TagsDispatcher;
import junipercourse.decision.api.AttemptOutcome;
import junipercourse.decision.api.AttemptResult;
import junipercourse.decision.api.DecisionSettings;
import junipercourse.decision.api.EngineId;
import junipercourse.decision.api.RequestId;
import junipercourse.liveness.ArrivalInterval;
import junipercourse.net.EventLoop;

/**
 * The attempts that the module asks for: never two of a query at once, and their ends told to the
 * module.
 */
final class AttemptRunner {
    /** A load report that may be older tells of another time. */
    private static final double REPORT_AGE_S = 0.5;

    private final EventLoop loop;
    private final DecisionSettings settings;
    private final Backend backend;
    private final TagsDispatcher module;
    private final EventBatcher turns;
    private final OpenQueries answers;
    private final Counters counters;
    private final ClassMetrics figures;

    AttemptRunner(
            EventLoop loop,
            DecisionSettings settings,
            Backend backend,
            TagsDispatcher module,
            EventBatcher turns,
            OpenQueries answers,
            Counters counters,
            ClassMetrics figures) {
        this.loop = loop;
        this.settings = settings;
        this.backend = backend;
        this.module = module;
        this.turns = turns;
        this.answers = answers;
        this.counters = counters;
        this.figures = figures;
    }

    /** Sends the query's next attempt, unless its answer is given, one is out, or none is left. */
    void send(RequestId id, EngineId engine, double giveUpAfter) {
        InFlightQuery x = answers.find(id.value());
        double now = loop.now();
        boolean spent =
                x != null
                        && settings.limits().maxAttempts() > 0
                        && x.sent() >= settings.limits().maxAttempts();
        if (x == null || x.answered || x.out != null || spent || now >= x.query.deadlineAt()) {
            counters.increment(Count.ATTEMPTS_NOT_SENT);
            int attempt = x == null ? 0 : x.attempts++;
            turns.event(
                    later ->
                            module.attemptEnded(
                                    later,
                                    new AttemptResult(
                                            id,
                                            attempt,
                                            engine,
                                            AttemptOutcome.OBSOLETE,
                                            0,
                                            x == null || x.answered,
                                            0,
                                            0,
                                            new float[0])));
            return;
        }
        int attempt = x.attempts++;
        counters.increment(Count.ATTEMPTS_SENT);
        double until =
                giveUpAfter > 0
                        ? Math.min(now + giveUpAfter, x.query.deadlineAt())
                        : x.query.deadlineAt();
        x.out =
                backend.startAttempt(
                        engine,
                        x.query,
                        until,
                        new AttemptListener() {
                            @Override
                            public void onCompleted(AttemptCompletion end) {
                                AttemptRunner.this.ended(x, engine, attempt, now, end);
                            }

                            @Override
                            public boolean maySendRequest() {
                                return AttemptRunner.this.mayStart(x, attempt);
                            }

                            @Override
                            public void onRequestWritten() {
                                figures.tried(x.query.queryClass());
                            }
                        });
        x.attemptTimeout = loop.scheduleAt(until, () -> x.out.abort(AttemptOutcome.TIMEOUT));
    }

    /**
     * Guards against a request that is sent for nobody: its client's last bytes may lie unread
     * while a connection comes up, and time has passed since the attempt was decided.
     */
    private boolean mayStart(InFlightQuery x, int attempt) {
        return x.reply.isClientWaiting()
                && !x.answered
                && module.attemptMayStart(loop.now(), new RequestId(x.id), attempt);
    }

    /** Calls an attempt off, if it is the one that is out. */
    void cancel(RequestId id, int attempt) {
        InFlightQuery x = answers.find(id.value());
        if (x != null && x.out != null && attempt == x.attempts - 1) {
            counters.increment(Count.ATTEMPTS_CALLED_OFF);
            x.out.abort(AttemptOutcome.CANCELLED);
        }
    }

    private void ended(
            InFlightQuery x, EngineId engine, int attempt, double sentAt, AttemptCompletion end) {
        x.out = null;
        loop.cancel(x.attemptTimeout);
        x.attemptTimeout = null;
        x.unsent += end.outcome() == AttemptOutcome.NOT_SENT ? 1 : 0;
        counters.increment(Count.endOf(end.outcome()));
        if (end.outcome() == AttemptOutcome.OK && !x.answered) {
            answers.served(x, end.pages());
        }
        boolean over = x.answered;
        // An answer that lay unread came earlier: how long we took to read it is no latency of the
        // engine's.
        ArrivalInterval read = loop.arrival();
        boolean late = end.outcome() == AttemptOutcome.OK && !read.isNarrow();
        double cameAt = Math.max(Math.max(sentAt, read.earliest()), turns.last());
        float[] report = read.widthSeconds() < REPORT_AGE_S ? end.loadReport() : new float[0];
        turns.event(
                now ->
                        module.attemptEnded(
                                late ? cameAt : now,
                                new AttemptResult(
                                        new RequestId(x.id),
                                        attempt,
                                        engine,
                                        end.outcome(),
                                        (late ? cameAt : now) - sentAt,
                                        over,
                                        end.actualCost(),
                                        end.actualMemoryMb(),
                                        report)));
        answers.release(x);
    }
}
