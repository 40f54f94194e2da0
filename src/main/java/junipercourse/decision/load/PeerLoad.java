package junipercourse.decision.load;

/**
 * The load that a peer places on one engine, as the peer reports it.
 *
 * @param threads threads of the peer's attempts in flight
 * @param memoryMb memory granted to these attempts, in MB
 */
record PeerLoad(double threads, double memoryMb) {}
