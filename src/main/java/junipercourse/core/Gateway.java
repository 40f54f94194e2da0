package junipercourse.core;

import java.util.List;
import java.util.function.DoubleConsumer;
import java.util.function.DoubleSupplier;
import junipercourse.core.Backend.EngineEndpoint;
import junipercourse.core.Counters.Count;
import junipercourse.decision.TagsDispatcher;
import junipercourse.decision.api.DecisionSettings;
import junipercourse.decision.api.EndpointUpdateKind;
import junipercourse.decision.api.EngineId;
import junipercourse.decision.api.QueryRequest;
import junipercourse.decision.api.RequestId;
import junipercourse.net.EventLoop;
import org.tinylog.Logger;

/**
 * Passes events to the decision module in batches, lets it decide once per batch, and carries out
 * its actions. {@link OpenQueries} gives each query one final answer, whatever the module does.
 */
public final class Gateway extends UnsupportedActions {
    /**
     * The module answers before this margin; a failure sent then still reaches the client in time.
     */
    private static final double ANSWER_MARGIN_SECONDS = 0.012;

    private final EventLoop loop;
    private final DecisionSettings settings;
    private final Counters counters;
    private final TagsDispatcher module;
    private final ClassMetrics metrics;
    private final EngineRegistry engineRegistry;
    private final AttemptRunner attemptRunner;
    private final OpenQueries queries;
    private final KeyOrderGate keyOrderGate;
    private final EventBatcher batcher;

    /** Beyond {@code maxOpenQueries} open queries, those that wait for an engine are rejected. */
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
        this.metrics = new ClassMetrics(settings.queryClasses().size());
        this.queries = new OpenQueries(loop, counters, metrics, settings.queryClasses());
        this.module = new TagsDispatcher(settings, seed, this);
        module.limitOpenRequests(maxOpenQueries);
        this.keyOrderGate =
                new KeyOrderGate(
                        loop,
                        this::enqueueEvent,
                        this::passToModuleOrFail,
                        (inFlight, now) -> rejectUnordered(inFlight));
        this.batcher =
                new EventBatcher(loop, counters, keyOrderGate::onBatchProcessed, module::decide);
        this.engineRegistry = new EngineRegistry(loop, backend, module, batcher, counters);
        this.attemptRunner =
                new AttemptRunner(
                        loop, settings, backend, module, batcher, queries, counters, metrics);
        loop.addStallListener(stall -> attemptRunner.recheckAfterStall());
    }

    /**
     * Submits a query; its handler is called later. Returns the id for {@link #abandon}; 0 if there
     * is a conflict with the client's id of the query ({@link #conflictOf}).
     */
    public long submit(Query query, ResponseHandler responseHandler) {
        InFlightQuery inFlight = queries.register(query, responseHandler);
        if (inFlight == null) {
            return 0;
        }
        inFlight.deadlineTimer =
                loop.scheduleAt(
                        query.deadlineAt() - ANSWER_MARGIN_SECONDS, () -> failAtDeadline(inFlight));
        enqueueEvent(
                now -> {
                    if (isOrderedByKey(query)) {
                        keyOrderGate.enqueue(inFlight, now);
                    } else {
                        passToModuleOrFail(inFlight, now);
                    }
                });
        return inFlight.id;
    }

    /** Returns why {@link #submit} has refused a query. */
    public IdConflict conflictOf(Query query) {
        return queries.conflictOf(query);
    }

    /** Sets what tells since when bytes of clients may have waited to be processed. */
    public void setUnprocessedSince(DoubleSupplier unprocessedSince) {
        keyOrderGate.setUnprocessedSince(unprocessedSince);
    }

    /** Sets the registry that other processes of this dispatcher share. */
    public void setIdRegistry(QueryIdRegistry idRegistry) {
        queries.setIdRegistry(idRegistry);
    }

    private boolean isOrderedByKey(Query query) {
        return query.orderKey() != 0
                && settings.queryClasses().get(query.queryClass()).orderedByKey();
    }

    private void enqueueEvent(DoubleConsumer event) {
        batcher.enqueue(event);
    }

    /** Rejects a query whose order is unknown. It never ran: the order is kept, a retry is safe. */
    private void rejectUnordered(InFlightQuery inFlight) {
        counters.increment(Count.QUERIES_UNORDERED);
        queries.reject(
                inFlight,
                settings.limits().retryAfterAllowed()
                        ? settings.limits().maxRetryAfterSeconds()
                        : 0,
                "the order of this key's queries is not known after a pause of the dispatcher");
    }

    private void passToModuleOrFail(InFlightQuery inFlight, double now) {
        if (!inFlight.isAnswered && !passToModule(inFlight, now)) {
            queries.fail(inFlight, "internal error");
        }
    }

    /** Returns false if the module failed with an exception, which affects no other query. */
    private boolean passToModule(InFlightQuery inFlight, double now) {
        Query query = inFlight.query;
        return batcher.runCatching(
                batchTime ->
                        module.requestReceived(
                                batchTime,
                                new QueryRequest(
                                        new RequestId(inFlight.id),
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

    /** Abandons a query whose client has left: it needs no answer any more. */
    public void abandon(long id) {
        InFlightQuery inFlight = queries.find(id);
        if (inFlight != null && !inFlight.isAnswered) {
            queries.recordClientLeft(inFlight);
            abandonInModule(inFlight);
        }
    }

    /** Applies an update of the endpoint list. */
    public void updateEndpoints(EndpointUpdateKind kind, List<EngineEndpoint> endpoints) {
        engineRegistry.updateEndpoints(kind, endpoints);
    }

    /** Returns the engines as the endpoint list and the operators' maintenance mode define them. */
    public EngineRegistry engineRegistry() {
        return engineRegistry;
    }

    /** Changes the limit that was given to the constructor. */
    public void limitOpenQueries(int maxOpenQueries) {
        module.limitOpenRequests(maxOpenQueries);
    }

    /** Returns the counts of answers and attempts by query class. */
    public ClassMetrics classMetrics() {
        return metrics;
    }

    /** Returns the number of queries without a final answer. */
    public int openQueryCount() {
        return queries.openCount();
    }

    /** Runs a task as soon as no query is open. */
    public void runWhenIdle(Runnable task) {
        queries.runWhenIdle(task);
        enqueueEvent(now -> queries.runIdleTaskIfIdle());
    }

    /** Returns the responder for open queries at the shutdown of this process. */
    public ShutdownResponder shutdownResponder() {
        return new ShutdownResponder(settings, queries, this::abandonInModule);
    }

    private void failAtDeadline(InFlightQuery inFlight) {
        inFlight.deadlineTimer = null;
        if (!inFlight.isAnswered) {
            counters.increment(Count.QUERIES_LAST_MOMENT);
            queries.fail(inFlight, "out of time");
            abandonInModule(inFlight);
        }
    }

    private void abandonInModule(InFlightQuery inFlight) {
        enqueueEvent(now -> module.requestAbandoned(now, new RequestId(inFlight.id)));
    }

    @Override
    public void startAttempt(RequestId id, EngineId engine, double timeoutSeconds) {
        attemptRunner.startAttempt(id, engine, timeoutSeconds);
    }

    @Override
    public void cancelAttempt(RequestId id, int attempt) {
        attemptRunner.cancel(id, attempt);
    }

    @Override
    public void reject(RequestId id, double retryAfterSeconds) {
        InFlightQuery inFlight = queries.find(id.value());
        if (inFlight != null && !inFlight.isAnswered) {
            queries.reject(inFlight, retryAfterSeconds, "no engine can take this query in time");
        }
    }

    @Override
    public void fail(RequestId id) {
        InFlightQuery inFlight = queries.find(id.value());
        if (inFlight != null && !inFlight.isAnswered) {
            queries.fail(inFlight, "the query could not be brought to an end");
        }
    }

    @Override
    public void scheduleTimer(double delaySeconds, long token) {
        loop.scheduleAfter(delaySeconds, () -> enqueueEvent(now -> module.timerFired(now, token)));
    }

    @Override
    public void log(String line) {
        Logger.info(line);
    }
}
