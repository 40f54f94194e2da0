package junipercourse.decision.state;

import junipercourse.decision.api.EngineId;
import junipercourse.decision.api.EngineKind;
import junipercourse.decision.api.EngineListing;
import junipercourse.decision.api.EngineStage;

/** What is known of an engine. */
public final class EngineState {
    private static final double CORES_PER_RATING_UNIT = 8; // if the kind does not state its cores
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

    /** Returns this dispatcher's work on the engine. */
    public InFlightWork inFlight() {
        return inFlight;
    }

    /** Returns other dispatchers' work on the engine. */
    public ExternalLoad externalLoad() {
        return externalLoad;
    }

    /** Returns the engine's slow start. */
    public SlowStartState slowStart() {
        return slowStart;
    }

    /** Returns the engine's health. */
    public EngineHealth health() {
        return health;
    }

    /** Returns the engine's entry in the endpoint list; null if it is not listed. */
    public EngineListing listing() {
        return listing;
    }

    /** Returns true if the endpoint list names the engine. */
    public boolean isListed() {
        return listing != null;
    }

    /** Returns true if the engine accepts work. */
    public boolean isReady() {
        return listing != null && listing.stage() == EngineStage.READY;
    }

    /** Returns true if the engine completes its work and accepts no more. */
    public boolean isDraining() {
        return listing != null && listing.stage() == EngineStage.DRAINING;
    }

    /** Returns the engine's tier. */
    public Tier tier() {
        return tier;
    }

    /** Returns the engine's cores. */
    public double cores() {
        return cores;
    }

    /** Returns the engine's memory in MB; 0 if unknown. */
    public double memoryMb() {
        return memoryMb;
    }

    /** Returns the logarithm of recent latency over expectation. */
    public double logSlowdown() {
        return logSlowdown;
    }

    /** Takes over a list entry and the engine's kind. */
    public void applyListing(EngineListing newListing, EngineKind kind) {
        listing = newListing.stage() == EngineStage.GONE ? null : newListing;
        cores =
                kind.cores() > 0
                        ? kind.cores()
                        : CORES_PER_RATING_UNIT * Math.max(newListing.rating(), MIN_RATING);
        memoryMb = kind.memoryMb();
    }

    /** Notes that the engine is no longer listed. */
    public void clearListing() {
        listing = null;
    }

    /** Forgets how slow the engine was: it has been restarted. */
    public void resetSlowdown() {
        logSlowdown = 0;
    }

    /** Changes the logarithm of recent latency over expectation. */
    public void adjustSlowdown(double logChange) {
        logSlowdown += logChange;
    }

    void assignTier(Tier assigned) {
        tier = assigned;
    }
}
