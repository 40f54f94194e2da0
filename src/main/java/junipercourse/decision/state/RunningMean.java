package junipercourse.decision.state;

/** Exponentially weighted moving mean, which is unknown until the first sample. */
public final class RunningMean {
    private boolean known;
    private double value;

    /** Returns true after the first sample. */
    public boolean isKnown() {
        return known;
    }

    /** Returns the mean; only meaningful if {@link #isKnown()}. */
    public double value() {
        return value;
    }

    /** Returns the mean, or a default value if it is unknown. */
    public double valueOr(double defaultValue) {
        return known ? value : defaultValue;
    }

    /** Adds a sample; the first one sets the mean. */
    public void add(double sample) {
        value = known ? value + DecisionDefaults.SAMPLE_WEIGHT * (sample - value) : sample;
        known = true;
    }
}
