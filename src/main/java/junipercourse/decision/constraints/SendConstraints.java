package junipercourse.decision.constraints;

import junipercourse.decision.api.Idempotency;
import junipercourse.decision.api.PlatformLimits;
import junipercourse.decision.api.QueryClass;
import junipercourse.decision.estimation.Estimators;
import junipercourse.decision.state.Attempt;
import junipercourse.decision.state.DecisionDefaults;
import junipercourse.decision.state.DispatchState;
import junipercourse.decision.state.EngineState;
import junipercourse.decision.state.PendingRequest;

/**
 * Checks the guarantees that each attempt must keep. The numbers in the doc comments are those of
 * the rules on the platform's wire page.
 */
public final class SendConstraints {
    private final DispatchState state;
    private final SlowStartController slowStart;
    private final RetryBudget retryBudget;

    /** Creates the constraints of one module. */
    public SendConstraints(DispatchState state, Estimators estimators) {
        this.state = state;
        this.slowStart = new SlowStartController(state, estimators);
        this.retryBudget = new RetryBudget(state.settings().guarantees());
    }

    /** Returns the slow start of engines (rule 4). */
    public SlowStartController slowStart() {
        return slowStart;
    }

    /** Returns the budget of retries (rule 7). */
    public RetryBudget retryBudget() {
        return retryBudget;
    }

    /** Returns true if the next attempt of a request may go to an engine now. */
    public boolean maySend(double now, PendingRequest request, EngineState engine) {
        return deadlineAllows(now, request)
                && idempotencyAllows(now, request, engine)
                && engine.isReady()
                && slowStartAllows(now, request, engine)
                && orderingAllows(now, request)
                && placementAllows(request, engine)
                && retryBudgetAllows(now, request);
    }

    /**
     * Checks again, right before the first byte of an attempt, what may have changed since it was
     * sent: its connection may have taken long to establish.
     */
    public boolean mayWriteFirstByte(double now, Attempt attempt) {
        return !attempt.isCancelled()
                && !attempt.engineRestarted()
                && deadlineAllows(now, attempt.request())
                && attempt.engine().isReady()
                && repeatIsHarmless(now, attempt.request(), attempt.engine())
                && orderingAllows(now, attempt.request());
    }

    /** Rule 1: nothing is sent for a request that is answered or out of time. */
    private static boolean deadlineAllows(double now, PendingRequest request) {
        return !request.isClosed() && now < request.answerDueAt();
    }

    /** Rule 2: no second effect, and one attempt at a time unless hedging is allowed. */
    public boolean idempotencyAllows(double now, PendingRequest request, EngineState engine) {
        boolean hedgingAllowed =
                state.settings().limits().hedgingAllowed()
                        && request.queryClass().idempotency() == Idempotency.IDEMPOTENT;
        boolean concurrencyAllowed =
                request.activeAttempt() == null
                        && (!request.hasOutstandingAttempts() || hedgingAllowed);
        return !attemptsExhausted(request)
                && concurrencyAllowed
                && repeatIsHarmless(now, request, engine);
    }

    /** Returns true if the platform allows no further attempt of a request. */
    public boolean attemptsExhausted(PendingRequest request) {
        PlatformLimits limits = state.settings().limits();
        return limits.maxAttempts() > 0 && request.sentAttemptCount() >= limits.maxAttempts();
    }

    private static boolean repeatIsHarmless(
            double now, PendingRequest request, EngineState engine) {
        Attempt first = request.firstExecutedAttempt();
        if (first == null) {
            return true;
        }
        QueryClass queryClass = request.queryClass();
        return switch (queryClass.idempotency()) {
            case IDEMPOTENT -> true;
            case IDEMPOTENT_WITH_KEY ->
                    sharesDeduplication(first, engine)
                            && now
                                    < first.sentAt()
                                            + queryClass.deduplicationWindowSeconds()
                                            - DecisionDefaults.ANSWER_LEAD_SECONDS;
            case NOT_IDEMPOTENT -> false;
        };
    }

    /** Returns true if an engine recognizes the key of an attempt that was sent before. */
    public static boolean sharesDeduplication(Attempt first, EngineState engine) {
        return engine.isListed()
                && switch (first.request().queryClass().deduplicationScope()) {
                    case ALL -> true;
                    case ZONE -> first.listingAtStart().zone() == engine.listing().zone();
                    case CELL -> first.listingAtStart().cell() == engine.listing().cell();
                };
    }

    /** Rule 4: an engine that is warming up is not overloaded. */
    public boolean slowStartAllows(double now, PendingRequest request, EngineState engine) {
        return slowStart.allows(now, request, engine);
    }

    /** Rule 5: requests with the same key run one at a time, in order of arrival. */
    public boolean orderingAllows(double now, PendingRequest request) {
        return state.requests().keyedQueues().isNextForKey(now, request);
    }

    /** Rule 6: the class allows the engine's zone and kind. */
    public static boolean placementAllows(PendingRequest request, EngineState engine) {
        if (!engine.isListed()) {
            return false;
        }
        QueryClass queryClass = request.queryClass();
        boolean zoneAllowed =
                queryClass.allowedZones().isEmpty()
                        || queryClass.allowedZones().contains(engine.listing().zone());
        boolean kindAllowed =
                queryClass.allowedKinds().isEmpty()
                        || queryClass.allowedKinds().contains(engine.listing().kind());
        return zoneAllowed && kindAllowed;
    }

    /** Rule 7: retries keep within their budget. */
    public boolean retryBudgetAllows(double now, PendingRequest request) {
        return retryBudget.allows(now, request);
    }
}
