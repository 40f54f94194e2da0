package junipercourse.decision.load;

import junipercourse.decision.api.DecisionSettings;
import junipercourse.decision.estimation.TrafficShareEstimator;
import junipercourse.decision.state.DispatchState;

/**
 * Exchanges the load that each dispatcher has in flight with all others, if messages can be sent
 * often enough within their budget.
 */
public final class PeerLoadGossip {
    // At most about the duration of a query.
    private static final double MIN_INTERVAL_SECONDS = 0.15;
    // Limits the messages sent to peers, in messages of full size.
    private static final double MAX_MESSAGES_PER_REQUEST = 0.3;
    // The load of a peer is dropped if it sends nothing for this time.
    private static final double REPORT_LIFETIME_SECONDS = 1.5;
    private static final double MIN_REQUEST_RATE = 1e-3;

    private final DispatchState state;
    private final TrafficShareEstimator traffic;
    private final PeerLoadTable peerLoads = new PeerLoadTable();
    private double nextBroadcastAt;

    /** Creates the gossip of one decision module. */
    public PeerLoadGossip(DispatchState state, TrafficShareEstimator traffic) {
        this.state = state;
        this.traffic = traffic;
    }

    /** Schedules the first broadcast at a random time. */
    public void start(double now) {
        nextBroadcastAt = now + MIN_INTERVAL_SECONDS * state.random().nextDouble();
    }

    /**
     * Returns true if gossip is allowed and its interval is short enough for reports not to expire.
     */
    public boolean isActive() {
        DecisionSettings settings = state.settings();
        return settings.limits().gossipAllowed()
                && settings.dispatcherCount() > 1
                && broadcastIntervalSeconds() <= REPORT_LIFETIME_SECONDS;
    }

    private double broadcastIntervalSeconds() {
        double messageShare =
                Math.min(1, state.engines().readyCount() / (double) PeerLoadCodec.MAX_ENGINES);
        double messagesPerSecond =
                MAX_MESSAGES_PER_REQUEST * Math.max(traffic.requestsPerSecond(), MIN_REQUEST_RATE);
        int peerCount = state.settings().dispatcherCount() - 1;
        return Math.max(MIN_INTERVAL_SECONDS, peerCount * messageShare / messagesPerSecond);
    }

    /** Broadcasts the load of this dispatcher if that is due. */
    public void broadcastIfDue(double now) {
        if (!isActive() || now < nextBroadcastAt) {
            return;
        }
        nextBroadcastAt = now + broadcastIntervalSeconds();
        state.actions().broadcastToPeers(PeerLoadCodec.encode(state.engines().all()));
    }

    /** Returns the time of the next broadcast. */
    public double nextBroadcastAt() {
        return nextBroadcastAt;
    }

    /** Replaces the load of a peer; returns false if the sender is not a peer. */
    public boolean receive(double now, int sender, byte[] payload) {
        DecisionSettings settings = state.settings();
        if (sender < 0
                || sender >= settings.dispatcherCount()
                || sender == settings.dispatcherIndex()) {
            return false;
        }
        peerLoads.put(sender, now, PeerLoadCodec.decode(payload, state.engines()));
        return true;
    }

    /** Removes the reports of peers that have sent nothing for too long. */
    public void expire(double now) {
        peerLoads.expire(now - REPORT_LIFETIME_SECONDS);
    }

    /** Returns the total threads that all peers have in flight. */
    public double peerThreads() {
        return peerLoads.totalThreads();
    }
}
