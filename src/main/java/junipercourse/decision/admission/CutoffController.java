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
 * Sets the cutoffs of task assignment by guessing size (TAGS): first attempts are cancelled as
 * early as the back tier has capacity for their restarts.
 */
public final class CutoffController {
    private static final double UPDATE_INTERVAL_SECONDS = 1.0; // new samples arrive no faster
    private static final double MAX_BACK_TIER_UTILIZATION = 0.8; // the rest absorbs random bursts
    private static final double MAX_CUTOFF_MULTIPLE = 32; // times the lowest cutoff of a class
    private static final double CUTOFF_MULTIPLE_STEP = 1.2;
    private static final int MIN_SAMPLES = 3; // fleet-wide; fewer show no tail
    // Number of a class's own samples that weigh as much as the tail of the fleet.
    private static final double FLEET_TAIL_PRIOR_SAMPLES = 20;
    private static final double PROJECTION_DISCOUNT = 0.7; // progress reports are inexact

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

    /** Updates the cutoffs if an update is due, and returns true if it was. */
    public boolean updateIfDue(double now) {
        if (now < nextUpdateAt) {
            return false;
        }
        nextUpdateAt = now + UPDATE_INTERVAL_SECONDS;
        updateCutoffs(now);
        return true;
    }

    /**
     * Sets all cutoffs to the smallest multiple of their lowest values at which the restarts fit
     * the back tier.
     */
    private void updateCutoffs(double now) {
        gossip.expire(now);
        loadEstimator.refreshUsualLoad(now);
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
     * Returns the threads of the back tier that restarts occupy on average if cutoffs are set to a
     * multiple of their lowest values.
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
     * Returns the share of a class's attempts that run longer than a multiple of its lowest cutoff.
     * For a class with few samples, the latency distribution of all classes is mixed in, so that
     * its bad query plans are cancelled early too.
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

    /** Records the latency of an attempt as a multiple of the lowest cutoff of its class. */
    void recordLatency(ClassStatistics statistics, double latencyMultiple, boolean isCensored) {
        statistics.latencyTail().add(latencyMultiple, isCensored);
        fleetLatencyTail.add(latencyMultiple, isCensored);
    }

    /**
     * Returns true if an attempt has run past its cutoff, or its progress reports project that it
     * will. Returns false if its projected remaining time is shorter than the expected latency of a
     * restart.
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
                        >= latencyEstimator.cutoffSeconds(now, attempt.request());
    }
}
