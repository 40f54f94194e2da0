package junipercourse.decision.estimation;

import junipercourse.decision.state.DecisionDefaults;
import junipercourse.decision.state.EngineState;

/**
 * Compares the slowdown of each engine to the median engine, since a slowdown of all engines is not
 * the fault of a single one.
 */
public final class EngineSpeedEstimator {
    // Smaller differences to the median are ignored.
    private static final double LOG_SLOWDOWN_TOLERANCE = 0.2;

    private double medianLogSlowdown;

    /** Adds an attempt of an engine; its slowdown is the ratio of actual to expected latency. */
    public void record(EngineState engine, double slowdown) {
        double weight = DecisionDefaults.SAMPLE_WEIGHT;
        double sample = Math.log(Math.min(DecisionDefaults.MAX_LATENCY_RATIO, slowdown));
        engine.adjustSlowdown(weight * (sample - engine.logSlowdown()));
        medianLogSlowdown +=
                weight * Math.signum(engine.logSlowdown() - medianLogSlowdown) * weight;
    }

    /** Returns the logarithm of the median slowdown. */
    public double medianLogSlowdown() {
        return medianLogSlowdown;
    }

    /**
     * Returns by how much the logarithm of an engine's slowdown exceeds the median and a tolerance,
     * at least 0.
     */
    public double relativeLogSlowdown(EngineState engine) {
        return Math.max(0, engine.logSlowdown() - medianLogSlowdown - LOG_SLOWDOWN_TOLERANCE);
    }
}
