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
 * clients have not. A place is given back in {@link #closed} alone, when its descriptor is.
 */
final class ConnectionSlots {
    private static final int LOBBY_MOST =
            24; // places from which clients are only told that there is none
    private static final int LOBBY_PART = 8; // of all places, where that is less
    private static final double FRESH_S =
            0.25; // a client that means to ask does so well within this
    private static final double CROSSING_S =
            0.06; // a query that crosses a close within 50 ms comes again

    private final EventLoop loop;
    private final DescriptorBudget.Share share;
    private final int most;
    private final int lobby;
    private final SlotTable<Session> sessions = new SlotTable<>();
    private final ArrayDeque<LingeringClose> lingering = new ArrayDeque<>();

    ConnectionSlots(EventLoop loop, DescriptorBudget.Share share) {
        this.loop = loop;
        this.share = share;
        this.most = share.maxOpen();
        this.lobby = Math.max(1, Math.min(LOBBY_MOST, most / LOBBY_PART));
    }

    int most() {
        return most;
    }

    List<Session> sessions() {
        return sessions.all();
    }

    /** How many sessions there are. */
    int size() {
        return sessions.size();
    }

    Session find(int process) {
        return sessions.findByLowerBits(process);
    }

    /** Whether all connections are closed. */
    boolean empty() {
        return share.openCount() == 0;
    }

    /** Whether a client whose connection we have ended has not been sent all that it was to get. */
    boolean unsent() {
        return lingering.stream().anyMatch(LingeringClose::hasUnsentBytes);
    }

    /**
     * Makes room for one that comes, if that can be; false if it is only to be told that there is
     * none.
     */
    boolean room() {
        while (sessions.size() >= most - lobby && makeRoom()) {
            continue; // each round closes one, or finds that it has asked
        }
        return sessions.size() < most - lobby;
    }

    /** Takes one that has been accepted. */
    void take(Session session) {
        session.slot = sessions.add(session);
        share.acquireUnconditionally();
        giveWay();
        full();
    }

    /**
     * Guards newcomers against those on their way out: the lobby's places are free of these. Were
     * all places taken, some might wait unaccepted, and when what they have sent has come could not
     * be told.
     */
    private void giveWay() {
        while (share.openCount() > most - lobby && !lingering.isEmpty()) {
            lingering.peek().close();
        }
    }

    /**
     * While no more are accepted, others may have been there for long without being seen. The
     * acceptor counts a connection until its descriptor is closed.
     */
    private void full() {
        loop.setBacklogged(share.openCount() + share.closingCount() >= most);
    }

    /**
     * Guards the clients that ask against those that only hold connections: closes the one that has
     * been there for longest without ever asking, or else the one that has been idle for longest.
     * False if there is none whose time is up: a client that waits for its answer is never closed
     * for one that comes.
     */
    private boolean makeRoom() {
        double now = loop.responsiveSeconds();
        Session silent = longest(Session::silentSince);
        Session idle = longest(Session::idleSince);
        if (silent != null && silent.silentSince() < now - FRESH_S) {
            silent.poll();
            if (silent.silentSince() < now - FRESH_S) {
                silent.fatal("57P05", "closed without a query, to make room");
            }
            return true;
        }
        if (idle != null && idle.idleSince() < now - CROSSING_S) {
            idle.poll();
            if (idle.idleSince() < now - CROSSING_S) {
                idle.fatal("57P05", "closed after being idle, to make room");
            }
            return true;
        }
        return false;
    }

    private Session longest(ToDoubleFunction<Session> since) {
        return sessions.all().stream().min(Comparator.comparingDouble(since)).orElse(null);
    }

    /** The one place where a session's slot is given back. */
    void left(Session session) {
        sessions.remove(session.slot);
    }

    /**
     * Ends a session's connection in order. As many as the lobby holds may be on their way out at
     * once.
     */
    void linger(Connection link, byte[] goodbye) {
        lingering.add(
                link.closeLingering(
                        goodbye,
                        over -> {
                            lingering.remove(over);
                            closed();
                        }));
        if (lingering.size() > lobby) {
            lingering.peek().close();
        }
        giveWay();
    }

    /** A connection's close is queued: the one place where its descriptor is given back. */
    void closed() {
        share.markClosing();
        loop.execute(
                () -> { // the close has been queued before; the acceptor looks only after that
                    share.markClosed();
                    full();
                });
    }
}
