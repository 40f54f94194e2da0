package junipercourse.decision.state;

import junipercourse.decision.api.QueryClass;

/** What is known of a query class: its latency, its cutoff, and how much of its traffic started. */
public final class ClassStatistics {
    /** Samples kept: enough to see a tail of a few per cent. */
    public static final int LATENCY_SAMPLES = 200;

    private static final double INITIAL_GRANT_RATIO = 1.2; // a spill costs more than spare memory

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

    /** Creates the statistics of a class without traffic; its cutoff is its deadline. */
    public ClassStatistics(QueryClass queryClass) {
        this.queryClass = queryClass;
        this.cutoff = queryClass.deadlineSeconds();
    }

    /** Returns the class. */
    public QueryClass queryClass() {
        return queryClass;
    }

    /** Returns the distribution of latencies, as multiples of the lowest cutoff. */
    public KaplanMeierEstimator latencyTail() {
        return latencyTail;
    }

    /** Returns the logarithm of latency over {@link PendingRequest#unloadedLatency()}. */
    public RunningMean logSlowdown() {
        return logSlowdown;
    }

    /** Returns the logarithm of {@link PendingRequest#unloadedLatency()}. */
    public RunningMean logUnloadedLatency() {
        return logUnloadedLatency;
    }

    /** Returns the latency of attempts in seconds. */
    public RunningMean attemptLatency() {
        return attemptLatency;
    }

    /** Returns the latency of restarted attempts in seconds. */
    public RunningMean restartLatency() {
        return restartLatency;
    }

    /** Returns the estimated work of requests, in seconds of one thread. */
    public RunningMean work() {
        return work;
    }

    /** Returns the seconds after which a usual first attempt is cancelled and restarted. */
    public double cutoff() {
        return cutoff;
    }

    /** Sets the cutoff in seconds. */
    public void setCutoff(double seconds) {
        cutoff = seconds;
    }

    /** Returns recent arrivals; older ones count for less. */
    public double arrivals() {
        return arrivals;
    }

    /** Returns recent arrivals of tenants within their quota. */
    public double arrivalsWithinQuota() {
        return arrivalsWithinQuota;
    }

    /** Returns how many of {@link #arrivalsWithinQuota()} have started. */
    public double startedWithinQuota() {
        return startedWithinQuota;
    }

    /** Returns the logarithm of the memory grant over the estimate. */
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

    /** Changes the logarithm of the memory grant over the estimate. */
    public void adjustGrantRatio(double logChange) {
        logGrantRatio += logChange;
    }

    /** Reduces the counts of earlier traffic to a share of what they were. */
    public void decay(double factor) {
        arrivals *= factor;
        arrivalsWithinQuota *= factor;
        startedWithinQuota *= factor;
    }
}
