package junipercourse.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import junipercourse.core.Backend.EngineEndpoint;
import junipercourse.decision.api.EndpointUpdateKind;
import junipercourse.decision.api.EngineId;
import junipercourse.decision.api.EngineListing;
import junipercourse.decision.api.EngineStage;

/**
 * The engines that the event bus lists, and those that operators have put into maintenance mode
 * (DAYS, maintenance of engines). Whatever the event bus reports, the decision module and the back
 * end see an engine in maintenance mode as draining until an operator ends its maintenance.
 * Maintenance mode never adds engines to the list or removes them.
 */
final class EngineDirectory {
    private final Map<EngineId, EngineEndpoint> listed = new HashMap<>();
    private final Set<EngineId> inMaintenance = new HashSet<>();

    /**
     * The Unix time in seconds at which the maintenance of an engine ended. The engine may have
     * been restarted meanwhile, and the endpoint list need not report that.
     */
    private final Map<EngineId, Double> maintenanceEndedAt = new HashMap<>();

    private boolean hasReceivedList;

    /**
     * Applies an update of the endpoint list and returns the updated engines, with maintenance mode
     * applied.
     */
    List<EngineEndpoint> applyUpdate(EndpointUpdateKind kind, List<EngineEndpoint> endpoints) {
        hasReceivedList |= kind != EndpointUpdateKind.FAILED;
        if (kind == EndpointUpdateKind.FULL || kind == EndpointUpdateKind.CACHED) {
            listed.clear();
        }
        List<EngineEndpoint> effectiveEndpoints = new ArrayList<>();
        for (EngineEndpoint endpoint : endpoints) {
            if (endpoint.engine().stage() == EngineStage.GONE) {
                listed.remove(endpoint.engine().id());
            } else {
                listed.put(endpoint.engine().id(), endpoint);
            }
            effectiveEndpoints.add(effectiveEndpoint(endpoint));
        }
        maintenanceEndedAt.keySet().retainAll(listed.keySet());
        return effectiveEndpoints;
    }

    /**
     * Sets which engines are in maintenance mode.
     *
     * @param now Unix time in seconds
     * @return the listed engines whose maintenance mode has changed, with the change applied
     */
    List<EngineEndpoint> setInMaintenance(Set<EngineId> nowInMaintenance, double now) {
        Set<EngineId> changed = new HashSet<>(inMaintenance);
        changed.addAll(nowInMaintenance);
        changed.removeIf(id -> inMaintenance.contains(id) == nowInMaintenance.contains(id));
        inMaintenance.clear();
        inMaintenance.addAll(nowInMaintenance);
        List<EngineEndpoint> effectiveEndpoints = new ArrayList<>();
        for (EngineId id : changed) {
            EngineEndpoint endpoint = listed.get(id);
            if (endpoint != null) {
                if (!inMaintenance.contains(id)) {
                    maintenanceEndedAt.put(id, now);
                }
                effectiveEndpoints.add(effectiveEndpoint(endpoint));
            }
        }
        return effectiveEndpoints;
    }

    private EngineEndpoint effectiveEndpoint(EngineEndpoint endpoint) {
        EngineListing listing = endpoint.engine();
        boolean drainForMaintenance =
                listing.stage() == EngineStage.READY && inMaintenance.contains(listing.id());
        double startedAt =
                Math.max(listing.startedAt(), maintenanceEndedAt.getOrDefault(listing.id(), 0.0));
        return !drainForMaintenance && startedAt == listing.startedAt()
                ? endpoint
                : new EngineEndpoint(
                        new EngineListing(
                                listing.id(),
                                listing.zone(),
                                listing.kind(),
                                listing.cell(),
                                drainForMaintenance ? EngineStage.DRAINING : listing.stage(),
                                listing.rating(),
                                startedAt),
                        endpoint.address());
    }

    /** Returns whether an endpoint list has been received, even an empty one. */
    boolean hasReceivedList() {
        return hasReceivedList;
    }

    Set<EngineId> listedIds() {
        return Set.copyOf(listed.keySet());
    }

    /**
     * Returns how many listed engines get no new queries: those in maintenance mode and those in
     * the given set.
     */
    int skippedCount(Set<EngineId> ejected) {
        Set<EngineId> skipped = new HashSet<>(ejected);
        skipped.addAll(inMaintenance);
        skipped.retainAll(listed.keySet());
        return skipped.size();
    }
}
