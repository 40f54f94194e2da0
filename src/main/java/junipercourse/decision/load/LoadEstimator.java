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
    private static final double INITIAL_USUAL_LOAD = 1; // threads per core: a start meets load
    private static final double USUAL_LOAD_WEIGHT = 0.1; // of a new report in the usual load
    private static final double PREVIOUS_REPORT_WEIGHT = 0.5; // of the last report beside a new one
    private static final double FULLY_BUSY_SHARE = 0.93; // reports lag: this may mean all cores

    private final DispatchState state;
    private final Estimators estimators;
    private final SlowStartController slowStart;
    private final PeerLoadGossip gossip;
    private final AggregateCapacity capacity;
    private double usualThreadsPerCore = INITIAL_USUAL_LOAD;

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

    /** Returns the threads per core that others usually have in flight. */
    public double usualThreadsPerCore() {
        return usualThreadsPerCore;
    }

    /** Takes the usual load from gossip, if that is active. */
    public void refreshUsualLoad() {
        if (gossip.isActive()) {
            usualThreadsPerCore = gossip.peerThreads() / Math.max(1, state.engines().totalCores());
        }
    }

    /**
     * Returns others' threads on an engine: by gossip or, fading with its age, by the last report.
     * If an engine has reported nothing since its start, the others know no more than we do: they
     * have as much there as we do, or all leave it idle.
     */
    public double externalThreads(double now, EngineState engine) {
        ExternalLoad external = engine.externalLoad();
        if (gossip.isActive()) {
            return external.peerThreads();
        }
        double usual = usualThreadsPerCore * engine.cores() * slowStart.capacityShare(now, engine);
        if (external.reportedAt() < engine.slowStart().startedAt()) {
            usual =
                    Math.min(
                            usual,
                            engine.inFlight().threads()
                                    * (1 / estimators.traffic().ownShare() - 1));
        }
        double weight = reportWeight(now, external);
        return weight * external.reportedThreads() + (1 - weight) * usual;
    }

    private static double reportWeight(double now, ExternalLoad external) {
        return Math.exp((external.reportedAt() - now) / DecisionDefaults.LOAD_REPORT_DECAY_SECONDS);
    }

    /**
     * Notes that an engine is full, such as one that rejects attempts or leaves probes unanswered.
     */
    public void recordFull(double now, EngineState engine) {
        recordExternalThreads(now, engine, DecisionDefaults.MAX_THREADS_PER_CORE * engine.cores());
    }

    private void recordExternalThreads(double now, EngineState engine, double threads) {
        ExternalLoad external = engine.externalLoad();
        double weight = PREVIOUS_REPORT_WEIGHT * reportWeight(now, external);
        external.recordReport(
                now, weight * external.reportedThreads() + (1 - weight) * Math.max(0, threads));
        usualThreadsPerCore +=
                USUAL_LOAD_WEIGHT
                        * (external.reportedThreads() / engine.cores() - usualThreadsPerCore);
    }

    /**
     * Takes over a load report: by the queries in flight if it names them, or else by the scarcest
     * of cores, disks and memory. A congested engine completes less and shows fewer busy cores the
     * more it has to do: if an answer was slow, or all cores are busy, others are assumed to have
     * as much there as we have on the average engine.
     *
     * @param slowedByCongestion whether the answer that carried the report was slow
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

    /** Threads per core of others, if each has as many as we do for its share of the traffic. */
    private double averageExternalThreadsPerCore() {
        return (1 / estimators.traffic().ownShare() - 1)
                * capacity.ownThreads()
                / Math.max(1, state.engines().totalCores());
    }
}
