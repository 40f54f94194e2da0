package junipercourse.liveness;

/**
 * Detects stalls of the event loop and steps of the wall clock.
 *
 * <p>The loop iterates at least every {@code maxIterationGapSeconds} and reports each iteration
 * here. A longer gap is a stall of this process: it was stopped, it got no CPU, or one iteration
 * took long. Times are seconds; {@code now} is monotonic and never steps, {@code wallClock} is the
 * system's Unix clock, which may step.
 *
 * <p>{@link #responsiveSeconds} counts only the time in which the process could have read what
 * arrived. A timeout measured with it never counts a stall of this process as silence of the other
 * side.
 */
public final class StallDetector {
    private final double maxIterationGapSeconds;
    private final double stallThresholdSeconds;
    private final double stepThresholdSeconds;
    private double lastIterationTime;
    private double responsiveSeconds;
    private double wallClockOffset;

    /**
     * A period in which the loop did not iterate.
     *
     * @param startTime the last iteration before it, in loop time
     * @param endTime the first iteration after it
     */
    public record Stall(double startTime, double endTime) {
        public double durationSeconds() {
            return endTime - startTime;
        }
    }

    /**
     * @param maxIterationGapSeconds the longest regular time between iterations
     * @param stallThresholdSeconds how much longer than that a gap must be to count as a stall
     * @param stepThresholdSeconds by how much the wall clock must deviate from the monotonic clock
     *     to count as a step
     */
    public StallDetector(
            double maxIterationGapSeconds,
            double stallThresholdSeconds,
            double stepThresholdSeconds,
            double now,
            double wallClock) {
        if (!(maxIterationGapSeconds > 0)
                || !(stallThresholdSeconds > 0)
                || !(stepThresholdSeconds > 0)) {
            throw new IllegalArgumentException(
                    "iteration gap, stall threshold and step threshold must be above 0");
        }
        this.maxIterationGapSeconds = maxIterationGapSeconds;
        this.stallThresholdSeconds = stallThresholdSeconds;
        this.stepThresholdSeconds = stepThresholdSeconds;
        this.lastIterationTime = now;
        this.wallClockOffset = wallClock - now;
    }

    /** Restarts the measurement: the time since the last iteration does not count as a gap. */
    public void restartMeasurement(double now) {
        lastIterationTime = now;
    }

    /**
     * Records an iteration. Returns the stall that has just ended, or null. If {@code now} is
     * before the last iteration, the gap counts as 0.
     */
    public Stall recordIteration(double now) {
        double gapSeconds = Math.max(0, now - lastIterationTime);
        double previousIterationTime = lastIterationTime;
        lastIterationTime = Math.max(now, lastIterationTime);
        responsiveSeconds += Math.min(gapSeconds, maxIterationGapSeconds + stallThresholdSeconds);
        return gapSeconds > maxIterationGapSeconds + stallThresholdSeconds
                ? new Stall(previousIterationTime, now)
                : null;
    }

    /**
     * Returns the seconds since the start, up to the last iteration, in which the process was not
     * stalled.
     */
    public double responsiveSeconds() {
        return responsiveSeconds;
    }

    /** Returns the time of the last iteration, in loop time. */
    public double lastIterationTime() {
        return lastIterationTime;
    }

    /**
     * Compares the two clocks. Returns the signed step in seconds that the wall clock has made
     * against the monotonic clock since the last comparison, or 0 if there was none. The suspension
     * of a machine shows as a step forward, since its monotonic clock stood still.
     */
    public double detectClockStep(double now, double wallClock) {
        double stepSeconds = wallClock - now - wallClockOffset;
        if (Math.abs(stepSeconds) < stepThresholdSeconds) {
            return 0;
        }
        wallClockOffset += stepSeconds;
        return stepSeconds;
    }

    /** Converts a Unix time received from elsewhere into loop time. */
    public double toLoopTime(double unixSeconds) {
        return unixSeconds - wallClockOffset;
    }
}
