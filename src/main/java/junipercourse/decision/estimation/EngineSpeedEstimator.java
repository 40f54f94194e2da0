package junipercourse.decision.estimation;

import junipercourse.decision.state.DecisionDefaults;
import junipercourse.decision.state.EngineState;

/** Compares each engine's slowdown to the median engine: a common slowdown is no engine's fault. */
public final class EngineSpeedEstimator {
    private static final double LOG_SLOWDOWN_TOLERANCE =
            0.2; // logarithm of the slowdown that is ignored

    private double medianLogSlowdown;

    /** Adds an attempt of an engine, as latency over expectation. */
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

    /** Returns the logarithm of an engine's slowdown against the median one, at least 0. */
    public double relativeLogSlowdown(EngineState engine) {
        return Math.max(0, engine.logSlowdown() - medianLogSlowdown - LOG_SLOWDOWN_TOLERANCE);
    }
}
