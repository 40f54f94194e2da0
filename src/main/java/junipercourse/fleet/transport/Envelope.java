package junipercourse.fleet.transport;

import junipercourse.fleet.membership.GossipMessage;

/**
 * A message with the address that it came from or goes to.
 *
 * @param address {@code host:port}
 * @param message the message
 */
public record Envelope(String address, GossipMessage message) {}
