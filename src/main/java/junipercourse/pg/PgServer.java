package junipercourse.pg;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.SplittableRandom;
import junipercourse.core.Counters;
import junipercourse.core.Counters.Count;
import junipercourse.core.Gateway;
import junipercourse.core.StatusTables;
import junipercourse.decision.api.DecisionSettings;
import junipercourse.net.DescriptorBudget;
import junipercourse.net.EventLoop;
import org.xnio.StreamConnection;
import org.xnio.channels.AcceptingChannel;

/** The front for clients that speak the PostgreSQL wire protocol. */
public final class PgServer {
    private static final double SESSION_CHECK_INTERVAL_SECONDS =
            0.1; // between looks for clients that have had their time
    private static final double MAX_IDLE_SECONDS =
            8.0; // clients close what is idle for half as long
    private static final double MAX_IDLE_WHEN_CROWDED_SECONDS =
            0.5; // while clients have opened about all that they may
    private static final double MAX_IDLE_WITH_SIBLING_SECONDS =
            0.25; // while another process shares what clients may open
    private static final double IN_FLIGHT_GRACE_SECONDS =
            0.06; // a query that crosses a close within 50 ms comes again

    static final String SHUTTING_DOWN = "the dispatcher is shutting down";

    private final EventLoop loop;
    private final Gateway gateway;
    private final Counters counters;
    private final QueryFieldParser fieldParser;
    private final SplittableRandom random;
    private final double maxRetryAfterSeconds;
    private final ConnectionSlots connectionSlots;
    private final StatusTables statusTables;
    private AcceptingChannel<StreamConnection> listener;
    private boolean sharesSocket;
    private boolean siblingRunning;
    private Runnable idleCallback;
    private boolean isShuttingDown;
    private final long maxBufferedBytes;
    private long bufferedBytes;

    /**
     * @param share how many clients may be connected; the last few only to be told that there is no
     *     place
     * @param mostInput bounds the bytes that all clients together may have sent of unfinished
     *     messages
     * @param shows what operators may ask for on any session
     */
    public PgServer(
            EventLoop loop,
            DecisionSettings settings,
            Gateway gateway,
            DescriptorBudget.Share share,
            long maxBufferedBytes,
            long seed,
            Counters counters,
            StatusTables statusTables) {
        this.loop = loop;
        this.gateway = gateway;
        this.counters = counters;
        this.fieldParser = new QueryFieldParser(settings);
        this.connectionSlots = new ConnectionSlots(loop, share);
        this.statusTables = statusTables;
        this.maxRetryAfterSeconds =
                settings.limits().retryAfterAllowed()
                        ? settings.limits().maxRetryAfterSeconds()
                        : 0;
        this.maxBufferedBytes = maxBufferedBytes;
        this.random = new SplittableRandom(seed);
    }

    public void listen(InetSocketAddress address) throws IOException {
        listener = loop.listen(address, connectionSlots.maxConnections(), this::onAccepted);
        loop.scheduleAfter(SESSION_CHECK_INTERVAL_SECONDS, this::checkSessions);
    }

    /** Listens on a socket that others accept from, too. */
    public void listen(ServerSocketChannel sharedSocket) throws IOException {
        listener = loop.listen(sharedSocket, connectionSlots.maxConnections(), this::onAccepted);
        sharesSocket = true;
        loop.scheduleAfter(SESSION_CHECK_INTERVAL_SECONDS, this::checkSessions);
    }

    /**
     * Another process runs beside this one: clients hold at most a third of all descriptors with
     * both, and connections that rest here keep queries out there.
     */
    public void setSiblingRunning(boolean running) {
        siblingRunning = running;
    }

    /** Whether a client whose session has ended has not been sent all that it was to get. */
    public boolean hasUnsentBytes() {
        return connectionSlots.hasUnsentBytes();
    }

    /** Whether all connections of clients are closed. */
    public boolean hasNoConnections() {
        return connectionSlots.hasNoConnections();
    }

    /** Whether other processes accept from the same socket. */
    public boolean sharesSocket() {
        return sharesSocket;
    }

    /**
     * Leaves all newcomers to the other processes that accept from the socket: what waits in the
     * kernel's queue is theirs, what was accepted is ours. Clients of ours that rest are sent to
     * them, those that have not asked yet get their time to.
     *
     * @param empty runs once no client is left, which takes as long as their queries do
     */
    public void stopAccepting(Runnable onIdle) {
        listener.suspendAccepts();
        idleCallback = onIdle;
    }

    /**
     * One look at all sessions in place of a deadline for each, which would keep those that have
     * left.
     */
    private void checkSessions() {
        if (idleCallback != null && connectionSlots.sessionCount() == 0) {
            idleCallback.run();
            return;
        }
        loop.scheduleAfter(
                SESSION_CHECK_INTERVAL_SECONDS,
                this::checkSessions); // first of all, so that no fault in this look makes it
        // the last
        double now = loop.responsiveSeconds();
        for (Session session : connectionSlots.sessions()) {
            // Guards clients, which open no more than a third of the descriptors, against running
            // out of
            // connections because some hold theirs for good: what is idle gives way in time.
            boolean crowded = connectionSlots.sessionCount() > connectionSlots.maxConnections() / 2;
            session.closeIfExpired(
                    now,
                    idleCallback != null
                            ? IN_FLIGHT_GRACE_SECONDS
                            : siblingRunning
                                    ? MAX_IDLE_WITH_SIBLING_SECONDS
                                    : crowded ? MAX_IDLE_WHEN_CROWDED_SECONDS : MAX_IDLE_SECONDS);
        }
    }

    public InetSocketAddress address() {
        return listener.getLocalAddress(InetSocketAddress.class);
    }

    private void onAccepted(StreamConnection connection) {
        Session session = new Session(connection, this, random.nextInt());
        if (connectionSlots.ensureSlotAvailable()) {
            counters.increment(Count.CLIENTS_ACCEPTED);
        } else {
            session.rejectAfterStartup();
        }
        connectionSlots.add(session);
    }

    /**
     * From now on queries are refused. The task runs once all that have connected are sessions of
     * ours.
     */
    public void beginShutdown(Runnable onAllAccepted) {
        isShuttingDown = true;
        if (sharesSocket) { // see InheritedSocket: that one is not closed
            onAllAccepted.run();
        } else { // whoever the system has let in would be reset by the close
            loop.drainAndClose(listener, onAllAccepted);
        }
    }

    /**
     * Ends all sessions in order; a query that lies unread on one is refused before, after {@link
     * #end}.
     */
    public void closeSessions() {
        for (Session session : connectionSlots.sessions()) {
            session.readPending();
            session.closeWithError("57P03", SHUTTING_DOWN);
        }
    }

    boolean isShuttingDown() {
        return isShuttingDown;
    }

    /** What a refusal of this front's adds on when to come back. */
    String holdoffSuffix() {
        return maxRetryAfterSeconds > 0
                ? "; holdoff=" + Math.round(maxRetryAfterSeconds * 1000)
                : "";
    }

    /** A CancelRequest: the session's number and its secret must both be right. */
    void cancel(int processId, int secret) {
        counters.increment(Count.CLIENTS_CANCELLED);
        Session session = connectionSlots.findByProcessId(processId);
        if (session != null && session.secret == secret) {
            session.readPending(); // after a pause of ours, the query that it is for may lie there
            // unread
            session.cancelQuery();
        }
    }

    /** Counts what a session holds of its client's bytes; false if all hold too much by now. */
    boolean addBufferedBytes(int delta) {
        bufferedBytes += delta;
        return bufferedBytes <= maxBufferedBytes;
    }

    ConnectionSlots connectionSlots() {
        return connectionSlots;
    }

    StatusTables statusTables() {
        return statusTables;
    }

    EventLoop loop() {
        return loop;
    }

    Gateway gateway() {
        return gateway;
    }

    Counters counters() {
        return counters;
    }

    QueryFieldParser fieldParser() {
        return fieldParser;
    }
}
