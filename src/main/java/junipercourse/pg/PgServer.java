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
    private static final double LOOK_S = 0.1; // between looks for clients that have had their time
    private static final double IDLE_MOST_S = 8.0; // clients close what is idle for half as long
    private static final double IDLE_CROWDED_S =
            0.5; // while clients have opened about all that they may
    private static final double IDLE_BESIDE_S =
            0.25; // while another process shares what clients may open
    private static final double CROSSING_S =
            0.06; // a query that crosses a close within 50 ms comes again

    static final String SHUTTING_DOWN = "the dispatcher is shutting down";

    private final EventLoop loop;
    private final Gateway gateway;
    private final Counters counters;
    private final QueryFieldParser reader;
    private final SplittableRandom random;
    private final double maxRetryAfter;
    private final ConnectionSlots places;
    private final StatusTables shows;
    private AcceptingChannel<StreamConnection> server;
    private boolean sharesSocket;
    private boolean setSiblingRunning;
    private Runnable whenEmpty;
    private boolean ending;
    private final long mostInput;
    private long input;

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
            long mostInput,
            long seed,
            Counters counters,
            StatusTables shows) {
        this.loop = loop;
        this.gateway = gateway;
        this.counters = counters;
        this.reader = new QueryFieldParser(settings);
        this.places = new ConnectionSlots(loop, share);
        this.shows = shows;
        this.maxRetryAfter =
                settings.limits().retryAfterAllowed()
                        ? settings.limits().maxRetryAfterSeconds()
                        : 0;
        this.mostInput = mostInput;
        this.random = new SplittableRandom(seed);
    }

    public void listen(InetSocketAddress address) throws IOException {
        server = loop.listen(address, places.most(), this::accepted);
        loop.scheduleAfter(LOOK_S, this::lookAround);
    }

    /** Listens on a socket that others accept from, too. */
    public void listen(ServerSocketChannel shared) throws IOException {
        server = loop.listen(shared, places.most(), this::accepted);
        sharesSocket = true;
        loop.scheduleAfter(LOOK_S, this::lookAround);
    }

    /**
     * Another process runs beside this one: clients hold at most a third of all descriptors with
     * both, and connections that rest here keep queries out there.
     */
    public void setSiblingRunning(boolean another) {
        setSiblingRunning = another;
    }

    /** Whether a client whose session has ended has not been sent all that it was to get. */
    public boolean hasUnsentBytes() {
        return places.unsent();
    }

    /** Whether all connections of clients are closed. */
    public boolean hasNoConnections() {
        return places.empty();
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
    public void stopAccepting(Runnable empty) {
        server.suspendAccepts();
        whenEmpty = empty;
    }

    /**
     * One look at all sessions in place of a deadline for each, which would keep those that have
     * left.
     */
    private void lookAround() {
        if (whenEmpty != null && places.size() == 0) {
            whenEmpty.run();
            return;
        }
        loop.scheduleAfter(
                LOOK_S,
                this::lookAround); // first of all, so that no fault in this look makes it the last
        double now = loop.responsiveSeconds();
        for (Session s : places.sessions()) {
            // Guards clients, which open no more than a third of the descriptors, against running
            // out of
            // connections because some hold theirs for good: what is idle gives way in time.
            boolean crowded = places.size() > places.most() / 2;
            s.expire(
                    now,
                    whenEmpty != null
                            ? CROSSING_S
                            : setSiblingRunning
                                    ? IDLE_BESIDE_S
                                    : crowded ? IDLE_CROWDED_S : IDLE_MOST_S);
        }
    }

    public InetSocketAddress address() {
        return server.getLocalAddress(InetSocketAddress.class);
    }

    private void accepted(StreamConnection connection) {
        Session session = new Session(connection, this, random.nextInt());
        if (places.room()) {
            counters.increment(Count.CLIENTS_ACCEPTED);
        } else {
            session.toLobby();
        }
        places.take(session);
    }

    /**
     * From now on queries are refused. The task runs once all that have connected are sessions of
     * ours.
     */
    public void beginShutdown(Runnable handedOver) {
        ending = true;
        if (sharesSocket) { // see InheritedSocket: that one is not closed
            handedOver.run();
        } else { // whoever the system has let in would be reset by the close
            loop.drainAndClose(server, handedOver);
        }
    }

    /**
     * Ends all sessions in order; a query that lies unread on one is refused before, after {@link
     * #end}.
     */
    public void closeSessions() {
        for (Session s : places.sessions()) {
            s.poll();
            s.fatal("57P03", SHUTTING_DOWN);
        }
    }

    boolean ending() {
        return ending;
    }

    /** What a refusal of this front's adds on when to come back. */
    String comeBack() {
        return maxRetryAfter > 0 ? "; holdoff=" + Math.round(maxRetryAfter * 1000) : "";
    }

    /** A CancelRequest: the session's number and its secret must both be right. */
    void cancel(int process, int secret) {
        counters.increment(Count.CLIENTS_CANCELLED);
        Session session = places.find(process);
        if (session != null && session.secret == secret) {
            session.poll(); // after a pause of ours, the query that it is for may lie there unread
            session.cancelled();
        }
    }

    /** Counts what a session holds of its client's bytes; false if all hold too much by now. */
    boolean holds(int more) {
        input += more;
        return input <= mostInput;
    }

    ConnectionSlots places() {
        return places;
    }

    StatusTables shows() {
        return shows;
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

    QueryFieldParser reader() {
        return reader;
    }
}
