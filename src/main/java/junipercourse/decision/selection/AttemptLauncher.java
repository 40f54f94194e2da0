package junipercourse.decision.selection;

import junipercourse.decision.api.EngineCapabilities;
import junipercourse.decision.api.Idempotency;
import junipercourse.decision.api.QueryClass;
import junipercourse.decision.constraints.SendConstraints;
import junipercourse.decision.estimation.LatencyEstimator;
import junipercourse.decision.load.AggregateCapacity;
import junipercourse.decision.state.Attempt;
import junipercourse.decision.state.DecisionDefaults;
import junipercourse.decision.state.DispatchState;
import junipercourse.decision.state.EngineState;
import junipercourse.decision.state.PendingRequest;
import junipercourse.decision.state.Tier;

/**
 * Sends attempts, and accounts for their threads, memory grants, slow-start credit and retry
 * budget.
 */
public final class AttemptLauncher {
    private static final int OVER_QUOTA_PRIORITY = 0;
    private static final int DEFAULT_PRIORITY = 1;
    private static final int RESTART_PRIORITY = 2;
    private static final int SHORT_QUERY_PRIORITY = 3;

    private final DispatchState state;
    private final LatencyEstimator latencyEstimator;
    private final SendConstraints constraints;
    private final MemoryGrants memoryGrants;
    private final AggregateCapacity fleetCapacity;
    private final double shortestObjectiveSeconds;

    /** Creates a launcher. */
    public AttemptLauncher(
            DispatchState state,
            LatencyEstimator latencyEstimator,
            SendConstraints constraints,
            MemoryGrants memoryGrants,
            AggregateCapacity fleetCapacity) {
        this.state = state;
        this.latencyEstimator = latencyEstimator;
        this.constraints = constraints;
        this.memoryGrants = memoryGrants;
        this.fleetCapacity = fleetCapacity;
        this.shortestObjectiveSeconds =
                state.settings().queryClasses().stream()
                        .mapToDouble(QueryClass::latencyObjectiveSeconds)
                        .min()
                        .orElse(0);
    }

    /** Sends the next attempt of a request to an engine. */
    public void launch(double now, PendingRequest request, EngineState engine) {
        double grantMb = memoryGrants.grantMb(request);
        setAttemptTerms(request, grantMb);
        state.actions()
                .startAttempt(
                        request.query().id(), engine.id(), timeoutSeconds(now, request, engine));
        double slowStartCharge = constraints.slowStart().computeCharge(now, request, engine);
        Attempt attempt =
                new Attempt(
                        request,
                        engine,
                        now,
                        grantMb,
                        latencyEstimator.expectedLatency(request),
                        slowStartCharge);
        attempt.begin();
        recordLaunch(now, attempt);
        double firstEvaluationSeconds =
                Math.min(
                        DecisionDefaults.SUPERVISION_INTERVAL_SECONDS,
                        latencyEstimator.cutoffSeconds(now, request));
        state.requests().evaluations().schedule(now + firstEvaluationSeconds, request);
    }

    private void recordLaunch(double now, Attempt attempt) {
        PendingRequest request = attempt.request();
        EngineState engine = attempt.engine();
        if (request.sentAttemptCount() > 1) {
            constraints.retryBudget().recordRetry(now);
        }
        if (attempt.number() == 0 && !request.isOverQuota()) {
            request.classStatistics().recordStart();
        }
        if (engine.health().isEjected()) {
            engine.health().scheduleProbation(now, engine.health().ejectionBackoffSeconds());
        } else {
            fleetCapacity.addThreads(request.queryClass().threads());
        }
    }

    private void setAttemptTerms(PendingRequest request, double grantMb) {
        EngineCapabilities capabilities = state.settings().engineCapabilities();
        if (capabilities.honorsMemoryGrants() && grantMb > 0 || capabilities.honorsPriority()) {
            state.actions()
                    .setAttemptParameters(
                            request.query().id(),
                            attemptPriority(request),
                            capabilities.honorsMemoryGrants() ? grantMb : 0);
        }
    }

    /**
     * Returns the timeout of an attempt, or 0 for none. If the platform does not allow
     * cancellation, an attempt on the front tier times out at its cutoff, unless its query is not
     * idempotent.
     */
    private double timeoutSeconds(double now, PendingRequest request, EngineState engine) {
        boolean endsAtCutoff =
                !state.settings().limits().cancellationAllowed()
                        && engine.tier() == Tier.FRONT
                        && request.queryClass().idempotency() != Idempotency.NOT_IDEMPOTENT;
        return endsAtCutoff ? latencyEstimator.cutoffSeconds(now, request) : 0;
    }

    /**
     * Returns the priority that the engine gives an attempt: highest for the class with the
     * shortest latency objective, then for restarts.
     */
    private int attemptPriority(PendingRequest request) {
        if (request.isOverQuota()) {
            return OVER_QUOTA_PRIORITY;
        }
        if (request.queryClass().latencyObjectiveSeconds() <= shortestObjectiveSeconds) {
            return SHORT_QUERY_PRIORITY;
        }
        return request.isRestarting() ? RESTART_PRIORITY : DEFAULT_PRIORITY;
    }
}
