package junipercourse.core;

import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;
import junipercourse.decision.api.DecisionSettings;
import junipercourse.decision.api.DeduplicationScope;
import junipercourse.decision.api.Idempotency;
import junipercourse.decision.api.QueryClass;

/** Answers open queries because this process shuts down. */
public final class ShutdownResponder {
    private final DecisionSettings settings;
    private final OpenQueries openQueries;
    private final Consumer<InFlightQuery> abandonInModule;

    /**
     * Creates a responder; {@code abandonInModule} tells the decision module that a query needs no
     * answer any more.
     */
    ShutdownResponder(
            DecisionSettings settings,
            OpenQueries openQueries,
            Consumer<InFlightQuery> abandonInModule) {
        this.settings = settings;
        this.openQueries = openQueries;
        this.abandonInModule = abandonInModule;
    }

    /**
     * Rejects queries so that their clients retry at the process that replaces this one. All
     * queries that were not sent to an engine are rejected: clients may open only a limited number
     * of connections to both processes, and queries that wait here would block others there. If
     * more than {@code maxKeptQueries} remain, queries already sent are rejected as well where a
     * retry is safe, youngest first, since these lose least work.
     *
     * @param maxKeptQueries the number of queries to keep at most; more are kept if they are not
     *     safe to retry
     */
    public void handOverQueries(int maxKeptQueries) {
        List<InFlightQuery> youngestFirst =
                openQueries.all().stream()
                        .filter(inFlight -> !inFlight.isAnswered)
                        .sorted(
                                Comparator.comparingDouble(
                                        inFlight -> -inFlight.query.arrival().readAt()))
                        .toList();
        for (InFlightQuery inFlight : youngestFirst) {
            if (inFlight.sentAttemptCount() == 0
                    || openQueries.openCount() > maxKeptQueries && isSafeToRetry(inFlight)) {
                openQueries.reject(inFlight, 0, "the dispatcher is being replaced");
                abandonInModule.accept(inFlight);
            }
        }
    }

    /** Returns whether the query can be retried safely, even if one of its attempts has run. */
    private boolean isSafeToRetry(InFlightQuery inFlight) {
        QueryClass queryClass = settings.queryClasses().get(inFlight.query.queryClass());
        return inFlight.sentAttemptCount() == 0
                || queryClass.idempotency() == Idempotency.IDEMPOTENT
                || queryClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
                        && queryClass.deduplicationScope() == DeduplicationScope.ALL;
    }

    /**
     * Answers all open queries: a client that gets an answer now can go elsewhere, while one whose
     * connection breaks when the process exits cannot tell what became of its query.
     */
    public void answerOpenQueries() {
        for (InFlightQuery inFlight : openQueries.all()) {
            if (!inFlight.isAnswered) {
                if (isSafeToRetry(inFlight)) {
                    openQueries.reject(inFlight, 0, "the dispatcher is shutting down");
                } else {
                    openQueries.fail(inFlight, "the dispatcher is shutting down");
                }
                abandonInModule.accept(inFlight);
            }
        }
    }
}
