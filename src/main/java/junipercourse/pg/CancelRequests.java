package junipercourse.pg;

import java.util.function.Consumer;
import junipercourse.core.Counters;
import junipercourse.core.Counters.Count;

/** Handles the CancelRequests of clients, each of which comes over a connection of its own. */
public final class CancelRequests {
    private final ConnectionSlots connectionSlots;
    private final Counters counters;
    private Consumer<CancelKey> forwarder = key -> {}; // the key of a closed session

    CancelRequests(ConnectionSlots connectionSlots, Counters counters) {
        this.connectionSlots = connectionSlots;
        this.counters = counters;
    }

    /** Sets what receives the keys that no session of this process has. */
    public void setForwarder(Consumer<CancelKey> unknownKeyForwarder) {
        forwarder = unknownKeyForwarder;
    }

    /** Handles a client's request, or passes it on if no session here has its key. */
    void handle(CancelKey key) {
        counters.increment(Count.CLIENTS_CANCELLED);
        if (!cancelSession(key)) {
            forwarder.accept(key);
        }
    }

    /**
     * Cancels the query of a session. Returns false if no session here has the key: both the
     * process id and the secret must match.
     */
    public boolean cancelSession(CancelKey key) {
        Session session = connectionSlots.findByProcessId(key.processId());
        if (session == null || session.secret != key.secret()) {
            return false;
        }
        session.readPending(); // after a stall, the query to cancel may still be unread
        session.cancelQuery();
        return true;
    }
}
