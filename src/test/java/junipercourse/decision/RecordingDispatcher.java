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

/** A module with recorded actions and a hand-set clock. */
final class RecordingDispatcher implements DispatcherActions {
    static final ServiceGuarantees GUARANTEES =
            new ServiceGuarantees(0.02, 0.5, 0.3, 10, 2.5, 3, 1, 0, 0, 0, 10);

    final List<String> log = new ArrayList<>();
    final List<byte[]> peerPayloads = new ArrayList<>();
    final TagsDispatcher module;
    double now = 100;

    RecordingDispatcher(DecisionSettings settings) {
        this(settings, 7);
    }

    RecordingDispatcher(DecisionSettings settings, long seed) {
        module = new TagsDispatcher(settings, seed, this);
    }

    static DecisionSettings many(int gateways, QueryClass... classes) {
        DecisionSettings s = settings(GUARANTEES, false, classes);
        return new DecisionSettings(
                gateways,
                0,
                0,
                false,
                s.capacityRating(),
                1,
                s.loadReportChannel(),
                s.loadMetrics(),
                s.queryClasses(),
                List.of(),
                s.engineKinds(),
                s.limits(),
                s.guarantees(),
                s.engineCapabilities());
    }

    static QueryClass queryClass(Idempotency effect, double aim, double deadline, int threads) {
        return new QueryClass(
                "c",
                effect,
                DeduplicationScope.ALL,
                5,
                false,
                aim,
                0,
                deadline,
                1,
                0.5,
                threads,
                false,
                false,
                Set.of(),
                Set.of());
    }

    static DecisionSettings settings(
            ServiceGuarantees guarantees, boolean copies, QueryClass... classes) {
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
                new PlatformLimits(true, false, false, copies, true, 0.5, 4, 0.25),
                guarantees,
                new EngineCapabilities(
                        false, false, 0.4, OutOfMemoryPolicy.SHRINK_GRANT, 0, false));
    }

    static EngineListing engine(long id, EngineStage stage, double startedAt) {
        return new EngineListing(
                new EngineId(id), (int) (id % 2), 0, (int) id, stage, 1, startedAt);
    }

    void engines(int count) {
        List<EngineListing> list = new ArrayList<>();
        for (int i = 1; i <= count; i++) {
            list.add(engine(i, EngineStage.READY, 0));
        }
        module.endpointsChanged(now, EndpointUpdateKind.FULL, list);
        module.decide(now);
    }

    void request(long id, int queryClass, double notAfter, long key) {
        module.requestReceived(
                now,
                new QueryRequest(
                        new RequestId(id), queryClass, 0, notAfter, key, 0, Double.NaN, 0, false));
        module.decide(now);
    }

    void end(long id, int attempt, long engine, AttemptOutcome outcome, boolean ended) {
        module.attemptEnded(
                now,
                new AttemptResult(
                        new RequestId(id),
                        attempt,
                        new EngineId(engine),
                        outcome,
                        0,
                        ended,
                        0,
                        0,
                        new float[0]));
        module.decide(now);
    }

    /** Moves the clock on, firing the module's timer as a gateway would. */
    void run(double seconds) {
        int ticks = (int) Math.round(seconds / 0.025);
        for (int i = 0; i < ticks; i++) {
            now += 0.025;
            module.timerFired(now, 0);
            module.decide(now);
        }
    }

    /** The actions so far, timers left out; starts afresh. */
    List<String> take() {
        List<String> out = List.copyOf(log);
        log.clear();
        return out;
    }

    /** The engine of the only send among the actions so far. */
    long sentTo() {
        List<String> sends = take().stream().filter(a -> a.startsWith("send")).toList();
        if (sends.size() != 1) {
            throw new AssertionError("sends: " + sends);
        }
        return Long.parseLong(sends.get(0).split(" ")[2]);
    }

    @Override
    public void startAttempt(RequestId id, EngineId engine, double giveUpAfter) {
        log.add("send " + id.value() + " " + engine.value());
    }

    @Override
    public void cancelAttempt(RequestId id, int attempt) {
        log.add("cancel " + id.value() + " " + attempt);
    }

    @Override
    public void reject(RequestId id, double coolDown) {
        log.add("refuse " + id.value() + " " + coolDown);
    }

    @Override
    public void fail(RequestId id) {
        log.add("fail " + id.value());
    }

    @Override
    public void setAttemptParameters(RequestId id, int priority, double memoryMb) {
        log.add("terms " + id.value() + " " + priority + " " + memoryMb);
    }

    @Override
    public void scheduleTimer(double delay, long token) {
        if (!(delay > 0)) {
            throw new AssertionError("timer " + delay);
        }
    }

    @Override
    public void probeEngine(EngineId engine) {
        log.add("probe " + engine.value());
    }

    @Override
    public void broadcastToPeers(byte[] payload) {
        log.add("tell " + payload.length);
        peerPayloads.add(payload);
    }

    @Override
    public void subscribeToEndpoints() {
        log.add("subscribe");
    }

    @Override
    public void log(String line) {
        log.add("log " + line);
    }
}
