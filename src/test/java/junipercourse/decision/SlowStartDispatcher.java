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
 * One dispatcher of a {@link SlowStartSimulation}: its module, what it has asked for, and what it
 * was told when.
 */
final class SlowStartDispatcher implements DispatcherActions {
    final int ordinal;
    final double late;
    final double restartAt;
    final Map<Long, Asked> asked = new HashMap<>();
    final List<Asked> sends = new ArrayList<>();
    final List<Asked> cancels = new ArrayList<>();
    private final Map<Long, Double> toldAt = new HashMap<>();
    TagsDispatcher module;
    double since;
    int life;
    boolean touched;
    private double now;
    private double wakeAt;

    /** A request in hand with its true work; it has one attempt out at most. */
    static final class Asked {
        final QueryRequest r;
        final double work;
        int tries;
        long engine;
        Object out;

        Asked(QueryRequest r, double work) {
            this.r = r;
            this.work = work;
        }
    }

    /**
     * @param late by how much it hears of everything later than others
     */
    SlowStartDispatcher(int ordinal, double late, double restartAt) {
        this.ordinal = ordinal;
        this.late = late;
        this.restartAt = restartAt;
    }

    /** Begins a life, which knows nothing of the one before. */
    void start(double at, DecisionSettings settings, long seed, List<EngineListing> list) {
        life++;
        since = at;
        now = at;
        asked.clear();
        sends.clear();
        cancels.clear();
        wakeAt = Double.POSITIVE_INFINITY;
        module = new TagsDispatcher(settings, seed, this);
        hear(at, EndpointUpdateKind.FULL, list);
    }

    void hear(double at, EndpointUpdateKind kind, List<EngineListing> list) {
        module.endpointsChanged(at, kind, list);
        list.forEach(e -> toldAt.putIfAbsent(life(e.id().value(), e.startedAt()), at));
        touched = true;
    }

    /** Whether it had been told of such a start by a time. */
    boolean knew(long engine, double startedAt, double at) {
        return at >= toldAt.getOrDefault(life(engine, startedAt), Double.POSITIVE_INFINITY);
    }

    private static long life(long engine, double startedAt) {
        return engine * 1_000_000 + Math.round(startedAt * 1000);
    }

    void request(double at, QueryRequest r, double work) {
        asked.put(r.id().value(), new Asked(r, work));
        module.requestReceived(at, r);
        touched = true;
    }

    /** Lets the module decide; true if it had anything to. */
    boolean settle(double at) {
        now = at;
        if (now >= wakeAt) {
            wakeAt = Double.POSITIVE_INFINITY;
            module.timerFired(now, 0);
            touched = true;
        }
        boolean acts = touched;
        touched = false;
        if (acts) {
            module.decide(now);
        }
        return acts;
    }

    @Override
    public void startAttempt(RequestId id, EngineId engine, double giveUpAfter) {
        Asked a = asked.get(id.value());
        a.engine = engine.value();
        sends.add(a);
    }

    @Override
    public void cancelAttempt(RequestId id, int attempt) {
        cancels.add(asked.get(id.value()));
    }

    @Override
    public void reject(RequestId id, double coolDown) {}

    @Override
    public void fail(RequestId id) {}

    @Override
    public void setAttemptParameters(RequestId id, int priority, double memoryMb) {}

    @Override
    public void scheduleTimer(double delay, long token) {
        wakeAt = Math.min(wakeAt, now + delay);
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
