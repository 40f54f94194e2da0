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
    private static final double UPDATE_INTERVAL_SECONDS = 1.0; // answers do not come in faster
    private static final double MAX_BACK_TIER_UTILIZATION =
            0.8; // of its cores; the rest is for chance
    private static final double MAX_CUTOFF_MULTIPLE = 32; // of the lowest cutoffs
    private static final double CUTOFF_MULTIPLE_STEP = 1.2;
    private static final int MIN_SAMPLES = 3; // of any class; fewer show no tail
    private static final double FLEET_TAIL_PRIOR_SAMPLES =
            20; // samples that weigh like the class's own
    private static final double PROJECTION_DISCOUNT = 0.7; // progress reports are rough

    private final DispatchState state;
    private final Estimators estimators;
    private final LoadEstimator loadEstimator;
    private final PeerLoadGossip gossip;
    private final KaplanMeierEstimator fleetLatencyTail =
            new KaplanMeierEstimator(ClassStatistics.LATENCY_SAMPLES);
    private double nextUpdateAt;

    CutoffController(
            DispatchState state,
            Estimators estimators,
            LoadEstimator loadEstimator,
            PeerLoadGossip gossip) {
        this.state = state;
        this.estimators = estimators;
        this.loadEstimator = loadEstimator;
        this.gossip = gossip;
    }

    /** Updates the cutoffs if that is due; returns whether it was. */
    public boolean updateIfDue(double now) {
        if (now < nextUpdateAt) {
            return false;
        }
        nextUpdateAt = now + UPDATE_INTERVAL_SECONDS;
        updateCutoffs(now);
        return true;
    }

    /** Chooses the smallest multiple of the lowest cutoffs whose restarts fit the back tier. */
    private void updateCutoffs(double now) {
        gossip.expire(now);
        loadEstimator.refreshUsualLoad();
        double usableThreads =
                state.engines().backCores()
                        * estimators.traffic().ownShare()
                        * MAX_BACK_TIER_UTILIZATION;
        double observedSeconds = estimators.traffic().observedSeconds(now);
        double cutoffMultiple = 1;
        while (cutoffMultiple < MAX_CUTOFF_MULTIPLE
                && restartThreads(cutoffMultiple, observedSeconds) > usableThreads) {
            cutoffMultiple *= CUTOFF_MULTIPLE_STEP;
        }
        for (ClassStatistics statistics : state.classes()) {
            statistics.setCutoff(computeCutoff(statistics, cutoffMultiple));
            statistics.decay(
                    1 - UPDATE_INTERVAL_SECONDS / DecisionDefaults.TRAFFIC_AVERAGING_SECONDS);
        }
    }

    private double computeCutoff(ClassStatistics statistics, double cutoffMultiple) {
        double deadlineSeconds = statistics.queryClass().deadlineSeconds();
        return fleetLatencyTail.size() < MIN_SAMPLES
                ? deadlineSeconds
                : Math.min(
                        deadlineSeconds,
                        LatencyEstimator.lowestCutoff(statistics.queryClass()) * cutoffMultiple);
    }

    /**
     * Returns the work a second, in threads, that restarts at a multiple bring to the back tier.
     */
    private double restartThreads(double cutoffMultiple, double observedSeconds) {
        double totalThreads = 0;
        for (ClassStatistics statistics : state.classes()) {
            RunningMean restartLatency =
                    statistics.restartLatency().isKnown()
                            ? statistics.restartLatency()
                            : statistics.attemptLatency();
            boolean isRestartable =
                    statistics.queryClass().idempotency() != Idempotency.NOT_IDEMPOTENT;
            if (isRestartable && restartLatency.isKnown()) {
                totalThreads +=
                        statistics.arrivals()
                                / observedSeconds
                                * statistics.queryClass().threads()
                                * shareBeyondCutoff(statistics, cutoffMultiple)
                                * restartLatency.value();
            }
        }
        return totalThreads;
    }

    /**
     * Returns the share of a class that outlives a multiple of its lowest cutoff. A class with few
     * samples borrows the tail of all classes, so that its bad plans are cancelled early as well.
     */
    private double shareBeyondCutoff(ClassStatistics statistics, double cutoffMultiple) {
        double lowestCutoff = LatencyEstimator.lowestCutoff(statistics.queryClass());
        double boundedMultiple =
                Math.min(cutoffMultiple, statistics.queryClass().deadlineSeconds() / lowestCutoff);
        KaplanMeierEstimator ownTail = statistics.latencyTail();
        double ownTailWeight = ownTail.size() / (ownTail.size() + FLEET_TAIL_PRIOR_SAMPLES);
        return ownTailWeight * ownTail.survival(boundedMultiple)
                + (1 - ownTailWeight) * fleetLatencyTail.survival(boundedMultiple);
    }

    /** Adds the latency of an attempt, as a multiple of the lowest cutoff of its class. */
    void recordLatency(ClassStatistics statistics, double latencyMultiple, boolean isCensored) {
        statistics.latencyTail().add(latencyMultiple, isCensored);
        fleetLatencyTail.add(latencyMultiple, isCensored);
    }

    /**
     * Returns true if an attempt has passed its cutoff, or is projected to by its progress; never
     * if it is nearly done.
     */
    public boolean exceedsCutoff(double now, Attempt attempt) {
        LatencyEstimator latencyEstimator = estimators.latency();
        double ageSeconds = now - attempt.sentAt();
        double projectedSeconds = attempt.projectedLatency();
        boolean isNearlyDone =
                projectedSeconds > 0
                        && projectedSeconds - ageSeconds
                                < latencyEstimator.expectedLatency(attempt.request());
        return !isNearlyDone
                && Math.max(ageSeconds, projectedSeconds * PROJECTION_DISCOUNT)
                        >= latencyEstimator.cutoffSeconds(attempt.request());
    }
}
