package junipercourse.decision.state;

import junipercourse.decision.api.EngineId;
import junipercourse.decision.api.EngineKind;
import junipercourse.decision.api.EngineListing;
import junipercourse.decision.api.EngineStage;

/** The state of one engine. */
public final class EngineState {
    // Applies if the engine kind does not state its cores.
    private static final double CORES_PER_RATING_UNIT = 8;
    private static final double MIN_RATING = 0.1;

    private final EngineId id;
    private final InFlightWork inFlight = new InFlightWork();
    private final ExternalLoad externalLoad = new ExternalLoad();
    private final SlowStartState slowStart = new SlowStartState();
    private final EngineHealth health = new EngineHealth();
    private EngineListing listing;
    private Tier tier = Tier.FRONT;
    private double cores;
    private double memoryMb;
    private double logSlowdown;

    /** Creates the state of an engine that is not listed yet. */
    public EngineState(EngineId id) {
        this.id = id;
    }

    /** Returns the engine's id. */
    public EngineId id() {
        return id;
    }

    /** Returns the attempts of this dispatcher at the engine. */
    public InFlightWork inFlight() {
        return inFlight;
    }

    /** Returns the load that other dispatchers place on the engine. */
    public ExternalLoad externalLoad() {
        return externalLoad;
    }

    /** Returns the slow-start state of the engine. */
    public SlowStartState slowStart() {
        return slowStart;
    }

    /** Returns the health of the engine. */
    public EngineHealth health() {
        return health;
    }

    /** Returns the entry of the engine in the endpoint list; null if it is not listed. */
    public EngineListing listing() {
        return listing;
    }

    /** Returns true if the endpoint list contains the engine. */
    public boolean isListed() {
        return listing != null;
    }

    /** Returns true if the engine accepts work. */
    public boolean isReady() {
        return listing != null && listing.stage() == EngineStage.READY;
    }

    /** Returns true if the engine completes its queries and accepts no others. */
    public boolean isDraining() {
        return listing != null && listing.stage() == EngineStage.DRAINING;
    }

    /** Returns the tier of the engine. */
    public Tier tier() {
        return tier;
    }

    /** Returns the number of cores of the engine. */
    public double cores() {
        return cores;
    }

    /** Returns the memory of the engine in MB; 0 if unknown. */
    public double memoryMb() {
        return memoryMb;
    }

    /** Returns the logarithm of the recent ratio of actual to expected latency. */
    public double logSlowdown() {
        return logSlowdown;
    }

    /** Applies an entry of the endpoint list and the properties of its engine kind. */
    public void applyListing(EngineListing newListing, EngineKind kind) {
        listing = newListing.stage() == EngineStage.GONE ? null : newListing;
        cores =
                kind.cores() > 0
                        ? kind.cores()
                        : CORES_PER_RATING_UNIT * Math.max(newListing.rating(), MIN_RATING);
        memoryMb = kind.memoryMb();
    }

    /** Marks the engine as not listed. */
    public void clearListing() {
        listing = null;
    }

    /** Resets the measured slowdown after a restart of the engine. */
    public void resetSlowdown() {
        logSlowdown = 0;
    }

    /** Adds to the logarithm of the recent ratio of actual to expected latency. */
    public void adjustSlowdown(double logChange) {
        logSlowdown += logChange;
    }

    void assignTier(Tier assigned) {
        tier = assigned;
    }
}
