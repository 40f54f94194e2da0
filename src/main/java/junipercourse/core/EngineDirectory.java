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
 * The engines as the event bus lists them, and those that the staff have taken out by hand (DAYS,
 * maintenance of engines). Whatever the bus says, the module and the connections are told that an
 * engine taken out is draining, until the hand that puts it back. The list is the bus's, and so is
 * its length.
 */
final class EngineDirectory {
    private final Map<EngineId, EngineEndpoint> listed = new HashMap<>();
    private final Set<EngineId> out = new HashSet<>();

    /**
     * When an engine was put back, in Unix seconds: it may have been restarted, which no list need
     * tell.
     */
    private final Map<EngineId, Double> putBack = new HashMap<>();

    private boolean told;

    /** Takes news in and gives them back as they are to be acted on. */
    List<EngineEndpoint> news(EndpointUpdateKind kind, List<EngineEndpoint> members) {
        told |= kind != EndpointUpdateKind.FAILED;
        if (kind == EndpointUpdateKind.FULL || kind == EndpointUpdateKind.CACHED) {
            listed.clear();
        }
        List<EngineEndpoint> acted = new ArrayList<>();
        for (EngineEndpoint m : members) {
            if (m.engine().stage() == EngineStage.GONE) {
                listed.remove(m.engine().id());
            } else {
                listed.put(m.engine().id(), m);
            }
            acted.add(asActedOn(m));
        }
        putBack.keySet().retainAll(listed.keySet());
        return acted;
    }

    /**
     * Takes on which engines are out now.
     *
     * @param now Unix time in seconds
     * @return the listed engines for which that is news, as they are to be acted on
     */
    List<EngineEndpoint> out(Set<EngineId> nowOut, double now) {
        Set<EngineId> changed = new HashSet<>(out);
        changed.addAll(nowOut);
        changed.removeIf(id -> out.contains(id) == nowOut.contains(id));
        out.clear();
        out.addAll(nowOut);
        List<EngineEndpoint> acted = new ArrayList<>();
        for (EngineId id : changed) {
            EngineEndpoint m = listed.get(id);
            if (m != null) {
                if (!out.contains(id)) {
                    putBack.put(id, now);
                }
                acted.add(asActedOn(m));
            }
        }
        return acted;
    }

    private EngineEndpoint asActedOn(EngineEndpoint m) {
        EngineListing e = m.engine();
        boolean held = e.stage() == EngineStage.READY && out.contains(e.id());
        double started = Math.max(e.startedAt(), putBack.getOrDefault(e.id(), 0.0));
        return !held && started == e.startedAt()
                ? m
                : new EngineEndpoint(
                        new EngineListing(
                                e.id(),
                                e.zone(),
                                e.kind(),
                                e.cell(),
                                held ? EngineStage.DRAINING : e.stage(),
                                e.rating(),
                                started),
                        m.address());
    }

    /** Whether any list has come. */
    boolean told() {
        return told;
    }

    Set<EngineId> ids() {
        return Set.copyOf(listed.keySet());
    }

    /** The listed engines that get nothing new: those taken out by hand and those of the set. */
    int skipped(Set<EngineId> byChoice) {
        Set<EngineId> all = new HashSet<>(byChoice);
        all.addAll(out);
        all.retainAll(listed.keySet());
        return all.size();
    }
}
