package junipercourse.decision.load;

import junipercourse.decision.api.DecisionSettings;
import junipercourse.decision.estimation.TrafficShareEstimator;
import junipercourse.decision.state.DispatchState;

/** Exchanges with all other dispatchers what each has in flight, if that is cheap enough. */
public final class PeerLoadGossip {
    private static final double MIN_INTERVAL_SECONDS = 0.15; // about the time of a query or less
    private static final double MAX_MESSAGES_PER_REQUEST = 0.3; // full messages delivered
    private static final double REPORT_LIFETIME_SECONDS = 1.5; // a silent peer counts no longer
    private static final double MIN_REQUEST_RATE = 1e-3;

    private final DispatchState state;
    private final TrafficShareEstimator traffic;
    private final PeerLoadTable peers = new PeerLoadTable();
    private double nextBroadcastAt;

    /** Creates the gossip of one module. */
    public PeerLoadGossip(DispatchState state, TrafficShareEstimator traffic) {
        this.state = state;
        this.traffic = traffic;
    }

    /** Schedules the first broadcast at a random time. */
    public void start(double now) {
        nextBroadcastAt = now + MIN_INTERVAL_SECONDS * state.random().nextDouble();
    }

    /** Returns true if dispatchers may gossip and can do so often enough. */
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

    /** Broadcasts this dispatcher's load if that is due. */
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

    /** Takes over a peer's load; returns false if the sender is not a peer. */
    public boolean receive(double now, int sender, byte[] payload) {
        DecisionSettings settings = state.settings();
        if (sender < 0
                || sender >= settings.dispatcherCount()
                || sender == settings.dispatcherIndex()) {
            return false;
        }
        peers.put(sender, now, PeerLoadCodec.decode(payload, state.engines()));
        return true;
    }

    /** Drops the reports of peers that have fallen silent. */
    public void expire(double now) {
        peers.expire(now - REPORT_LIFETIME_SECONDS);
    }

    /** Returns the threads that all peers have in flight. */
    public double peerThreads() {
        return peers.totalThreads();
    }
}
