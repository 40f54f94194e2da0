package junipercourse.liveness;

/** Figures of the stalls seen since the start, for operators. Times are seconds. */
public final class StallStatistics {
    private long stallCount;
    private long clockStepCount;
    private double longestStallSeconds;
    private double totalStallSeconds;
    private double lastStallSeconds;
    private double lastStallEndUnixSeconds = Double.NaN;
    private double lastClockStepSeconds;
    private double longestCatchUpSeconds;

    /** A stall has ended; {@code unix} is the Unix time of its end. */
    public void recordStall(StallDetector.Stall stall, double endUnixSeconds) {
        stallCount++;
        lastStallSeconds = stall.durationSeconds();
        longestStallSeconds = Math.max(longestStallSeconds, lastStallSeconds);
        totalStallSeconds += lastStallSeconds;
        lastStallEndUnixSeconds = endUnixSeconds;
    }

    /** The wall clock has stepped. */
    public void recordClockStep(double stepSeconds) {
        clockStepCount++;
        lastClockStepSeconds = stepSeconds;
    }

    /** All that came during a stall has been read so long after its end. */
    public void recordCatchUp(double seconds) {
        longestCatchUpSeconds = Math.max(longestCatchUpSeconds, seconds);
    }

    public long stallCount() {
        return stallCount;
    }

    public long clockStepCount() {
        return clockStepCount;
    }

    public double longestStallSeconds() {
        return longestStallSeconds;
    }

    public double totalStallSeconds() {
        return totalStallSeconds;
    }

    public double lastStallSeconds() {
        return lastStallSeconds;
    }

    /** Unix time of the last stall's end; NaN before the first. */
    public double lastStallEndUnixSeconds() {
        return lastStallEndUnixSeconds;
    }

    public double lastClockStepSeconds() {
        return lastClockStepSeconds;
    }

    public double longestCatchUpSeconds() {
        return longestCatchUpSeconds;
    }
}
