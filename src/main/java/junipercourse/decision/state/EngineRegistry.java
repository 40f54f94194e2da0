package junipercourse.decision.state;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import junipercourse.decision.api.EngineId;

/**
 * All engines that are listed or have an attempt in flight, ordered by id, and their assignment to
 * the two tiers. The endpoint list bounds its size.
 */
public final class EngineRegistry {
    /** Share of the engines that form the back tier. */
    public static final double BACK_TIER_SHARE = 0.25;

    private final Map<EngineId, EngineState> engines = new TreeMap<>();
    private final List<EngineState> frontEngines = new ArrayList<>();
    private final List<EngineState> backEngines = new ArrayList<>();
    private final RendezvousAffinity affinity = new RendezvousAffinity();
    private double backCores;
    private double totalCores;
    private boolean knownToBeEmpty;

    /** Returns all engines, ordered by id. */
    public Collection<EngineState> all() {
        return Collections.unmodifiableCollection(engines.values());
    }

    /** Returns the engine with this id; null if it is unknown. */
    public EngineState find(EngineId id) {
        return engines.get(id);
    }

    /** Returns the engine with this id, and adds it if it is unknown. */
    public EngineState findOrAdd(EngineId id) {
        return engines.computeIfAbsent(id, EngineState::new);
    }

    /** Removes engines. */
    public void removeAll(Collection<EngineState> removed) {
        engines.values().removeAll(removed);
    }

    /** Returns the ready engines of a tier, in no particular order. */
    public List<EngineState> readyEngines(Tier tier) {
        return Collections.unmodifiableList(tier == Tier.FRONT ? frontEngines : backEngines);
    }

    /** Swaps two ready engines of a tier by their positions, as a step of a random shuffle. */
    public void swap(Tier tier, int first, int second) {
        Collections.swap(tier == Tier.FRONT ? frontEngines : backEngines, first, second);
    }

    /** Returns the number of engines that are ready. */
    public int readyCount() {
        return frontEngines.size() + backEngines.size();
    }

    /** Returns the number of cores of the ready engines in the back tier. */
    public double backCores() {
        return backCores;
    }

    /** Returns the number of cores of all ready engines. */
    public double totalCores() {
        return totalCores;
    }

    /**
     * Returns true if the endpoint list is empty and is not a cached copy, which may be out of
     * date.
     */
    public boolean isKnownToBeEmpty() {
        return knownToBeEmpty;
    }

    /** Records whether the endpoint list is up to date, after an update was applied. */
    public void recordListUpdate(boolean isCurrent) {
        knownToBeEmpty = isCurrent && engines.values().stream().noneMatch(EngineState::isListed);
    }

    /**
     * Assigns the listed engines to the tiers: the last quarter by id, but at least one engine, is
     * the back tier. All dispatchers compute the same assignment.
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

    /**
     * Returns the engines of each tier that all dispatchers prefer for a table group, front tier
     * first.
     */
    public List<EngineState> preferredEngines(float tableGroup, int frontCount, int backCount) {
        return affinity.preferredEngines(
                tableGroup, frontEngines, frontCount, backEngines, backCount);
    }
}
