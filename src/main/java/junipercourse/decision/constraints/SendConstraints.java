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
 * Checks the guarantees that each attempt must keep. The rule numbers in the comments are those of
 * the platform's protocol specification.
 */
public final class SendConstraints {
    private final DispatchState state;
    private final SlowStartController slowStart;
    private final RetryBudget retryBudget;

    /** Creates the constraints of one decision module. */
    public SendConstraints(DispatchState state, Estimators estimators) {
        this.state = state;
        this.slowStart = new SlowStartController(state, estimators);
        this.retryBudget = new RetryBudget(state.settings().guarantees());
    }

    /** Returns the slow-start controller (rule 4). */
    public SlowStartController slowStart() {
        return slowStart;
    }

    /** Returns the retry budget (rule 7). */
    public RetryBudget retryBudget() {
        return retryBudget;
    }

    /** Returns true if the next attempt of a request may be sent to an engine now. */
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
     * Checks the constraints again right before the first byte of an attempt is written. They may
     * have changed since the attempt was launched, because its connection may have taken long to
     * establish.
     */
    public boolean mayWriteFirstByte(double now, Attempt attempt) {
        return !attempt.isCancelled()
                && !attempt.engineRestarted()
                && deadlineAllows(now, attempt.request())
                && attempt.engine().isReady()
                && isRetrySafe(now, attempt.request(), attempt.engine())
                && orderingAllows(now, attempt.request());
    }

    /** Rule 1: nothing is sent for a request that is closed or whose answer is due. */
    private static boolean deadlineAllows(double now, PendingRequest request) {
        return !request.isClosed() && now < request.answerDueAt();
    }

    /**
     * Rule 2: a repeated request has no second effect, and one attempt runs at a time unless
     * hedging is allowed.
     */
    public boolean idempotencyAllows(double now, PendingRequest request, EngineState engine) {
        boolean isHedgingAllowed =
                state.settings().limits().hedgingAllowed()
                        && request.queryClass().idempotency() == Idempotency.IDEMPOTENT;
        boolean isConcurrencyAllowed =
                request.activeAttempt() == null
                        && (!request.hasOutstandingAttempts() || isHedgingAllowed);
        return !areAttemptsExhausted(request)
                && isConcurrencyAllowed
                && isRetrySafe(now, request, engine);
    }

    /** Returns true if a request has used all attempts that the platform allows. */
    public boolean areAttemptsExhausted(PendingRequest request) {
        PlatformLimits limits = state.settings().limits();
        return limits.maxAttempts() > 0 && request.sentAttemptCount() >= limits.maxAttempts();
    }

    private static boolean isRetrySafe(double now, PendingRequest request, EngineState engine) {
        Attempt firstAttempt = request.firstExecutedAttempt();
        if (firstAttempt == null) {
            return true;
        }
        QueryClass queryClass = request.queryClass();
        return switch (queryClass.idempotency()) {
            case IDEMPOTENT -> true;
            case IDEMPOTENT_WITH_KEY ->
                    sharesDeduplication(firstAttempt, engine)
                            && now
                                    < firstAttempt.sentAt()
                                            + queryClass.deduplicationWindowSeconds()
                                            - DecisionDefaults.ANSWER_LEAD_SECONDS;
            case NOT_IDEMPOTENT -> false;
        };
    }

    /**
     * Returns true if an engine is within the deduplication scope of an earlier attempt, and
     * therefore recognizes its idempotency key.
     */
    public static boolean sharesDeduplication(Attempt firstAttempt, EngineState engine) {
        return engine.isListed()
                && switch (firstAttempt.request().queryClass().deduplicationScope()) {
                    case ALL -> true;
                    case ZONE -> firstAttempt.listingAtStart().zone() == engine.listing().zone();
                    case CELL -> firstAttempt.listingAtStart().cell() == engine.listing().cell();
                };
    }

    /** Rule 4: an engine that is warming up must not be overloaded. */
    public boolean slowStartAllows(double now, PendingRequest request, EngineState engine) {
        return slowStart.allows(now, request, engine);
    }

    /** Rule 5: requests with the same key run one at a time, in order of arrival. */
    public boolean orderingAllows(double now, PendingRequest request) {
        return state.requests().keyedQueues().isNextForKey(now, request);
    }

    /** Rule 6: the query class must allow the zone and the kind of the engine. */
    public static boolean placementAllows(PendingRequest request, EngineState engine) {
        if (!engine.isListed()) {
            return false;
        }
        QueryClass queryClass = request.queryClass();
        boolean isZoneAllowed =
                queryClass.allowedZones().isEmpty()
                        || queryClass.allowedZones().contains(engine.listing().zone());
        boolean isKindAllowed =
                queryClass.allowedKinds().isEmpty()
                        || queryClass.allowedKinds().contains(engine.listing().kind());
        return isZoneAllowed && isKindAllowed;
    }

    /** Rule 7: retries must stay within the retry budget. */
    public boolean retryBudgetAllows(double now, PendingRequest request) {
        return retryBudget.allows(now, request);
    }
}
