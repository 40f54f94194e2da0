package junipercourse.liveness;

/** Statistics of stalls and clock steps since the start, for operators. Times are seconds. */
public final class StallStatistics {
    private long stallCount;
    private long clockStepCount;
    private double longestStallSeconds;
    private double totalStallSeconds;
    private double lastStallSeconds;
    private double lastStallEndUnixSeconds = Double.NaN;
    private double lastClockStepSeconds;
    private double longestCatchUpSeconds;

    /** Records a stall that ended at the Unix time {@code endUnixSeconds}. */
    public void recordStall(StallDetector.Stall stall, double endUnixSeconds) {
        stallCount++;
        lastStallSeconds = stall.durationSeconds();
        longestStallSeconds = Math.max(longestStallSeconds, lastStallSeconds);
        totalStallSeconds += lastStallSeconds;
        lastStallEndUnixSeconds = endUnixSeconds;
    }

    /** Records a step of the wall clock. */
    public void recordClockStep(double stepSeconds) {
        clockStepCount++;
        lastClockStepSeconds = stepSeconds;
    }

    /**
     * Records how long after the end of a stall everything that arrived during it had been read.
     */
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

    /** Returns the Unix time of the last stall's end; NaN before the first stall. */
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
