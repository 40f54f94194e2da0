package junipercourse.decision.state;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import junipercourse.decision.api.EngineId;

/**
 * All engines that are listed or have an attempt in flight, in order of their ids, and the two
 * tiers. Bounded by the endpoint list.
 */
public final class EngineRegistry {
    /** Share of the engines in the back tier: the design's default. */
    public static final double BACK_TIER_SHARE = 0.25;

    private final Map<EngineId, EngineState> engines = new TreeMap<>();
    private final List<EngineState> frontEngines = new ArrayList<>();
    private final List<EngineState> backEngines = new ArrayList<>();
    private final RendezvousAffinity affinity = new RendezvousAffinity();
    private double backCores;
    private double totalCores;
    private boolean knownToBeEmpty;

    /** Returns all engines in order of their ids. */
    public Collection<EngineState> all() {
        return Collections.unmodifiableCollection(engines.values());
    }

    /** Returns an engine; null if it is unknown. */
    public EngineState find(EngineId id) {
        return engines.get(id);
    }

    /** Returns an engine, which is added if it is unknown. */
    public EngineState findOrAdd(EngineId id) {
        return engines.computeIfAbsent(id, EngineState::new);
    }

    /** Removes engines. */
    public void removeAll(Collection<EngineState> removed) {
        engines.values().removeAll(removed);
    }

    /** Returns the engines of a tier that are ready, in no particular order. */
    public List<EngineState> readyEngines(Tier tier) {
        return Collections.unmodifiableList(tier == Tier.FRONT ? frontEngines : backEngines);
    }

    /** Exchanges two engines of a tier, to draw from it at random. */
    public void swap(Tier tier, int first, int second) {
        Collections.swap(tier == Tier.FRONT ? frontEngines : backEngines, first, second);
    }

    /** Returns the number of engines that are ready. */
    public int readyCount() {
        return frontEngines.size() + backEngines.size();
    }

    /** Returns the cores of the back tier. */
    public double backCores() {
        return backCores;
    }

    /** Returns the cores of both tiers. */
    public double totalCores() {
        return totalCores;
    }

    /** Returns true if a current endpoint list names no engine. */
    public boolean isKnownToBeEmpty() {
        return knownToBeEmpty;
    }

    /** Notes whether the endpoint list is current, after it has changed. */
    public void recordListUpdate(boolean isCurrent) {
        knownToBeEmpty = isCurrent && engines.values().stream().noneMatch(EngineState::isListed);
    }

    /**
     * Assigns the listed engines to the tiers: the last quarter by id, at least one, is the back
     * tier. All dispatchers make the same assignment.
     */
    public void assignTiers() {
        List<EngineState> listed = engines.values().stream().filter(EngineState::isListed).toList();
        int backCount = Math.max(1, (int) Math.round(listed.size() * BACK_TIER_SHARE));
        frontEngines.clear();
        backEngines.clear();
        affinity.clear();
        backCores = 0;
        totalCores = 0;
        for (int index = 0; index < listed.size(); index++) {
            EngineState engine = listed.get(index);
            engine.assignTier(index >= listed.size() - backCount ? Tier.BACK : Tier.FRONT);
            if (engine.isReady()) {
                addToTier(engine);
            }
        }
    }

    private void addToTier(EngineState engine) {
        if (engine.tier() == Tier.BACK) {
            backEngines.add(engine);
            backCores += engine.cores();
        } else {
            frontEngines.add(engine);
        }
        totalCores += engine.cores();
    }

    /** Returns the engines of each tier that all dispatchers prefer for a table group. */
    public List<EngineState> preferredEngines(float tableGroup, int frontCount, int backCount) {
        return affinity.preferredEngines(
                tableGroup, frontEngines, frontCount, backEngines, backCount);
    }
}
