package junipercourse.decision.state;

/** An exponentially weighted mean that is unknown until its first sample. */
public final class RunningMean {
    private boolean known;
    private double value;

    /** Returns true once a sample was added. */
    public boolean isKnown() {
        return known;
    }

    /** Returns the mean; only meaningful if {@link #isKnown()}. */
    public double value() {
        return value;
    }

    /** Returns the mean, or a default as long as it is unknown. */
    public double valueOr(double defaultValue) {
        return known ? value : defaultValue;
    }

    /** Adds a sample; the first one becomes the mean. */
    public void add(double sample) {
        value = known ? value + DecisionDefaults.SAMPLE_WEIGHT * (sample - value) : sample;
        known = true;
    }
}
