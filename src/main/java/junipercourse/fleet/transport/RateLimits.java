package junipercourse.fleet.transport;

/**
 * Limits of the transport.
 *
 * @param peerBytesPerSecond maximum bytes per second sent to one address
 * @param totalBytesPerSecond maximum bytes per second sent in total
 * @param peerDatagramsPerSecond maximum datagrams per second received from one address
 * @param totalDatagramsPerSecond maximum datagrams per second received in total
 * @param ringCapacity capacity of each ring in messages; further messages are dropped
 */
public record RateLimits(
        double peerBytesPerSecond,
        double totalBytesPerSecond,
        double peerDatagramsPerSecond,
        double totalDatagramsPerSecond,
        int ringCapacity) {}
