package junipercourse.decision.admission;

import junipercourse.decision.api.Idempotency;
import junipercourse.decision.estimation.Estimators;
import junipercourse.decision.estimation.LatencyEstimator;
import junipercourse.decision.load.LoadEstimator;
import junipercourse.decision.load.PeerLoadGossip;
import junipercourse.decision.state.Attempt;
import junipercourse.decision.state.ClassStatistics;
import junipercourse.decision.state.DecisionDefaults;
import junipercourse.decision.state.DispatchState;
import junipercourse.decision.state.KaplanMeierEstimator;
import junipercourse.decision.state.RunningMean;

/**
 * The cutoffs of the TAGS design: first attempts are cancelled as early as the back tier can bear,
 * so that their restarts fill it.
 */
public final class CutoffController {
    private static final double UPDATE_SECONDS = 1.0; // answers do not come in faster
    private static final double BACK_TIER_FILL = 0.8; // of its cores; the rest is for chance
    private static final double MAX_MULTIPLE = 32; // of the lowest cutoffs
    private static final double MULTIPLE_STEP = 1.2;
    private static final int MIN_SAMPLES = 3; // of any class; fewer show no tail
    private static final double FLEET_TAIL_WEIGHT = 20; // samples that weigh like the class's own
    private static final double PROJECTION_TRUST = 0.7; // progress reports are rough

    private final DispatchState state;
    private final Estimators estimators;
    private final LoadEstimator load;
    private final PeerLoadGossip gossip;
    private final KaplanMeierEstimator fleetTail =
            new KaplanMeierEstimator(ClassStatistics.LATENCY_SAMPLES);
    private double nextUpdateAt;

    CutoffController(
            DispatchState state, Estimators estimators, LoadEstimator load, PeerLoadGossip gossip) {
        this.state = state;
        this.estimators = estimators;
        this.load = load;
        this.gossip = gossip;
    }

    /** Updates the cutoffs if that is due; returns whether it was. */
    public boolean updateIfDue(double now) {
        if (now < nextUpdateAt) {
            return false;
        }
        nextUpdateAt = now + UPDATE_SECONDS;
        update(now);
        return true;
    }

    /** Chooses the smallest multiple of the lowest cutoffs whose restarts fit the back tier. */
    private void update(double now) {
        gossip.expire(now);
        load.refreshUsualLoad();
        double capacity =
                state.engines().backCores() * estimators.traffic().ownShare() * BACK_TIER_FILL;
        double observedSeconds = estimators.traffic().observedSeconds(now);
        double multiple = 1;
        while (multiple < MAX_MULTIPLE && restartWork(multiple, observedSeconds) > capacity) {
            multiple *= MULTIPLE_STEP;
        }
        for (ClassStatistics statistics : state.classes()) {
            statistics.setCutoff(cutoff(statistics, multiple));
            statistics.decay(1 - UPDATE_SECONDS / DecisionDefaults.TRAFFIC_AVERAGING_SECONDS);
        }
    }

    private double cutoff(ClassStatistics statistics, double multiple) {
        double deadline = statistics.queryClass().deadlineSeconds();
        return fleetTail.size() < MIN_SAMPLES
                ? deadline
                : Math.min(
                        deadline,
                        LatencyEstimator.lowestCutoff(statistics.queryClass()) * multiple);
    }

    /**
     * Returns the work a second, in threads, that restarts at a multiple bring to the back tier.
     */
    private double restartWork(double multiple, double observedSeconds) {
        double sum = 0;
        for (ClassStatistics statistics : state.classes()) {
            RunningMean restartLatency =
                    statistics.restartLatency().isKnown()
                            ? statistics.restartLatency()
                            : statistics.attemptLatency();
            boolean restartable =
                    statistics.queryClass().idempotency() != Idempotency.NOT_IDEMPOTENT;
            if (restartable && restartLatency.isKnown()) {
                sum +=
                        statistics.arrivals()
                                / observedSeconds
                                * statistics.queryClass().threads()
                                * shareBeyondCutoff(statistics, multiple)
                                * restartLatency.value();
            }
        }
        return sum;
    }

    /**
     * Returns the share of a class that outlives a multiple of its lowest cutoff. A class with few
     * samples borrows the tail of all classes, so that its bad plans are cancelled early as well.
     */
    private double shareBeyondCutoff(ClassStatistics statistics, double multiple) {
        double lowest = LatencyEstimator.lowestCutoff(statistics.queryClass());
        double at = Math.min(multiple, statistics.queryClass().deadlineSeconds() / lowest);
        KaplanMeierEstimator ownTail = statistics.latencyTail();
        double trust = ownTail.size() / (ownTail.size() + FLEET_TAIL_WEIGHT);
        return trust * ownTail.survival(at) + (1 - trust) * fleetTail.survival(at);
    }

    /** Adds the latency of an attempt, as a multiple of the lowest cutoff of its class. */
    void recordLatency(ClassStatistics statistics, double multiple, boolean censored) {
        statistics.latencyTail().add(multiple, censored);
        fleetTail.add(multiple, censored);
    }

    /**
     * Returns true if an attempt has passed its cutoff, or is projected to by its progress; never
     * if it is nearly done.
     */
    public boolean exceedsCutoff(double now, Attempt attempt) {
        LatencyEstimator latency = estimators.latency();
        double age = now - attempt.sentAt();
        double projected = attempt.projectedLatency();
        boolean nearlyDone =
                projected > 0 && projected - age < latency.expectedLatency(attempt.request());
        return !nearlyDone
                && Math.max(age, projected * PROJECTION_TRUST)
                        >= latency.cutoffSeconds(attempt.request());
    }
}
