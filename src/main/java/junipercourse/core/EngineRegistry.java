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
 * Passes the endpoint list of the event bus, with the engines in maintenance mode as draining, to
 * the back end and the decision module.
 */
public final class EngineRegistry {
    private final EventLoop loop;
    private final Backend backend;
    private final TagsDispatcher module;
    private final EventBatcher batcher;
    private final Counters counters;
    private final EngineDirectory directory = new EngineDirectory();

    EngineRegistry(
            EventLoop loop,
            Backend backend,
            TagsDispatcher module,
            EventBatcher batcher,
            Counters counters) {
        this.loop = loop;
        this.backend = backend;
        this.module = module;
        this.batcher = batcher;
        this.counters = counters;
    }

    void updateEndpoints(EndpointUpdateKind kind, List<EngineEndpoint> endpoints) {
        counters.increment(Count.ROSTER_EVENTS);
        publish(kind, directory.applyUpdate(kind, endpoints));
    }

    /**
     * Sets the engines that operators have put into maintenance mode. They count as draining,
     * whatever the endpoint list says.
     */
    public void setEnginesInMaintenance(Set<EngineId> inMaintenance) {
        List<EngineEndpoint> changed = directory.setInMaintenance(inMaintenance, loop.now());
        if (!changed.isEmpty()) {
            publish(EndpointUpdateKind.DELTA, changed);
        }
    }

    /**
     * Updates the back end at once, before anything more is sent, and the decision module with the
     * next batch of events.
     */
    private void publish(EndpointUpdateKind kind, List<EngineEndpoint> endpoints) {
        backend.updateEndpoints(kind, endpoints);
        batcher.enqueue(
                now ->
                        module.endpointsChanged(
                                now,
                                kind,
                                endpoints.stream()
                                        .map(endpoint -> withStartInLoopTime(endpoint.engine()))
                                        .toList()));
    }

    /**
     * Converts the start time of an engine from Unix time to loop time, since the wall clock may
     * have stepped since this process started.
     */
    private EngineListing withStartInLoopTime(EngineListing listing) {
        return listing.startedAt() <= 0
                ? listing
                : new EngineListing(
                        listing.id(),
                        listing.zone(),
                        listing.kind(),
                        listing.cell(),
                        listing.stage(),
                        listing.rating(),
                        loop.toLoopTime(listing.startedAt()));
    }

    /** Returns the listed engines; none before the first list was received. */
    public Set<EngineId> listedEngines() {
        return directory.listedIds();
    }

    /** Returns whether an endpoint list has been received, even an empty one. */
    public boolean hasReceivedList() {
        return directory.hasReceivedList();
    }

    /**
     * Returns how many listed engines get no new queries because they are in maintenance mode or
     * ejected by the decision module.
     */
    public int skippedEngineCount() {
        return directory.skippedCount(Set.copyOf(module.ejectedEngines()));
    }
}
