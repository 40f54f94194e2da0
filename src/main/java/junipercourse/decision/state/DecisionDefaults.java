package junipercourse.decision.state;

/** Constants that several parts of the decision module share. None is fitted to a deployment. */
public final class DecisionDefaults {
    /** Seconds before a deadline at which a request is answered: the answer itself needs a turn. */
    public static final double ANSWER_LEAD_SECONDS = 0.04;

    /** Seconds between evaluations of a waiting request; well under any latency objective. */
    public static final double RETRY_INTERVAL_SECONDS = 0.05;

    /** Seconds between evaluations of a running attempt; cutoffs change more slowly. */
    public static final double SUPERVISION_INTERVAL_SECONDS = 0.5;

    /** The shortest timer, in seconds. */
    public static final double TIMER_RESOLUTION_SECONDS = 0.001;

    /** Threads per core that may be in flight in all; engines slow down beyond some such bound. */
    public static final double MAX_THREADS_PER_CORE = 1.65;

    /** Factor by which a restarted attempt may pass that bound: its work was paid for once. */
    public static final double RESTART_CAPACITY_FACTOR = 1.2;

    /** Front engines considered for a request: a few give most of the choice. */
    public static final int FRONT_CANDIDATES = 6;

    /** Back engines considered for a first attempt. */
    public static final int BACK_CANDIDATES = 2;

    /** Weight of a new sample in running means. */
    public static final double SAMPLE_WEIGHT = 0.08;

    /** Largest ratio of latency to expectation that one sample may show: it may be a bad plan. */
    public static final double MAX_LATENCY_RATIO = 4;

    /** Seconds over which the usual traffic is averaged. */
    public static final double TRAFFIC_AVERAGING_SECONDS = 30;

    /** Seconds in which a load report fades to the usual load. */
    public static final double LOAD_REPORT_DECAY_SECONDS = 1.0;

    /** Slowdown factor from which engines count as congested. */
    public static final double CONGESTED_SLOWDOWN = 1.7;

    /** Slowdown factor that is assumed before any attempt has ended. */
    public static final double BASELINE_SLOWDOWN = 1.5;

    /** Seconds before the first probation of an ejected engine, and between list polls. */
    public static final double INITIAL_BACKOFF_SECONDS = 1.0;

    /** Longest pause before a probation: an engine's return must be noticed. */
    public static final double MAX_BACKOFF_SECONDS = 8.0;

    private DecisionDefaults() {}
}
