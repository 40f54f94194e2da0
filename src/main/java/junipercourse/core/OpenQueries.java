package junipercourse.core;

import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import junipercourse.core.Counters.Count;
import junipercourse.decision.api.Idempotency;
import junipercourse.decision.api.QueryClass;
import junipercourse.net.EventLoop;

/** The open queries. Each gets exactly one final answer here, and is counted where it gets it. */
final class OpenQueries {
    private final EventLoop loop;
    private final Counters counters;
    private final ClassMetrics classMetrics;
    private final List<QueryClass> queryClasses;
    private final SlotTable<InFlightQuery> queries = new SlotTable<>();
    private final Set<String> idsInUse = new HashSet<>();
    private final AbandonedIds abandonedIds = new AbandonedIds();
    private QueryIdRegistry idRegistry = QueryIdRegistry.ofSoleProcess();
    private int openCount;
    private Runnable idleTask;

    OpenQueries(
            EventLoop loop,
            Counters counters,
            ClassMetrics classMetrics,
            List<QueryClass> queryClasses) {
        this.loop = loop;
        this.classMetrics = classMetrics;
        this.counters = counters;
        this.queryClasses = queryClasses;
    }

    /** Sets the registry that other processes of this dispatcher share. */
    void setIdRegistry(QueryIdRegistry registry) {
        idRegistry = registry;
    }

    private boolean acquire(String id, Query query) {
        Idempotency idempotency = queryClasses.get(query.queryClass()).idempotency();
        return idRegistry.acquire(id, idempotency != Idempotency.NOT_IDEMPOTENT);
    }

    /** Registers a query. Returns null if there is a conflict with its id. */
    InFlightQuery register(Query query, ResponseHandler responseHandler) {
        String id = normalizedId(query);
        if (idsInUse.contains(id) || abandonedIds.contains(id) || !acquire(id, query)) {
            counters.increment(Count.QUERIES_DOUBLED);
            return null;
        }
        idsInUse.add(id);
        counters.increment(Count.QUERIES_TAKEN);
        InFlightQuery inFlight = new InFlightQuery(query, responseHandler);
        inFlight.id = queries.add(inFlight);
        openCount++;
        return inFlight;
    }

    /** Returns why {@link #register} has not registered a query. */
    IdConflict conflictOf(Query query) {
        String id = normalizedId(query);
        if (idsInUse.contains(id)) {
            return IdConflict.OPEN;
        }
        return abandonedIds.contains(id)
                ? IdConflict.ABANDONED
                : IdConflict.HELD_BY_ANOTHER_PROCESS;
    }

    /** Returns the query with that id, or null. */
    InFlightQuery find(long id) {
        return queries.get(id);
    }

    List<InFlightQuery> all() {
        return queries.all();
    }

    /** Returns the number of queries without a final answer. */
    int openCount() {
        return openCount;
    }

    void serve(InFlightQuery inFlight, List<byte[]> pages) {
        counters.increment(Count.QUERIES_SERVED);
        classMetrics.recordServed(inFlight.query.queryClass());
        inFlight.responseHandler.onServed(pages);
        complete(inFlight);
    }

    /**
     * Answers that the query was rejected and is safe to retry, preferably after the given time.
     */
    void reject(InFlightQuery inFlight, double retryAfterSeconds, String reason) {
        counters.increment(Count.QUERIES_REFUSED);
        classMetrics.recordRejected(inFlight.query.queryClass());
        inFlight.responseHandler.onRejected(retryAfterSeconds, reason);
        complete(inFlight);
    }

    void fail(InFlightQuery inFlight, String reason) {
        counters.increment(Count.QUERIES_FAILED);
        classMetrics.recordFailed(inFlight.query.queryClass());
        inFlight.responseHandler.onFailed(reason);
        complete(inFlight);
    }

    /** Records that the client has left, so that the query needs no answer. */
    void recordClientLeft(InFlightQuery inFlight) {
        counters.increment(Count.CLIENTS_LEFT);
        inFlight.isAbandoned = true;
        complete(inFlight);
    }

    /** Marks a query as answered or abandoned by its client. Nothing else does. */
    private void complete(InFlightQuery inFlight) {
        inFlight.isAnswered = true;
        openCount--;
        loop.cancel(inFlight.deadlineTimer);
        inFlight.deadlineTimer = null;
        releaseIfFinished(inFlight);
        runIdleTaskIfIdle();
    }

    /**
     * Frees the slot and the id of a query that is answered and has no attempt running. Nothing
     * else frees them.
     */
    void releaseIfFinished(InFlightQuery inFlight) {
        if (inFlight.isAnswered
                && inFlight.currentAttempt == null
                && queries.get(inFlight.id) == inFlight) {
            String id = normalizedId(inFlight.query);
            idsInUse.remove(id);
            queries.remove(inFlight.id);
            String released =
                    inFlight.isAbandoned && mayHaveHadEffect(inFlight) ? abandonedIds.add(id) : id;
            if (released != null) {
                idRegistry.release(released);
            }
        }
    }

    private boolean mayHaveHadEffect(InFlightQuery inFlight) {
        QueryClass queryClass = queryClasses.get(inFlight.query.queryClass());
        return inFlight.sentAttemptCount() > 0
                && queryClass.idempotency() != Idempotency.IDEMPOTENT;
    }

    private static String normalizedId(Query query) {
        return query.id().toLowerCase(Locale.ROOT);
    }

    /** Sets a task for {@link #runIdleTaskIfIdle} to run once no query is open. */
    void runWhenIdle(Runnable task) {
        idleTask = task;
    }

    void runIdleTaskIfIdle() {
        if (openCount == 0 && idleTask != null) {
            Runnable task = idleTask;
            idleTask = null;
            task.run();
        }
    }
}
