package junipercourse.core;

import java.util.List;
import java.util.function.DoubleConsumer;
import junipercourse.core.Backend.EngineEndpoint;
import junipercourse.core.Counters.Count;
import junipercourse.decision.TagsDispatcher;
import junipercourse.decision.api.DecisionSettings;
import junipercourse.decision.api.EndpointUpdateKind;
import junipercourse.decision.api.EngineId;
import junipercourse.decision.api.ProgressKind;
import junipercourse.decision.api.QueryRequest;
import junipercourse.decision.api.RequestId;
import junipercourse.liveness.StallDetector;
import junipercourse.net.EventLoop;
import org.tinylog.Logger;

/**
 * Drives the decision module: tells it the events of a turn, lets it decide once, and carries out
 * what it asks for. Every query gets one final answer by {@link OpenQueries}, whatever the module
 * does.
 */
public final class Gateway extends UnsupportedActions {
    /** The module answers before this; it is the net below it, and still in time for the client. */
    private static final double LAST_MOMENT_S = 0.012;

    private final EventLoop loop;
    private final DecisionSettings settings;
    private final Counters counters;
    private final TagsDispatcher module;
    private final ClassMetrics classMetrics;
    private final EngineRegistry engineRegistry;
    private final AttemptRunner attempts;
    private final OpenQueries answers;
    private final KeyOrderGate keys;
    private final EventBatcher turns;

    /** Past {@code mostTaken} queries in hand, those that wait for an engine are refused. */
    public Gateway(
            EventLoop loop,
            DecisionSettings settings,
            long seed,
            int maxOpenQueries,
            Backend backend,
            Counters counters) {
        this.loop = loop;
        this.settings = settings;
        this.counters = counters;
        this.classMetrics = new ClassMetrics(settings.queryClasses().size());
        this.answers = new OpenQueries(loop, counters, classMetrics);
        this.module = new TagsDispatcher(settings, seed, this);
        module.limitOpenRequests(maxOpenQueries);
        this.keys = new KeyOrderGate(loop, this::event, this::tellOrFail, (x, now) -> unordered(x));
        this.turns = new EventBatcher(loop, counters, keys::turnTold, module::decide);
        this.engineRegistry = new EngineRegistry(loop, backend, module, turns, counters);
        this.attempts =
                new AttemptRunner(
                        loop, settings, backend, module, turns, answers, counters, classMetrics);
        loop.addStallListener(this::resumed);
    }

    // ---- what the fronts and the roster tell ----

    /**
     * Takes a query; its reply is called once, later. The id is good for {@link #abandon}. It is 0
     * for one that is not taken: engines know queries by the client's id, and one is open or still
     * out under this.
     */
    public long submit(Query query, ResponseHandler responseHandler) {
        InFlightQuery x = answers.take(query, responseHandler);
        if (x == null) {
            return 0;
        }
        x.lastMoment = loop.scheduleAt(query.deadlineAt() - LAST_MOMENT_S, () -> lastMoment(x));
        event(
                now -> {
                    if (ordered(query)) {
                        keys.admit(x, now);
                    } else {
                        tellOrFail(x, now);
                    }
                });
        return x.id;
    }

    private boolean ordered(Query query) {
        return query.orderKey() != 0
                && settings.queryClasses().get(query.queryClass()).orderedByKey();
    }

    private void event(DoubleConsumer event) {
        turns.event(event);
    }

    /**
     * It never ran, and trying again is harmless: only that keeps the order where it cannot be
     * known.
     */
    private void unordered(InFlightQuery x) {
        counters.increment(Count.QUERIES_UNORDERED);
        answers.refused(
                x,
                settings.limits().retryAfterAllowed()
                        ? settings.limits().maxRetryAfterSeconds()
                        : 0,
                "the order of this key's queries is not known after a pause of the dispatcher");
    }

    private void tellOrFail(InFlightQuery x, double now) {
        if (!x.answered && !tell(x, now)) {
            answers.failed(x, "internal error");
        }
    }

    /**
     * After a stall: whatever engines said meanwhile has been read by now, and what they did not
     * say proves nothing. The module is told a sign of life for each attempt, so that it counts
     * silence from now on.
     */
    private void resumed(StallDetector.Stall stall) {
        counters.increment(Count.STALLS_SEEN);
        for (InFlightQuery x : answers.all()) {
            if (x.out != null) {
                counters.increment(Count.STALLS_REEXAMINED);
                int attempt = x.attempts - 1;
                event(
                        now ->
                                module.attemptProgressed(
                                        now,
                                        new RequestId(x.id),
                                        attempt,
                                        ProgressKind.PROGRESS,
                                        0));
            }
        }
    }

    /** False if the module failed at it: that costs this query, and no other. */
    private boolean tell(InFlightQuery x, double now) {
        Query query = x.query;
        return turns.guarded(
                at ->
                        module.requestReceived(
                                at,
                                new QueryRequest(
                                        new RequestId(x.id),
                                        query.queryClass(),
                                        query.tenant(),
                                        query.deadlineAt(),
                                        query.orderKey(),
                                        query.tableGroup(),
                                        query.costEstimate(),
                                        query.memoryEstimateMb(),
                                        query.isClientRetry())),
                now);
    }

    /** The client has left: no answer is owed any more. */
    public void abandon(long id) {
        InFlightQuery x = answers.find(id);
        if (x != null && !x.answered) {
            answers.left(x);
            abandonInModule(x);
        }
    }

    /** News of the engine list. */
    public void updateEndpoints(EndpointUpdateKind kind, List<EngineEndpoint> endpoints) {
        engineRegistry.roster(kind, endpoints);
    }

    /** The engines as the list and the staff have them. */
    public EngineRegistry engineRegistry() {
        return engineRegistry;
    }

    /** Bounds the queries in hand from now on, as the constructor does. */
    public void limitOpenQueries(int maxOpenQueries) {
        module.limitOpenRequests(maxOpenQueries);
    }

    /** What was answered and tried, by class. */
    public ClassMetrics classMetrics() {
        return classMetrics;
    }

    /** Queries without a final answer. */
    public int openQueryCount() {
        return answers.open();
    }

    /** Runs a task as soon as no query is open. */
    public void runWhenIdle(Runnable task) {
        answers.whenIdle(task);
        event(now -> answers.checkIdle());
    }

    /** The answers at the end of this process. */
    public ShutdownResponder shutdownResponder() {
        return new ShutdownResponder(settings, answers, this::abandonInModule);
    }

    // ---- answers ----

    private void lastMoment(InFlightQuery x) {
        x.lastMoment = null;
        if (!x.answered) {
            counters.increment(Count.QUERIES_LAST_MOMENT);
            answers.failed(x, "out of time");
            abandonInModule(x);
        }
    }

    private void abandonInModule(InFlightQuery x) {
        event(now -> module.requestAbandoned(now, new RequestId(x.id)));
    }

    // ---- what the module asks for ----

    @Override
    public void startAttempt(RequestId id, EngineId engine, double giveUpAfter) {
        attempts.send(id, engine, giveUpAfter);
    }

    @Override
    public void cancelAttempt(RequestId id, int attempt) {
        attempts.cancel(id, attempt);
    }

    @Override
    public void reject(RequestId id, double coolDown) {
        InFlightQuery x = answers.find(id.value());
        if (x != null && !x.answered) {
            answers.refused(x, coolDown, "no engine can take this query in time");
        }
    }

    @Override
    public void fail(RequestId id) {
        InFlightQuery x = answers.find(id.value());
        if (x != null && !x.answered) {
            answers.failed(x, "the query could not be brought to an end");
        }
    }

    @Override
    public void scheduleTimer(double delay, long token) {
        loop.scheduleAfter(delay, () -> event(now -> module.timerFired(now, token)));
    }

    @Override
    public void log(String line) {
        Logger.info(line);
    }
}
