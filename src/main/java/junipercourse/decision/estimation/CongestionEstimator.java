package junipercourse.decision.estimation;

import junipercourse.decision.state.Tier;

/**
 * Estimates the factor by which congestion slows queries down, for all engines and for each tier.
 * By Little's law, it is the ratio of thread seconds in use to work completed. Unlike the mean
 * latency of answers, this ratio includes attempts that are cancelled or hang, so that it rises as
 * soon as engines are overloaded. Without further attempts it returns to the prior, since only new
 * attempts could show that congestion has ended.
 */
public final class CongestionEstimator {
    private final double decaySeconds;
    private final double priorWork;
    private final double priorFactor;
    private final TierSums frontSums = new TierSums();
    private final TierSums backSums = new TierSums();
    private double updatedAt;

    /** Thread seconds used and work completed in one tier. */
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
     * @param decaySeconds time constant with which samples decay
     * @param priorWork work of the prior, which never decays, in seconds of one thread
     * @param priorFactor slowdown factor of the prior
     */
    public CongestionEstimator(double decaySeconds, double priorWork, double priorFactor) {
        this.decaySeconds = decaySeconds;
        this.priorWork = priorWork;
        this.priorFactor = priorFactor;
    }

    /**
     * Adds an attempt.
     *
     * @param threadSeconds threads that it used, multiplied by its duration in seconds
     * @param completedWork work that it completed, in seconds of one thread; 0 without an answer
     */
    public void addAttempt(double now, Tier tier, double threadSeconds, double completedWork) {
        assert Double.isFinite(threadSeconds) && Double.isFinite(completedWork);
        double decayFactor = decayFactor(now);
        updatedAt = now;
        frontSums.decay(decayFactor);
        backSums.decay(decayFactor);
        TierSums sums = sums(tier);
        sums.threadSeconds += threadSeconds;
        sums.work += completedWork;
    }

    /** Returns the weight at a time of the samples as of the last update. */
    private double decayFactor(double now) {
        return Math.exp(Math.min(0, updatedAt - now) / decaySeconds);
    }

    private TierSums sums(Tier tier) {
        return tier == Tier.FRONT ? frontSums : backSums;
    }

    /**
     * Returns the slowdown factor of all engines: about 1 without congestion, 2 to 3 with heavy
     * congestion.
     */
    public double slowdownFactor(double now) {
        return slowdownFactor(
                now,
                frontSums.threadSeconds + backSums.threadSeconds,
                frontSums.work + backSums.work);
    }

    /** Returns the slowdown factor of one tier. */
    public double slowdownFactor(double now, Tier tier) {
        TierSums sums = sums(tier);
        return slowdownFactor(now, sums.threadSeconds, sums.work);
    }

    private double slowdownFactor(double now, double threadSeconds, double work) {
        double decayFactor = decayFactor(now);
        return (threadSeconds * decayFactor + priorWork * priorFactor)
                / (work * decayFactor + priorWork);
    }
}
