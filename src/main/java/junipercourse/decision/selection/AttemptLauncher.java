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

/** Sends attempts, and reserves what they use. */
public final class AttemptLauncher {
    private static final int OVER_QUOTA_PRIORITY = 0;
    private static final int USUAL_PRIORITY = 1;
    private static final int RESTART_PRIORITY = 2;
    private static final int SHORT_QUERY_PRIORITY = 3;

    private final DispatchState state;
    private final LatencyEstimator latency;
    private final SendConstraints constraints;
    private final MemoryGrants grants;
    private final AggregateCapacity capacity;
    private final double shortestObjective;

    /** Creates a launcher. */
    public AttemptLauncher(
            DispatchState state,
            LatencyEstimator latency,
            SendConstraints constraints,
            MemoryGrants grants,
            AggregateCapacity capacity) {
        this.state = state;
        this.latency = latency;
        this.constraints = constraints;
        this.grants = grants;
        this.capacity = capacity;
        this.shortestObjective =
                state.settings().queryClasses().stream()
                        .mapToDouble(QueryClass::latencyObjectiveSeconds)
                        .min()
                        .orElse(0);
    }

    /** Sends the next attempt of a request to an engine. */
    public void launch(double now, PendingRequest request, EngineState engine) {
        double grantMb = grants.grantMb(request);
        setTerms(request, grantMb);
        state.actions().startAttempt(request.query().id(), engine.id(), timeout(request, engine));
        double charge = constraints.slowStart().charge(now, request, engine);
        Attempt attempt =
                new Attempt(
                        request, engine, now, grantMb, latency.expectedLatency(request), charge);
        attempt.begin();
        recordLaunch(now, attempt);
        double firstEvaluation =
                Math.min(
                        DecisionDefaults.SUPERVISION_INTERVAL_SECONDS,
                        latency.cutoffSeconds(request));
        state.requests().evaluations().schedule(now + firstEvaluation, request);
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
            capacity.addThreads(request.queryClass().threads());
        }
    }

    private void setTerms(PendingRequest request, double grantMb) {
        EngineCapabilities capabilities = state.settings().engineCapabilities();
        if (capabilities.honorsMemoryGrants() && grantMb > 0 || capabilities.honorsPriority()) {
            state.actions()
                    .setAttemptParameters(
                            request.query().id(),
                            priority(request),
                            capabilities.honorsMemoryGrants() ? grantMb : 0);
        }
    }

    /** If nothing can be cancelled, the cutoff is set as the attempt's own timeout. */
    private double timeout(PendingRequest request, EngineState engine) {
        boolean endsAtCutoff =
                !state.settings().limits().cancellationAllowed()
                        && engine.tier() == Tier.FRONT
                        && request.queryClass().idempotency() != Idempotency.NOT_IDEMPOTENT;
        return endsAtCutoff ? latency.cutoffSeconds(request) : 0;
    }

    /** Short queries first: the class with the shortest latency objective, then restarts. */
    private int priority(PendingRequest request) {
        if (request.isOverQuota()) {
            return OVER_QUOTA_PRIORITY;
        }
        if (request.queryClass().latencyObjectiveSeconds() <= shortestObjective) {
            return SHORT_QUERY_PRIORITY;
        }
        return request.isRestarting() ? RESTART_PRIORITY : USUAL_PRIORITY;
    }
}
