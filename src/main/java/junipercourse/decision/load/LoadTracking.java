package junipercourse.decision.load;

import junipercourse.decision.constraints.SlowStartController;
import junipercourse.decision.estimation.Estimators;
import junipercourse.decision.state.DispatchState;

/**
 * The components that track the load of engines.
 *
 * @param gossip exchange of load between dispatchers
 * @param capacity threads of this dispatcher and available cores, summed over all engines
 * @param estimator load that other dispatchers place on each engine
 * @param prober load probes
 */
public record LoadTracking(
        PeerLoadGossip gossip,
        AggregateCapacity capacity,
        LoadEstimator estimator,
        LoadProber prober) {

    /** Creates the components of one decision module. */
    public static LoadTracking create(
            DispatchState state, Estimators estimators, SlowStartController slowStart) {
        PeerLoadGossip gossip = new PeerLoadGossip(state, estimators.traffic());
        AggregateCapacity capacity = new AggregateCapacity();
        return new LoadTracking(
                gossip,
                capacity,
                new LoadEstimator(state, estimators, slowStart, gossip, capacity),
                new LoadProber(state, gossip));
    }
}
