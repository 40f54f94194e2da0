package junipercourse.fleet.membership;

/**
 * Receives the output of the membership protocol. Called within the protocol's methods, which it
 * must not call in turn.
 */
public interface MembershipListener {
    /** Sends one datagram. Datagrams may be lost: the protocol repeats what matters. */
    void send(String address, GossipMessage message);

    /** Handles a change of the membership; each snapshot replaces the earlier ones. */
    void membershipChanged(MembershipSnapshot snapshot);

    /** Logs a line for operators; there are at most a few for each change. */
    void log(String message);
}
