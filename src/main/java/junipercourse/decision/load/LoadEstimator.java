package junipercourse.decision.load;

import java.util.List;
import junipercourse.decision.api.LoadMetric;
import junipercourse.decision.constraints.SlowStartController;
import junipercourse.decision.estimation.Estimators;
import junipercourse.decision.state.DecisionDefaults;
import junipercourse.decision.state.DispatchState;
import junipercourse.decision.state.EngineState;
import junipercourse.decision.state.ExternalLoad;

/** Estimates the threads that other dispatchers have in flight at each engine. */
public final class LoadEstimator {
    // Threads per core assumed before the first report: a dispatcher usually starts under load.
    private static final double INITIAL_USUAL_LOAD = 1;
    // Weight of a new report in the usual load.
    private static final double USUAL_LOAD_WEIGHT = 0.1;
    // Weight of the previous report against a new one, if it is recent.
    private static final double PREVIOUS_REPORT_WEIGHT = 0.5;
    // Busy share from which all cores may be busy, since reports lag.
    private static final double FULLY_BUSY_SHARE = 0.93;

    private final DispatchState state;
    private final Estimators estimators;
    private final SlowStartController slowStart;
    private final PeerLoadGossip gossip;
    private final AggregateCapacity capacity;
    private double usualThreadsPerCore = INITIAL_USUAL_LOAD;
    private double usualLoadUpdatedAt;

    /** Creates an estimator without reports. */
    public LoadEstimator(
            DispatchState state,
            Estimators estimators,
            SlowStartController slowStart,
            PeerLoadGossip gossip,
            AggregateCapacity capacity) {
        this.state = state;
        this.estimators = estimators;
        this.slowStart = slowStart;
        this.gossip = gossip;
        this.capacity = capacity;
    }

    /**
     * Returns the threads per core that other dispatchers usually have in flight. A value above the
     * initial one returns to it without further reports: it may keep this dispatcher from sending
     * the attempts whose answers would contain them.
     */
    public double usualThreadsPerCore(double now) {
        double excess = Math.max(0, usualThreadsPerCore - INITIAL_USUAL_LOAD);
        double decayFactor =
                Math.exp(
                        Math.min(0, usualLoadUpdatedAt - now)
                                / DecisionDefaults.EVIDENCE_DECAY_SECONDS);
        return usualThreadsPerCore - excess * (1 - decayFactor);
    }

    /** Updates the usual load from gossip, if gossip is active. */
    public void refreshUsualLoad(double now) {
        if (gossip.isActive()) {
            usualLoadUpdatedAt = now;
            usualThreadsPerCore = gossip.peerThreads() / Math.max(1, state.engines().totalCores());
        }
    }

    /**
     * Returns the threads of other dispatchers on an engine: according to gossip, or else a mean of
     * the last load report and the usual load, in which the weight of the report decays with its
     * age. If an engine has sent no report since its start, other dispatchers know no more about it
     * than this one does. They are then assumed to have at most as many threads there as this one,
     * in proportion to their traffic; otherwise all dispatchers would leave the engine idle.
     */
    public double externalThreads(double now, EngineState engine) {
        ExternalLoad external = engine.externalLoad();
        if (gossip.isActive()) {
            return external.peerThreads();
        }
        double usualThreads =
                usualThreadsPerCore(now) * engine.cores() * slowStart.capacityShare(now, engine);
        if (external.reportedAt() < engine.slowStart().startedAt()) {
            usualThreads =
                    Math.min(
                            usualThreads,
                            engine.inFlight().threads()
                                    * (1 / estimators.traffic().ownShare() - 1));
        }
        double weight = reportWeight(now, external);
        return weight * external.reportedThreads() + (1 - weight) * usualThreads;
    }

    private static double reportWeight(double now, ExternalLoad external) {
        return Math.exp((external.reportedAt() - now) / DecisionDefaults.LOAD_REPORT_DECAY_SECONDS);
    }

    /**
     * Records that an engine is at its limit, for example because it rejected an attempt or did not
     * answer a load probe.
     */
    public void recordFull(double now, EngineState engine) {
        recordExternalThreads(now, engine, DecisionDefaults.MAX_THREADS_PER_CORE * engine.cores());
    }

    private void recordExternalThreads(double now, EngineState engine, double threads) {
        ExternalLoad external = engine.externalLoad();
        double weight = PREVIOUS_REPORT_WEIGHT * reportWeight(now, external);
        external.recordReport(
                now, weight * external.reportedThreads() + (1 - weight) * Math.max(0, threads));
        double previous = usualThreadsPerCore(now);
        usualThreadsPerCore =
                previous
                        + USUAL_LOAD_WEIGHT
                                * (external.reportedThreads() / engine.cores() - previous);
        usualLoadUpdatedAt = now;
    }

    /**
     * Updates the estimate from a load report. The report's number of queries in flight is used if
     * it contains one, otherwise the highest utilization of cores, disks and memory. An engine that
     * is congested completes less and reports fewer busy cores as its load grows. Therefore, if the
     * answer was slow or all cores are busy, other dispatchers are assumed to have at least as many
     * threads there, in proportion to their traffic, as this one has on an average engine.
     *
     * @param slowedByCongestion whether the answer with this report was slowed by congestion
     */
    public void recordReport(
            double now, EngineState engine, float[] report, boolean slowedByCongestion) {
        double threads = Double.NEGATIVE_INFINITY;
        boolean hasEstimate = false;
        List<LoadMetric> metrics = state.settings().loadMetrics();
        boolean reportsInFlight = metrics.contains(LoadMetric.IN_FLIGHT);
        for (int index = 0; index < Math.min(report.length, metrics.size()); index++) {
            LoadMetric metric = metrics.get(index);
            if (metric == LoadMetric.IN_FLIGHT || isUtilization(metric) && !reportsInFlight) {
                double estimate =
                        externalThreads(engine, metric, report[index], slowedByCongestion);
                if (!Double.isNaN(estimate)) {
                    threads = Math.max(threads, estimate);
                    hasEstimate = true;
                }
            }
        }
        if (hasEstimate) {
            recordExternalThreads(now, engine, threads);
        }
    }

    private static boolean isUtilization(LoadMetric metric) {
        return switch (metric) {
            case BUSY, MEMORY_GRANTED, DISKS_BUSY -> true;
            default -> false;
        };
    }

    private double externalThreads(
            EngineState engine, LoadMetric metric, float value, boolean slowedByCongestion) {
        return switch (metric) {
            case IN_FLIGHT ->
                    (value - engine.inFlight().attemptCount())
                            * estimators.workload().threadsPerQuery();
            case BUSY -> externalThreadsFromBusyCores(engine, value, slowedByCongestion);
            default ->
                    value * DecisionDefaults.MAX_THREADS_PER_CORE * engine.cores()
                            - engine.inFlight().threads();
        };
    }

    private double externalThreadsFromBusyCores(
            EngineState engine, double busyShare, boolean slowedByCongestion) {
        double threads = busyShare * engine.cores() - engine.inFlight().threads();
        return slowedByCongestion || busyShare >= FULLY_BUSY_SHARE
                ? Math.max(threads, averageExternalThreadsPerCore() * engine.cores())
                : threads;
    }

    /**
     * Returns the threads per core of other dispatchers, if their load is in proportion to their
     * traffic.
     */
    private double averageExternalThreadsPerCore() {
        return (1 / estimators.traffic().ownShare() - 1)
                * capacity.ownThreads()
                / Math.max(1, state.engines().totalCores());
    }
}
