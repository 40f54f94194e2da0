package junipercourse.liveness;

/**
 * Measures how long this process did not attend to its sockets, and how its wall clock moved
 * meanwhile.
 *
 * <p>The loop promises a turn at least every beat and reports each turn here. What passes beyond
 * the beat is a gap of our own: the process was stopped, its core was taken away, or one turn took
 * long. Times are seconds; {@code now} is monotonic and never steps, {@code wall} is the system's
 * Unix clock, which may.
 *
 * <p>{@link #responsiveSeconds} counts only the time in which the process could have read what
 * came. A silence that is measured with it never holds a gap of our own against the other side.
 */
public final class StallDetector {
    private final double beat;
    private final double stallLeast;
    private final double stepLeast;
    private double lastIterationTime;
    private double responsiveSeconds;
    private double offset;

    /**
     * A gap in which no turn was had.
     *
     * @param from the last turn before it, in the loop's time
     * @param to the first turn after it
     */
    public record Stall(double startTime, double endTime) {
        /** Its length in seconds. */
        public double durationSeconds() {
            return endTime - startTime;
        }
    }

    /**
     * @param beat the longest time between turns, in seconds, while nothing is wrong
     * @param stallLeast how much longer than the beat a gap must be to count as a stall
     * @param stepLeast by how much the wall clock must leave the monotonic one to count as a step
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
            throw new IllegalArgumentException("beat, stall and step are to be above 0");
        }
        this.beat = maxIterationGapSeconds;
        this.stallLeast = stallThresholdSeconds;
        this.stepLeast = stepThresholdSeconds;
        this.lastIterationTime = now;
        this.offset = wallClock - now;
    }

    /** Counts from now on; what has passed since the last turn is no gap. */
    public void restartMeasurement(double now) {
        lastIterationTime = now;
    }

    /**
     * A turn is had now. Returns the stall that has just ended, or null. A time that goes back
     * counts as none.
     */
    public Stall recordIteration(double now) {
        double gap = Math.max(0, now - lastIterationTime);
        double from = lastIterationTime;
        lastIterationTime = Math.max(now, lastIterationTime);
        responsiveSeconds += Math.min(gap, beat + stallLeast);
        return gap > beat + stallLeast ? new Stall(from, now) : null;
    }

    /** Seconds attended since the start, up to the last turn. */
    public double responsiveSeconds() {
        return responsiveSeconds;
    }

    /** The last turn, in the loop's time. */
    public double lastIterationTime() {
        return lastIterationTime;
    }

    /**
     * Compares the clocks. Returns the step that the wall clock has made against the monotonic one
     * since the last look, in seconds and signed, or 0 if it kept pace. A machine that was
     * suspended shows as a step forward, since its monotonic clock stood still.
     */
    public double detectClockStep(double now, double wallClock) {
        double moved = wallClock - now - offset;
        if (Math.abs(moved) < stepLeast) {
            return 0;
        }
        offset += moved;
        return moved;
    }

    /** Turns a Unix time that somebody else has told into the loop's time. */
    public double toLoopTime(double unixSeconds) {
        return unixSeconds - offset;
    }
}
