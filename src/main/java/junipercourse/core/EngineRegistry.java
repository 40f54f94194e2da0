package junipercourse.core;

import java.util.List;
import java.util.Set;
import junipercourse.core.Backend.EngineEndpoint;
import junipercourse.core.Counters.Count;
import junipercourse.decision.TagsDispatcher;
import junipercourse.decision.api.EndpointUpdateKind;
import junipercourse.decision.api.EngineId;
import junipercourse.decision.api.EngineListing;
import junipercourse.net.EventLoop;

/**
 * Tells the back end and the module of engines: as the bus lists them, less what the staff took
 * out.
 */
public final class EngineRegistry {
    private final EventLoop loop;
    private final Backend backend;
    private final TagsDispatcher module;
    private final EventBatcher turns;
    private final Counters counters;
    private final EngineDirectory list = new EngineDirectory();

    EngineRegistry(
            EventLoop loop,
            Backend backend,
            TagsDispatcher module,
            EventBatcher turns,
            Counters counters) {
        this.loop = loop;
        this.backend = backend;
        this.module = module;
        this.turns = turns;
        this.counters = counters;
    }

    void roster(EndpointUpdateKind kind, List<EngineEndpoint> members) {
        counters.increment(Count.ROSTER_EVENTS);
        tell(kind, list.news(kind, members));
    }

    /**
     * Which engines the staff have taken out by hand: they are draining here, whatever the list
     * says.
     */
    public void setEnginesInMaintenance(Set<EngineId> inMaintenance) {
        List<EngineEndpoint> changed = list.out(inMaintenance, loop.now());
        if (!changed.isEmpty()) {
            tell(EndpointUpdateKind.DELTA, changed);
        }
    }

    /** The back end knows of it before anything more is sent. */
    private void tell(EndpointUpdateKind kind, List<EngineEndpoint> members) {
        backend.updateEndpoints(kind, members);
        turns.event(
                now ->
                        module.endpointsChanged(
                                now,
                                kind,
                                members.stream().map(m -> onLoopTime(m.engine())).toList()));
    }

    /** The list gives starts in Unix time, which may have stepped since this process began. */
    private EngineListing onLoopTime(EngineListing e) {
        return e.startedAt() <= 0
                ? e
                : new EngineListing(
                        e.id(),
                        e.zone(),
                        e.kind(),
                        e.cell(),
                        e.stage(),
                        e.rating(),
                        loop.toLoopTime(e.startedAt()));
    }

    /** The engines in the list; none before the first list has come. */
    public Set<EngineId> listedEngines() {
        return list.ids();
    }

    /** Whether a list of engines has come, be it an empty one. */
    public boolean hasReceivedList() {
        return list.told();
    }

    /** How many listed engines get nothing new, whether by hand or by the module's choice. */
    public int skippedEngineCount() {
        return list.skipped(Set.copyOf(module.ejectedEngines()));
    }
}
