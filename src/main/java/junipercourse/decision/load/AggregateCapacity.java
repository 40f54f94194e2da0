package junipercourse.decision.load;

import junipercourse.decision.constraints.SlowStartController;
import junipercourse.decision.state.EngineRegistry;
import junipercourse.decision.state.EngineState;

/**
 * The threads that this dispatcher has in flight and the cores that are available, summed over all
 * ready engines.
 */
public final class AggregateCapacity {
    private double ownThreads;
    private double warmCores;

    /**
     * Recomputes both sums. The threads of overlong attempts and at ejected engines are excluded.
     */
    public void recompute(double now, EngineRegistry engines, SlowStartController slowStart) {
        ownThreads = 0;
        warmCores = 0;
        for (EngineState engine : engines.all()) {
            if (engine.isReady()) {
                ownThreads +=
                        engine.health().isEjected()
                                ? 0
                                : engine.inFlight().threads() - engine.inFlight().overlongThreads();
                warmCores += engine.cores() * slowStart.capacityShare(now, engine);
            }
        }
    }

    /** Adds the threads of an attempt that is sent after the last recomputation. */
    public void addThreads(int threads) {
        ownThreads += threads;
    }

    /** Returns this dispatcher's threads in flight. */
    public double ownThreads() {
        return ownThreads;
    }

    /**
     * Returns the cores of all ready engines; engines that are warming up count with their current
     * share.
     */
    public double warmCores() {
        return warmCores;
    }
}
