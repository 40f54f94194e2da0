package junipercourse.pg;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.List;
import java.util.function.ToDoubleFunction;
import junipercourse.core.SlotTable;
import junipercourse.net.Connection;
import junipercourse.net.DescriptorBudget;
import junipercourse.net.EventLoop;
import junipercourse.net.LingeringClose;

/**
 * The slots of client connections: of sessions, and of connections that this side has shut down and
 * whose clients have not closed yet. A slot is released only in {@link #onConnectionClosing},
 * together with its descriptor.
 */
final class ConnectionSlots {
    private static final int MAX_REJECTION_SLOTS = 24; // slots that only send a rejection
    private static final int REJECTION_SLOT_DIVISOR = 8; // at most an eighth of all slots
    private static final double FIRST_QUERY_GRACE_SECONDS =
            0.25; // active clients send their first query well within this
    private static final double IN_FLIGHT_GRACE_SECONDS =
            0.06; // clients resend a query that crossed a close within 50 ms

    private final EventLoop loop;
    private final DescriptorBudget.Share share;
    private final int maxConnections;
    private final int rejectionSlots;
    private final SlotTable<Session> sessions = new SlotTable<>();
    private final ArrayDeque<LingeringClose> lingering = new ArrayDeque<>();

    ConnectionSlots(EventLoop loop, DescriptorBudget.Share share) {
        this.loop = loop;
        this.share = share;
        this.maxConnections = share.maxOpen();
        this.rejectionSlots =
                Math.max(1, Math.min(MAX_REJECTION_SLOTS, maxConnections / REJECTION_SLOT_DIVISOR));
    }

    int maxConnections() {
        return maxConnections;
    }

    List<Session> sessions() {
        return sessions.all();
    }

    /** Returns the number of sessions. */
    int sessionCount() {
        return sessions.size();
    }

    Session findByProcessId(int processId) {
        return sessions.findByLowerBits(processId);
    }

    /** Returns whether all connections are closed. */
    boolean hasNoConnections() {
        return share.openCount() == 0;
    }

    /** Returns whether a lingering connection has bytes left that were not sent to its client. */
    boolean hasUnsentBytes() {
        return lingering.stream().anyMatch(LingeringClose::hasUnsentBytes);
    }

    /**
     * Evicts sessions until a slot for a new session is free. Returns false if none can be freed
     * and the client must be rejected.
     */
    boolean ensureSlotAvailable() {
        while (sessions.size() >= maxConnections - rejectionSlots && evictSession()) {
            continue; // each call closes a session or finds that it has sent a query
        }
        return sessions.size() < maxConnections - rejectionSlots;
    }

    /** Adds the session of an accepted connection. */
    void add(Session session) {
        session.slot = sessions.add(session);
        share.acquireUnconditionally();
        freeRejectionSlots();
        updateBacklogged();
    }

    /**
     * Closes lingering connections that occupy rejection slots, so that new connections can be
     * accepted. If all slots were taken, connections might wait unaccepted, and the arrival time of
     * what their clients sent would be unknown.
     */
    private void freeRejectionSlots() {
        while (share.openCount() > maxConnections - rejectionSlots && !lingering.isEmpty()) {
            lingering.peek().close();
        }
    }

    /**
     * Reports whether the acceptor has reached its limit: connections may then wait unaccepted for
     * a long time. The acceptor counts a connection until its descriptor is closed.
     */
    private void updateBacklogged() {
        loop.setBacklogged(share.openCount() + share.closingCount() >= maxConnections);
    }

    /**
     * Closes the session that has been connected for the longest time without any query, or else
     * the one that has been idle for the longest time, so that clients that only hold connections
     * do not keep out clients with queries. Returns false if no session is past its grace time. A
     * session with an open query is never closed for a new connection.
     */
    private boolean evictSession() {
        double now = loop.responsiveSeconds();
        Session unusedSession = findEarliest(Session::unusedSince);
        Session idleSession = findEarliest(Session::idleSince);
        if (unusedSession != null
                && unusedSession.unusedSince() < now - FIRST_QUERY_GRACE_SECONDS) {
            unusedSession.readPending();
            if (unusedSession.unusedSince() < now - FIRST_QUERY_GRACE_SECONDS) {
                unusedSession.closeWithError("57P05", "closed without a query, to make room");
            }
            return true;
        }
        if (idleSession != null && idleSession.idleSince() < now - IN_FLIGHT_GRACE_SECONDS) {
            idleSession.readPending();
            if (idleSession.idleSince() < now - IN_FLIGHT_GRACE_SECONDS) {
                idleSession.closeWithError("57P05", "closed after being idle, to make room");
            }
            return true;
        }
        return false;
    }

    private Session findEarliest(ToDoubleFunction<Session> startSeconds) {
        return sessions.all().stream().min(Comparator.comparingDouble(startSeconds)).orElse(null);
    }

    /** Removes a closed session. A session leaves the table only here. */
    void remove(Session session) {
        sessions.remove(session.slot);
    }

    /**
     * Closes a session's connection in an orderly way. At most as many connections as there are
     * rejection slots may linger at once.
     */
    void closeLingering(Connection connection, byte[] finalMessage) {
        lingering.add(
                connection.closeLingering(
                        finalMessage,
                        closed -> {
                            lingering.remove(closed);
                            onConnectionClosing();
                        }));
        if (lingering.size() > rejectionSlots) {
            lingering.peek().close();
        }
        freeRejectionSlots();
    }

    /** Releases the descriptor of a connection whose close is queued. Nothing else releases it. */
    void onConnectionClosing() {
        share.markClosing();
        loop.execute(
                () -> { // runs after the queued close, before the acceptor's next check
                    share.markClosed();
                    updateBacklogged();
                });
    }
}
