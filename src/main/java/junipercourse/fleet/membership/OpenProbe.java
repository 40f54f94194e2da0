package junipercourse.fleet.membership;

/** A probe by the local member that has not been acknowledged yet. */
final class OpenProbe {
    final PeerState peer;
    final long incarnation;
    final double sentAt;

    /** Whether indirect probes of the peer have been requested from other members. */
    boolean isIndirect;

    OpenProbe(PeerState peer, double sentAt) {
        this.peer = peer;
        this.incarnation = peer.record.incarnation();
        this.sentAt = sentAt;
    }
}
