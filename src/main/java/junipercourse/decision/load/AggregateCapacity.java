package junipercourse.decision.load;

import junipercourse.decision.constraints.SlowStartController;
import junipercourse.decision.state.EngineRegistry;
import junipercourse.decision.state.EngineState;

/** This dispatcher's threads in flight, and the cores that are warm, at all ready engines. */
public final class AggregateCapacity {
    private double ownThreads;
    private double warmCores;

    /** Recomputes both figures. Overlong attempts and ejected engines do not count as threads. */
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

    /** Adds the threads of an attempt that was just sent. */
    public void addThreads(int threads) {
        ownThreads += threads;
    }

    /** Returns this dispatcher's threads in flight. */
    public double ownThreads() {
        return ownThreads;
    }

    /** Returns the cores of all engines, less for those that are warming up. */
    public double warmCores() {
        return warmCores;
    }
}
