package junipercourse.decision.estimation;

import junipercourse.decision.state.Tier;

/**
 * Estimates by which factor congestion slows queries down: by Little's law, the thread seconds held
 * over the work completed, at all engines and in each tier. Unlike the mean latency of answers it
 * also counts attempts that are cancelled or hang, so that it rises as soon as engines are
 * overloaded.
 */
public final class CongestionEstimator {
    private final double decaySeconds;
    private final double priorWork;
    private final double priorFactor;
    private final TierSums front = new TierSums();
    private final TierSums back = new TierSums();
    private boolean hasSamples;
    private double updatedAt;

    /** Thread seconds held and work completed, in one tier. */
    private static final class TierSums {
        private double threadSeconds;
        private double work;

        private void decay(double factor) {
            threadSeconds *= factor;
            work *= factor;
        }
    }

    /**
     * Creates an estimator.
     *
     * @param decaySeconds time over which samples fade
     * @param priorWork seconds of work that always count as seen
     * @param priorFactor the slowdown factor of that work
     */
    public CongestionEstimator(double decaySeconds, double priorWork, double priorFactor) {
        this.decaySeconds = decaySeconds;
        this.priorWork = priorWork;
        this.priorFactor = priorFactor;
    }

    /**
     * Adds an attempt.
     *
     * @param threadSeconds threads that it held, times seconds
     * @param completedWork work that was answered, in seconds of one thread
     */
    public void addAttempt(double now, Tier tier, double threadSeconds, double completedWork) {
        double decayFactor = hasSamples ? Math.exp(Math.min(0, updatedAt - now) / decaySeconds) : 1;
        hasSamples = true;
        updatedAt = now;
        front.decay(decayFactor);
        back.decay(decayFactor);
        TierSums sums = sums(tier);
        sums.threadSeconds += threadSeconds;
        sums.work += completedWork;
    }

    private TierSums sums(Tier tier) {
        return tier == Tier.FRONT ? front : back;
    }

    /** Returns the factor at all engines: about 1 without congestion, 2 to 3 with much of it. */
    public double slowdownFactor() {
        return (front.threadSeconds + back.threadSeconds + priorWork * priorFactor)
                / (front.work + back.work + priorWork);
    }

    /** Returns the factor in one tier. */
    public double slowdownFactor(Tier tier) {
        TierSums sums = sums(tier);
        return (sums.threadSeconds + priorWork * priorFactor) / (sums.work + priorWork);
    }
}
