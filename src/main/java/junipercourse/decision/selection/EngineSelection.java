package junipercourse.decision.selection;

import junipercourse.decision.constraints.SendConstraints;
import junipercourse.decision.estimation.Estimators;
import junipercourse.decision.load.LoadTracking;
import junipercourse.decision.state.DispatchState;

/**
 * The components that select engines and send attempts.
 *
 * @param sampler samples candidates
 * @param grants sizes memory grants
 * @param capacity checks the capacity of engines
 * @param selector selects an engine
 * @param launcher sends an attempt
 */
public record EngineSelection(
        CandidateSampler sampler,
        MemoryGrants grants,
        EngineCapacity capacity,
        EngineSelector selector,
        AttemptLauncher launcher) {

    /** Creates the components of one decision module. */
    public static EngineSelection create(
            DispatchState state,
            Estimators estimators,
            SendConstraints constraints,
            LoadTracking loadTracking) {
        CandidateSampler sampler = new CandidateSampler(state);
        MemoryGrants grants = new MemoryGrants(state.settings());
        EngineCapacity capacity =
                new EngineCapacity(
                        estimators,
                        constraints.slowStart(),
                        loadTracking.estimator(),
                        loadTracking.gossip(),
                        grants);
        FairShareLimiter fairShare =
                new FairShareLimiter(
                        estimators,
                        loadTracking.estimator(),
                        loadTracking.gossip(),
                        loadTracking.capacity());
        return new EngineSelection(
                sampler,
                grants,
                capacity,
                new EngineSelector(
                        state,
                        constraints,
                        estimators.congestion(),
                        loadTracking.gossip(),
                        sampler,
                        capacity,
                        fairShare),
                new AttemptLauncher(
                        state, estimators.latency(), constraints, grants, loadTracking.capacity()));
    }
}
