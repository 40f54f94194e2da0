package junipercourse.pg;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import junipercourse.core.Counters;
import junipercourse.core.Counters.Count;
import junipercourse.core.Gateway;
import junipercourse.core.StatusTables;
import junipercourse.decision.api.DecisionSettings;
import junipercourse.net.DescriptorBudget;
import junipercourse.net.EventLoop;
import org.xnio.StreamConnection;
import org.xnio.channels.AcceptingChannel;

/** Serves clients that speak the PostgreSQL wire protocol. */
public final class PgServer {
    private static final double SESSION_CHECK_INTERVAL_SECONDS = 0.1;
    private static final double MAX_IDLE_SECONDS =
            8.0; // clients close connections that are idle for 4 s
    private static final double MAX_IDLE_WHEN_CROWDED_SECONDS =
            0.5; // over half of the slots are used: clients have few left to open
    private static final double MAX_IDLE_WITH_SIBLING_SECONDS =
            0.25; // a sibling process shares the descriptors for clients
    private static final double IN_FLIGHT_GRACE_SECONDS =
            0.06; // clients resend a query that crossed a close within 50 ms

    static final String SHUTTING_DOWN = "the dispatcher is shutting down";

    private final EventLoop loop;
    private final Gateway gateway;
    private final Counters counters;
    private final QueryFieldParser fieldParser;
    private final SessionSecrets sessionSecrets = new SessionSecrets();
    private final double maxRetryAfterSeconds;
    private final ConnectionSlots connectionSlots;
    private final CancelRequests cancelRequests;
    private final StatusTables statusTables;
    private final InputScheduler inputScheduler;
    private final UnprocessedInput unprocessedInput = new UnprocessedInput();
    private AcceptingChannel<StreamConnection> listener;
    private boolean sharesSocket;
    private boolean siblingRunning;
    private Runnable idleCallback;
    private boolean isShuttingDown;
    private final long maxBufferedBytes;
    private long bufferedBytes;

    /**
     * Creates a server that does not listen yet.
     *
     * @param share the number of clients that may be connected; the last slots only reject clients
     * @param maxBufferedBytes maximum bytes of incomplete messages held for all clients together
     * @param statusTables the tables that operators query with {@code SHOW} on any session
     */
    public PgServer(
            EventLoop loop,
            DecisionSettings settings,
            Gateway gateway,
            DescriptorBudget.Share share,
            long maxBufferedBytes,
            Counters counters,
            StatusTables statusTables) {
        this.loop = loop;
        this.gateway = gateway;
        this.counters = counters;
        this.fieldParser = new QueryFieldParser(settings);
        this.connectionSlots = new ConnectionSlots(loop, share);
        this.cancelRequests = new CancelRequests(connectionSlots, counters);
        this.inputScheduler = new InputScheduler(loop);
        this.statusTables = statusTables;
        this.maxRetryAfterSeconds =
                settings.limits().retryAfterAllowed()
                        ? settings.limits().maxRetryAfterSeconds()
                        : 0;
        this.maxBufferedBytes = maxBufferedBytes;
        gateway.setUnprocessedSince(unprocessedInput::oldestArrival);
    }

    /** Opens the listening socket and starts the periodic check of sessions. */
    public void listen(InetSocketAddress address) throws IOException {
        listener = loop.listen(address, connectionSlots.maxConnections(), this::onAccepted);
        loop.scheduleAfter(SESSION_CHECK_INTERVAL_SECONDS, this::checkSessions);
    }

    /** Listens on a socket from which other processes accept as well. */
    public void listen(ServerSocketChannel sharedSocket) throws IOException {
        listener = loop.listen(sharedSocket, connectionSlots.maxConnections(), this::onAccepted);
        sharesSocket = true;
        loop.scheduleAfter(SESSION_CHECK_INTERVAL_SECONDS, this::checkSessions);
    }

    /**
     * Sets whether a sibling process runs. Clients hold at most a third of all descriptors with
     * both processes together, so idle connections here prevent queries there.
     */
    public void setSiblingRunning(boolean running) {
        siblingRunning = running;
    }

    /** Returns whether a closed session has bytes left that were not sent to its client. */
    public boolean hasUnsentBytes() {
        return connectionSlots.hasUnsentBytes();
    }

    /** Returns whether all client connections are closed. */
    public boolean hasNoConnections() {
        return connectionSlots.hasNoConnections();
    }

    /** Returns whether other processes accept from the same listening socket. */
    public boolean sharesSocket() {
        return sharesSocket;
    }

    /**
     * Stops accepting and leaves the kernel's accept queue to the other processes on this socket.
     * Connections accepted before stay here. Idle ones are closed so that their clients reconnect
     * to the other processes; those without a first query keep their time for it.
     *
     * @param onIdle runs once no session is left, which takes as long as their queries do
     */
    public void stopAccepting(Runnable onIdle) {
        listener.suspendAccepts();
        idleCallback = onIdle;
    }

    /**
     * Checks the timeouts of all sessions. A timer for each session would keep closed sessions
     * reachable until it fires.
     */
    private void checkSessions() {
        if (idleCallback != null && connectionSlots.sessionCount() == 0) {
            idleCallback.run();
            return;
        }
        loop.scheduleAfter(
                SESSION_CHECK_INTERVAL_SECONDS,
                this::checkSessions); // first, so that an exception below does not end the checks
        double now = loop.responsiveSeconds();
        for (Session session : connectionSlots.sessions()) {
            // Clients open at most a third of the descriptors. Closing idle sessions early keeps
            // clients that hold their connections from using all of them.
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

    /** Returns the local address of the listening socket. */
    public InetSocketAddress address() {
        return listener.getLocalAddress(InetSocketAddress.class);
    }

    private void onAccepted(StreamConnection connection) {
        Session session = new Session(connection, this, sessionSecrets.next());
        if (connectionSlots.ensureSlotAvailable()) {
            counters.increment(Count.CLIENTS_ACCEPTED);
        } else {
            session.rejectAfterStartup();
        }
        connectionSlots.add(session);
    }

    /**
     * Starts to reject new queries. The task runs once all connections that are waiting on the
     * listening socket have been accepted.
     */
    public void beginShutdown(Runnable onAllAccepted) {
        isShuttingDown = true;
        if (sharesSocket) { // an inherited socket stays open, see InheritedSocket
            onAllAccepted.run();
        } else { // closing would reset connections that are not accepted yet
            loop.drainAndClose(listener, onAllAccepted);
        }
    }

    /**
     * Closes all sessions with an orderly close. Unread queries are read first and rejected, if
     * {@link #beginShutdown} was called before.
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

    /** Returns the suffix of a rejection that tells the client when to reconnect, or "". */
    String holdoffSuffix() {
        return maxRetryAfterSeconds > 0
                ? "; holdoff=" + Math.round(maxRetryAfterSeconds * 1000)
                : "";
    }

    /** Returns what handles the CancelRequests of clients. */
    public CancelRequests cancelRequests() {
        return cancelRequests;
    }

    /** Adds to the bytes held for all sessions. Returns false if they exceed the limit. */
    boolean addBufferedBytes(int delta) {
        bufferedBytes += delta;
        return bufferedBytes <= maxBufferedBytes;
    }

    ConnectionSlots connectionSlots() {
        return connectionSlots;
    }

    InputScheduler inputScheduler() {
        return inputScheduler;
    }

    UnprocessedInput unprocessedInput() {
        return unprocessedInput;
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
