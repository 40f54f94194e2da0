package junipercourse.decision.load;

import junipercourse.decision.constraints.SlowStartController;
import junipercourse.decision.estimation.Estimators;
import junipercourse.decision.state.DispatchState;

/**
 * The parts that track the load of engines.
 *
 * @param gossip load that peers report
 * @param capacity own threads and warm cores at all engines
 * @param estimator load of others at each engine
 * @param prober probes for load
 */
public record LoadTracking(
        PeerLoadGossip gossip,
        AggregateCapacity capacity,
        LoadEstimator estimator,
        LoadProber prober) {

    /** Creates the parts of one module. */
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
