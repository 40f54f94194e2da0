package junipercourse.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import junipercourse.decision.api.AttemptOutcome;
import junipercourse.decision.api.AttemptResult;
import junipercourse.decision.api.CapacityRating;
import junipercourse.decision.api.DecisionSettings;
import junipercourse.decision.api.DeduplicationScope;
import junipercourse.decision.api.DispatcherActions;
import junipercourse.decision.api.EndpointUpdateKind;
import junipercourse.decision.api.EngineCapabilities;
import junipercourse.decision.api.EngineId;
import junipercourse.decision.api.EngineKind;
import junipercourse.decision.api.EngineListing;
import junipercourse.decision.api.EngineStage;
import junipercourse.decision.api.Idempotency;
import junipercourse.decision.api.LoadMetric;
import junipercourse.decision.api.LoadReportChannel;
import junipercourse.decision.api.OutOfMemoryPolicy;
import junipercourse.decision.api.PlatformLimits;
import junipercourse.decision.api.QueryClass;
import junipercourse.decision.api.QueryRequest;
import junipercourse.decision.api.RequestId;
import junipercourse.decision.api.ServiceGuarantees;

/** A module whose actions are recorded as text, with a clock that the test sets. */
final class RecordingDispatcher implements DispatcherActions {
    static final ServiceGuarantees GUARANTEES =
            new ServiceGuarantees(0.02, 0.5, 0.3, 10, 2.5, 3, 1, 0, 0, 0, 10);

    final List<String> actions = new ArrayList<>();
    final List<byte[]> peerPayloads = new ArrayList<>();
    final TagsDispatcher module;
    double now = 100;

    RecordingDispatcher(DecisionSettings settings) {
        this(settings, 7);
    }

    RecordingDispatcher(DecisionSettings settings, long seed) {
        module = new TagsDispatcher(settings, seed, this);
    }

    static DecisionSettings fleetSettings(int dispatchers, QueryClass... classes) {
        DecisionSettings base = settings(GUARANTEES, false, classes);
        return new DecisionSettings(
                dispatchers,
                0,
                0,
                false,
                base.capacityRating(),
                1,
                base.loadReportChannel(),
                base.loadMetrics(),
                base.queryClasses(),
                List.of(),
                base.engineKinds(),
                base.limits(),
                base.guarantees(),
                base.engineCapabilities());
    }

    static QueryClass queryClass(
            Idempotency idempotency, double objectiveSeconds, double deadlineSeconds, int threads) {
        return new QueryClass(
                "c",
                idempotency,
                DeduplicationScope.ALL,
                5,
                false,
                objectiveSeconds,
                0,
                deadlineSeconds,
                1,
                0.5,
                threads,
                false,
                false,
                Set.of(),
                Set.of());
    }

    static DecisionSettings settings(
            ServiceGuarantees guarantees, boolean hedgingAllowed, QueryClass... classes) {
        return new DecisionSettings(
                1,
                0,
                0,
                false,
                CapacityRating.OFF,
                1,
                LoadReportChannel.ON_PROBE,
                List.of(LoadMetric.IN_FLIGHT),
                List.of(classes),
                List.of(),
                List.of(new EngineKind("k", 10, 10000)),
                new PlatformLimits(true, false, false, hedgingAllowed, true, 0.5, 4, 0.25),
                guarantees,
                new EngineCapabilities(
                        false, false, 0.4, OutOfMemoryPolicy.SHRINK_GRANT, 0, false));
    }

    static EngineListing listing(long id, EngineStage stage, double startedAt) {
        return new EngineListing(
                new EngineId(id), (int) (id % 2), 0, (int) id, stage, 1, startedAt);
    }

    void listReadyEngines(int count) {
        List<EngineListing> listings = new ArrayList<>();
        for (int i = 1; i <= count; i++) {
            listings.add(listing(i, EngineStage.READY, 0));
        }
        module.endpointsChanged(now, EndpointUpdateKind.FULL, listings);
        module.decide(now);
    }

    void receiveRequest(long id, int queryClass, double deadlineAt, long key) {
        module.requestReceived(
                now,
                new QueryRequest(
                        new RequestId(id),
                        queryClass,
                        0,
                        deadlineAt,
                        key,
                        0,
                        Double.NaN,
                        0,
                        false));
        module.decide(now);
    }

    void endAttempt(long id, int attempt, long engine, AttemptOutcome outcome, boolean isFinished) {
        module.attemptEnded(
                now,
                new AttemptResult(
                        new RequestId(id),
                        attempt,
                        new EngineId(engine),
                        outcome,
                        0,
                        isFinished,
                        0,
                        0,
                        new float[0]));
        module.decide(now);
    }

    /** Advances the clock in steps of 25 ms and fires the timer at each, as a gateway does. */
    void advance(double seconds) {
        int ticks = (int) Math.round(seconds / 0.025);
        for (int i = 0; i < ticks; i++) {
            now += 0.025;
            module.timerFired(now, 0);
            module.decide(now);
        }
    }

    /** Returns and clears the recorded actions; timers are not recorded. */
    List<String> takeActions() {
        List<String> recorded = List.copyOf(actions);
        actions.clear();
        return recorded;
    }

    /** Returns the engine id of the only attempt among the recorded actions and clears them. */
    long takeSentEngineId() {
        List<String> sends =
                takeActions().stream().filter(action -> action.startsWith("send")).toList();
        if (sends.size() != 1) {
            throw new AssertionError("expected one attempt: " + sends);
        }
        return Long.parseLong(sends.get(0).split(" ")[2]);
    }

    @Override
    public void startAttempt(RequestId id, EngineId engine, double timeoutSeconds) {
        actions.add("send " + id.value() + " " + engine.value());
    }

    @Override
    public void cancelAttempt(RequestId id, int attempt) {
        actions.add("cancel " + id.value() + " " + attempt);
    }

    @Override
    public void reject(RequestId id, double retryAfterSeconds) {
        actions.add("reject " + id.value() + " " + retryAfterSeconds);
    }

    @Override
    public void fail(RequestId id) {
        actions.add("fail " + id.value());
    }

    @Override
    public void setAttemptParameters(RequestId id, int priority, double memoryMb) {
        actions.add("terms " + id.value() + " " + priority + " " + memoryMb);
    }

    @Override
    public void scheduleTimer(double delaySeconds, long token) {
        if (!(delaySeconds > 0)) {
            throw new AssertionError("timer delay " + delaySeconds);
        }
    }

    @Override
    public void probeEngine(EngineId engine) {
        actions.add("probe " + engine.value());
    }

    @Override
    public void broadcastToPeers(byte[] payload) {
        actions.add("broadcast " + payload.length);
        peerPayloads.add(payload);
    }

    @Override
    public void subscribeToEndpoints() {
        actions.add("subscribe");
    }

    @Override
    public void log(String line) {
        actions.add("log " + line);
    }
}
