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
 * The places that clients' connections hold: of sessions, and of those that we have ended and whose
 * clients have not. A place is given back in {@link #onConnectionClosing} alone, when its
 * descriptor is.
 */
final class ConnectionSlots {
    private static final int MAX_REJECTION_SLOTS =
            24; // places from which clients are only told that there is none
    private static final int REJECTION_SLOT_DIVISOR = 8; // of all places, where that is less
    private static final double FIRST_QUERY_GRACE_SECONDS =
            0.25; // a client that means to ask does so well within this
    private static final double IN_FLIGHT_GRACE_SECONDS =
            0.06; // a query that crosses a close within 50 ms comes again

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

    /** How many sessions there are. */
    int sessionCount() {
        return sessions.size();
    }

    Session findByProcessId(int processId) {
        return sessions.findByLowerBits(processId);
    }

    /** Whether all connections are closed. */
    boolean hasNoConnections() {
        return share.openCount() == 0;
    }

    /** Whether a client whose connection we have ended has not been sent all that it was to get. */
    boolean hasUnsentBytes() {
        return lingering.stream().anyMatch(LingeringClose::hasUnsentBytes);
    }

    /**
     * Makes room for one that comes, if that can be; false if it is only to be told that there is
     * none.
     */
    boolean ensureSlotAvailable() {
        while (sessions.size() >= maxConnections - rejectionSlots && evictSession()) {
            continue; // each round closes one, or finds that it has asked
        }
        return sessions.size() < maxConnections - rejectionSlots;
    }

    /** Takes one that has been accepted. */
    void add(Session session) {
        session.slot = sessions.add(session);
        share.acquireUnconditionally();
        freeRejectionSlots();
        updateBacklogged();
    }

    /**
     * Guards newcomers against those on their way out: the lobby's places are free of these. Were
     * all places taken, some might wait unaccepted, and when what they have sent has come could not
     * be told.
     */
    private void freeRejectionSlots() {
        while (share.openCount() > maxConnections - rejectionSlots && !lingering.isEmpty()) {
            lingering.peek().close();
        }
    }

    /**
     * While no more are accepted, others may have been there for long without being seen. The
     * acceptor counts a connection until its descriptor is closed.
     */
    private void updateBacklogged() {
        loop.setBacklogged(share.openCount() + share.closingCount() >= maxConnections);
    }

    /**
     * Guards the clients that ask against those that only hold connections: closes the one that has
     * been there for longest without ever asking, or else the one that has been idle for longest.
     * False if there is none whose time is up: a client that waits for its answer is never closed
     * for one that comes.
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

    /** The one place where a session's slot is given back. */
    void remove(Session session) {
        sessions.remove(session.slot);
    }

    /**
     * Ends a session's connection in order. As many as the lobby holds may be on their way out at
     * once.
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

    /** A connection's close is queued: the one place where its descriptor is given back. */
    void onConnectionClosing() {
        share.markClosing();
        loop.execute(
                () -> { // the close has been queued before; the acceptor looks only after that
                    share.markClosed();
                    updateBacklogged();
                });
    }
}
