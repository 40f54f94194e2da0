package junipercourse.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import junipercourse.decision.api.DecisionSettings;
import junipercourse.decision.api.DispatcherActions;
import junipercourse.decision.api.EndpointUpdateKind;
import junipercourse.decision.api.EngineId;
import junipercourse.decision.api.EngineListing;
import junipercourse.decision.api.QueryRequest;
import junipercourse.decision.api.RequestId;

/**
 * One dispatcher of a {@link SlowStartSimulation}: its module, the actions that the simulation has
 * yet to apply, and when it learned of each start of an engine.
 */
final class SlowStartDispatcher implements DispatcherActions {
    final int ordinal;
    final double updateDelaySeconds;
    final double restartAt;
    final Map<Long, SimulatedRequest> openRequests = new HashMap<>();
    final List<SimulatedRequest> requestsToSend = new ArrayList<>();
    final List<SimulatedRequest> requestsToCancel = new ArrayList<>();
    private final Map<Long, Double> knownSinceByStart = new HashMap<>();
    TagsDispatcher module;
    double startedAt;
    int incarnation;
    boolean hasUnhandledEvents;
    private double now;
    private double timerDueAt;

    /**
     * A request that is not answered yet, with its true work. At most one attempt of it is open.
     */
    static final class SimulatedRequest {
        final QueryRequest request;
        final double workSeconds;
        int attemptCount;
        long engineId;
        Object openAttempt;

        SimulatedRequest(QueryRequest request, double workSeconds) {
            this.request = request;
            this.workSeconds = workSeconds;
        }
    }

    /**
     * @param updateDelaySeconds extra delay of endpoint updates compared with other dispatchers
     */
    SlowStartDispatcher(int ordinal, double updateDelaySeconds, double restartAt) {
        this.ordinal = ordinal;
        this.updateDelaySeconds = updateDelaySeconds;
        this.restartAt = restartAt;
    }

    /** Starts a new process, which keeps no state of the one before. */
    void start(double time, DecisionSettings settings, long seed, List<EngineListing> listings) {
        incarnation++;
        startedAt = time;
        now = time;
        openRequests.clear();
        requestsToSend.clear();
        requestsToCancel.clear();
        timerDueAt = Double.POSITIVE_INFINITY;
        module = new TagsDispatcher(settings, seed, this);
        updateEndpoints(time, EndpointUpdateKind.FULL, listings);
    }

    void updateEndpoints(double time, EndpointUpdateKind kind, List<EngineListing> listings) {
        module.endpointsChanged(time, kind, listings);
        listings.forEach(
                listing ->
                        knownSinceByStart.putIfAbsent(
                                startKey(listing.id().value(), listing.startedAt()), time));
        hasUnhandledEvents = true;
    }

    /**
     * Returns whether an endpoint update had reported this start of the engine by the given time.
     */
    boolean knewOfStart(long engineId, double engineStartedAt, double time) {
        return time
                >= knownSinceByStart.getOrDefault(
                        startKey(engineId, engineStartedAt), Double.POSITIVE_INFINITY);
    }

    private static long startKey(long engineId, double startedAt) {
        return engineId * 1_000_000 + Math.round(startedAt * 1000);
    }

    void receiveRequest(double time, QueryRequest request, double workSeconds) {
        openRequests.put(request.id().value(), new SimulatedRequest(request, workSeconds));
        module.requestReceived(time, request);
        hasUnhandledEvents = true;
    }

    /** Lets the module decide if there are new events; returns whether there were any. */
    boolean decideIfNeeded(double time) {
        now = time;
        if (now >= timerDueAt) {
            timerDueAt = Double.POSITIVE_INFINITY;
            module.timerFired(now, 0);
            hasUnhandledEvents = true;
        }
        boolean hadEvents = hasUnhandledEvents;
        hasUnhandledEvents = false;
        if (hadEvents) {
            module.decide(now);
        }
        return hadEvents;
    }

    @Override
    public void startAttempt(RequestId id, EngineId engine, double timeoutSeconds) {
        SimulatedRequest request = openRequests.get(id.value());
        request.engineId = engine.value();
        requestsToSend.add(request);
    }

    @Override
    public void cancelAttempt(RequestId id, int attempt) {
        requestsToCancel.add(openRequests.get(id.value()));
    }

    @Override
    public void reject(RequestId id, double retryAfterSeconds) {}

    @Override
    public void fail(RequestId id) {}

    @Override
    public void setAttemptParameters(RequestId id, int priority, double memoryMb) {}

    @Override
    public void scheduleTimer(double delaySeconds, long token) {
        timerDueAt = Math.min(timerDueAt, now + delaySeconds);
    }

    @Override
    public void probeEngine(EngineId engine) {}

    @Override
    public void broadcastToPeers(byte[] payload) {}

    @Override
    public void subscribeToEndpoints() {}

    @Override
    public void log(String line) {}
}
