package junipercourse.decision;

import java.util.List;
import junipercourse.decision.admission.RequestLifecycle;
import junipercourse.decision.api.AttemptOutcome;
import junipercourse.decision.api.AttemptResult;
import junipercourse.decision.api.DecisionModule;
import junipercourse.decision.api.DecisionSettings;
import junipercourse.decision.api.DispatcherActions;
import junipercourse.decision.api.EndpointUpdateKind;
import junipercourse.decision.api.EngineId;
import junipercourse.decision.api.EngineListing;
import junipercourse.decision.api.ProgressKind;
import junipercourse.decision.api.QueryRequest;
import junipercourse.decision.api.RequestId;
import junipercourse.decision.api.UnknownQueryClassException;
import junipercourse.decision.constraints.SendConstraints;
import junipercourse.decision.estimation.Estimators;
import junipercourse.decision.health.EjectionReason;
import junipercourse.decision.health.OutlierDetector;
import junipercourse.decision.load.LoadTracking;
import junipercourse.decision.state.Attempt;
import junipercourse.decision.state.ClassStatistics;
import junipercourse.decision.state.DecisionDefaults;
import junipercourse.decision.state.DispatchState;
import junipercourse.decision.state.EngineState;
import junipercourse.decision.state.PendingRequest;

/**
 * The decision module. It implements the T+F policy of the TAGS (task assignment by guessing size)
 * analysis: first attempts run on the front tier; an attempt that exceeds the cutoff of its class
 * is cancelled and restarted from scratch on the smaller back tier, which runs it to completion.
 *
 * <p>Events only update the state. {@link #decide} evaluates requests and sends attempts after the
 * whole batch of events has been reported. A dispatcher that was paused therefore processes the
 * events that arrived in the meantime before it checks which engines are silent.
 */
public final class TagsDispatcher implements DecisionModule {
    private static final long TIMER_TOKEN = 0;

    private final DispatchState state;
    private final Estimators estimators;
    private final SendConstraints constraints;
    private final LoadTracking loadTracking;
    private final OutlierDetector outlierDetector;
    private final RequestLifecycle lifecycle;
    private final EndpointListUpdater endpointUpdater;
    private final AttemptEventHandler attemptEvents;
    private double nextSubscriptionAt = Double.POSITIVE_INFINITY;
    private double nextTimerAt = Double.POSITIVE_INFINITY;
    private long requestCount;

    /**
     * Creates a module.
     *
     * @param settings the settings
     * @param seed seed of the random numbers
     * @param actions executes the decisions of the module
     */
    public TagsDispatcher(DecisionSettings settings, long seed, DispatcherActions actions) {
        state = DispatchState.create(settings, seed, actions);
        estimators = Estimators.create(settings);
        constraints = new SendConstraints(state, estimators);
        loadTracking = LoadTracking.create(state, estimators, constraints.slowStart());
        outlierDetector = new OutlierDetector(state, estimators.speed());
        lifecycle =
                RequestLifecycle.create(
                        state, estimators, constraints, loadTracking, outlierDetector);
        endpointUpdater = new EndpointListUpdater(state, outlierDetector, constraints.slowStart());
        attemptEvents = new AttemptEventHandler(state, loadTracking.estimator(), lifecycle);
    }

    /**
     * Limits the number of open requests. Above the limit, requests that wait for an engine are
     * rejected, lowest priority first: the number of client connections is limited, and once all
     * are in use, no further client can connect, whatever its priority.
     */
    public void limitOpenRequests(int limit) {
        state.requests().limitOpenRequests(limit);
    }

    /** Returns the engines that outlier detection has ejected. */
    public List<EngineId> ejectedEngines() {
        return outlierDetector.ejectedEngines();
    }

    @Override
    public void endpointsChanged(double now, EndpointUpdateKind kind, List<EngineListing> entries) {
        startOnFirstEvent(now);
        if (kind == EndpointUpdateKind.FAILED) {
            double backoff =
                    DecisionDefaults.INITIAL_BACKOFF_SECONDS * (1 + state.random().nextDouble());
            nextSubscriptionAt = now + backoff;
        } else {
            endpointUpdater.apply(now, kind, entries);
        }
    }

    @Override
    public void requestReceived(double now, QueryRequest request) {
        if (request.queryClass() < 0 || request.queryClass() >= state.classes().size()) {
            throw new UnknownQueryClassException(request.queryClass());
        }
        startOnFirstEvent(now);
        constraints.retryBudget().recordRequest(now);
        loadTracking.prober().recordRequest();
        estimators.traffic().recordRequest(now);
        ClassStatistics statistics = state.classes().get(request.queryClass());
        PendingRequest pending =
                new PendingRequest(
                        request,
                        statistics,
                        now,
                        requestCount++,
                        estimators.quota().isOverQuota(now, request),
                        state.random().nextDouble());
        statistics.recordArrival(pending.isOverQuota());
        if (pending.hasCostEstimate()) {
            statistics.logUnloadedLatency().add(Math.log(pending.unloadedLatency()));
            statistics.work().add(request.costEstimate());
        }
        state.requests().add(pending);
        lifecycle.supervisor().admit(now, pending);
    }

    @Override
    public void responseStarted(double now, RequestId id, int attemptNumber, EngineId engine) {
        attemptEvents.handleResponseStarted(now, id, attemptNumber);
    }

    @Override
    public void attemptProgressed(
            double now, RequestId id, int attemptNumber, ProgressKind kind, double value) {
        attemptEvents.handleProgress(now, id, attemptNumber, kind, value);
    }

    @Override
    public void attemptEnded(double now, AttemptResult result) {
        attemptEvents.handleEnded(now, result);
    }

    /**
     * Returns true if the first byte of an attempt may be written now. If not, the caller must end
     * the attempt as {@link AttemptOutcome#NOT_SENT}. This method changes no state.
     */
    public boolean attemptMayStart(double now, RequestId id, int attemptNumber) {
        Attempt active = state.requests().findActiveAttempt(id, attemptNumber);
        return active != null && constraints.mayWriteFirstByte(now, active);
    }

    @Override
    public void requestAbandoned(double now, RequestId id) {
        PendingRequest request = state.requests().find(id);
        if (request != null && !request.isClosed()) {
            lifecycle.completion().close(request);
        }
    }

    @Override
    public void timerFired(double now, long token) {
        if (now >= nextTimerAt - DecisionDefaults.TIMER_RESOLUTION_SECONDS) {
            nextTimerAt = Double.POSITIVE_INFINITY;
        }
    }

    @Override
    public void probeCompleted(
            double now,
            EngineId id,
            AttemptOutcome outcome,
            double durationSeconds,
            float[] loadReport) {
        EngineState engine = state.engines().find(id);
        if (engine == null) {
            return;
        }
        engine.externalLoad().setProbeInFlight(false);
        state.requests().scheduleAdmission();
        switch (outcome) {
            case OK -> loadTracking.estimator().recordReport(now, engine, loadReport, false);
            case UNREACHABLE -> outlierDetector.eject(now, engine, EjectionReason.DEAD);
            case TIMEOUT ->
                    loadTracking.estimator().recordFull(now, engine); // it is full or it hangs
            default -> {}
        }
    }

    @Override
    public void peerMessageReceived(double now, int sender, byte[] payload) {
        if (loadTracking.gossip().receive(now, sender, payload)) {
            state.requests().scheduleAdmission();
        }
    }

    @Override
    public void decide(double now) {
        startOnFirstEvent(now);
        if (now >= nextSubscriptionAt) {
            nextSubscriptionAt = Double.POSITIVE_INFINITY;
            state.actions().subscribeToEndpoints();
        }
        if (lifecycle.cutoffs().updateIfDue(now)) {
            constraints.retryBudget().expire(now);
            state.requests().keyedQueues().removeIdleKeys(now);
        }
        evaluateDueRequests(now);
        if (state.requests().pollAdmissionDue()) {
            lifecycle.queue().admit(now);
        }
        loadTracking.gossip().broadcastIfDue(now);
        scheduleTimer(now);
    }

    private void evaluateDueRequests(double now) {
        PendingRequest dueRequest = state.requests().evaluations().poll(now);
        while (dueRequest != null) {
            lifecycle.supervisor().evaluate(now, dueRequest);
            dueRequest = state.requests().evaluations().poll(now);
        }
    }

    private void startOnFirstEvent(double now) {
        if (!estimators.traffic().isStarted()) {
            estimators.traffic().start(now);
            loadTracking.gossip().start(now);
            if (state.settings().pollsEndpoints()) {
                state.actions().subscribeToEndpoints();
            }
        }
    }

    /** Schedules a timer for the next due time, unless an earlier timer is already pending. */
    private void scheduleTimer(double now) {
        double earliestAt = now + DecisionDefaults.TIMER_RESOLUTION_SECONDS;
        double nextDueAt = Math.min(state.requests().evaluations().nextDueAt(), nextSubscriptionAt);
        double dueAt = Math.max(earliestAt, nextDueAt);
        if (loadTracking.gossip().isActive()) {
            dueAt = Math.min(dueAt, Math.max(earliestAt, loadTracking.gossip().nextBroadcastAt()));
        }
        if (dueAt < nextTimerAt - DecisionDefaults.TIMER_RESOLUTION_SECONDS) {
            nextTimerAt = dueAt;
            state.actions().scheduleTimer(dueAt - now, TIMER_TOKEN);
        }
    }
}
