package junipercourse.decision.state;

/**
 * Constants shared by several components of the decision module. They do not depend on the
 * deployment.
 */
public final class DecisionDefaults {
    /**
     * Seconds before the deadline at which a request gets its final answer, since sending that
     * takes an event loop iteration.
     */
    public static final double ANSWER_LEAD_SECONDS = 0.04;

    /** Seconds between evaluations of a waiting request, well below any latency objective. */
    public static final double RETRY_INTERVAL_SECONDS = 0.05;

    /**
     * Seconds between evaluations of a running attempt, since cutoffs change more slowly than this.
     */
    public static final double SUPERVISION_INTERVAL_SECONDS = 0.5;

    /** Shortest delay of a timer, in seconds. */
    public static final double TIMER_RESOLUTION_SECONDS = 0.001;

    /**
     * Limit of threads in flight per core, over all dispatchers; engines slow down above such a
     * limit.
     */
    public static final double MAX_THREADS_PER_CORE = 1.65;

    /**
     * Factor by which a restarted attempt may exceed that limit, since its first attempt has
     * already used capacity.
     */
    public static final double RESTART_CAPACITY_FACTOR = 1.2;

    /**
     * Front tier engines considered for a request: a few candidates give most of the benefit of
     * comparing all.
     */
    public static final int FRONT_CANDIDATES = 6;

    /** Back tier engines considered for a first attempt. */
    public static final int BACK_CANDIDATES = 2;

    /** Weight of a new sample in running means. */
    public static final double SAMPLE_WEIGHT = 0.08;

    /**
     * Maximum ratio of actual to expected latency that a single sample contributes, since it may
     * come from a bad query plan.
     */
    public static final double MAX_LATENCY_RATIO = 4;

    /** Seconds over which the traffic is averaged. */
    public static final double TRAFFIC_AVERAGING_SECONDS = 30;

    /**
     * Time constant in seconds with which the estimate decays from a load report to the usual load.
     */
    public static final double LOAD_REPORT_DECAY_SECONDS = 1.0;

    /**
     * Time constant in seconds with which an estimate that keeps attempts back returns to its
     * initial value while no new sample comes.
     */
    public static final double EVIDENCE_DECAY_SECONDS = 3.0;

    /** Slowdown factor above which engines count as congested. */
    public static final double CONGESTED_SLOWDOWN = 1.7;

    /**
     * Slowdown factor that is assumed before the first attempt ends; cutoffs are extended above it.
     */
    public static final double BASELINE_SLOWDOWN = 1.5;

    /**
     * Seconds until the first probation of an ejected engine, and minimum seconds until a failed
     * subscription to the endpoint list is repeated.
     */
    public static final double INITIAL_BACKOFF_SECONDS = 1.0;

    /** Maximum seconds until the next probation, so that the recovery of an engine is detected. */
    public static final double MAX_BACKOFF_SECONDS = 8.0;

    private DecisionDefaults() {}
}
