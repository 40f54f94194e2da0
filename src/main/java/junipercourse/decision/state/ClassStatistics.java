package junipercourse.decision.state;

import junipercourse.decision.api.QueryClass;

/**
 * Statistics of a query class: its latency, its cutoff, and the share of its requests that are
 * started.
 */
public final class ClassStatistics {
    /** Number of latency samples kept: enough to resolve a tail of a few per cent. */
    public static final int LATENCY_SAMPLES = 200;

    // Above 1, since a spill costs more than unused memory.
    private static final double INITIAL_GRANT_RATIO = 1.2;

    private final QueryClass queryClass;
    private final KaplanMeierEstimator latencyTail = new KaplanMeierEstimator(LATENCY_SAMPLES);
    private final RunningMean logSlowdown = new RunningMean();
    private final RunningMean logUnloadedLatency = new RunningMean();
    private final RunningMean attemptLatency = new RunningMean();
    private final RunningMean restartLatency = new RunningMean();
    private final RunningMean work = new RunningMean();
    private double cutoff;
    private double arrivals;
    private double arrivalsWithinQuota;
    private double startedWithinQuota;
    private double logGrantRatio = Math.log(INITIAL_GRANT_RATIO);

    /** Creates statistics without samples; the initial cutoff is the deadline of the class. */
    public ClassStatistics(QueryClass queryClass) {
        this.queryClass = queryClass;
        this.cutoff = queryClass.deadlineSeconds();
    }

    /** Returns the query class. */
    public QueryClass queryClass() {
        return queryClass;
    }

    /** Returns the distribution of latencies, as multiples of the lowest cutoff. */
    public KaplanMeierEstimator latencyTail() {
        return latencyTail;
    }

    /**
     * Returns the mean logarithm of latency divided by {@link PendingRequest#unloadedLatency()}.
     */
    public RunningMean logSlowdown() {
        return logSlowdown;
    }

    /** Returns the mean logarithm of {@link PendingRequest#unloadedLatency()}. */
    public RunningMean logUnloadedLatency() {
        return logUnloadedLatency;
    }

    /** Returns the mean latency of attempts in seconds. */
    public RunningMean attemptLatency() {
        return attemptLatency;
    }

    /** Returns the mean latency of restarted attempts in seconds. */
    public RunningMean restartLatency() {
        return restartLatency;
    }

    /** Returns the mean estimated work of requests, in seconds of one thread. */
    public RunningMean work() {
        return work;
    }

    /**
     * Returns the seconds after which a first attempt of typical size is cancelled and restarted.
     */
    public double cutoff() {
        return cutoff;
    }

    /** Sets the cutoff in seconds. */
    public void setCutoff(double seconds) {
        cutoff = seconds;
    }

    /** Returns the number of recent arrivals, in which older ones have less weight. */
    public double arrivals() {
        return arrivals;
    }

    /** Returns the same count for the arrivals within the quota of their tenant. */
    public double arrivalsWithinQuota() {
        return arrivalsWithinQuota;
    }

    /** Returns the same count for the requests within quota whose first attempt was sent. */
    public double startedWithinQuota() {
        return startedWithinQuota;
    }

    /** Returns the logarithm of the ratio of memory grant to memory estimate. */
    public double logGrantRatio() {
        return logGrantRatio;
    }

    /** Counts an arrival. */
    public void recordArrival(boolean overQuota) {
        arrivals++;
        arrivalsWithinQuota += overQuota ? 0 : 1;
    }

    /** Counts the first attempt of a request within quota. */
    public void recordStart() {
        startedWithinQuota += 1;
    }

    /** Adds to the logarithm of the ratio of memory grant to memory estimate. */
    public void adjustGrantRatio(double logChange) {
        logGrantRatio += logChange;
    }

    /** Multiplies the counts of arrivals and started requests by a factor below 1. */
    public void decay(double factor) {
        arrivals *= factor;
        arrivalsWithinQuota *= factor;
        startedWithinQuota *= factor;
    }
}
