package junipercourse.pg;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.SplittableRandom;
import java.util.function.ToDoubleFunction;
import junipercourse.core.Counters;
import junipercourse.core.Counters.Count;
import junipercourse.core.Gateway;
import junipercourse.core.Slots;
import junipercourse.decision.DispatchApi.Settings;
import junipercourse.net.Loop;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.channels.AcceptingChannel;

/** The front for clients that speak the PostgreSQL wire protocol. */
public final class PgFront {
    private static final double LOOK_S = 0.25; // between looks for clients that have had their time
    private static final double FRESH_S = 0.25; // a client that means to ask does so well within this
    private static final double IDLE_MOST_S = 8.0; // clients close what is idle for half as long
    private static final double IDLE_CROWDED_S = 0.5; // while clients have opened about all that they may
    private static final double CROSSING_S = 0.06; // a query that crosses a close within 50 ms comes again

    private final Loop loop;
    private final Gateway gateway;
    private final Counters counters;
    private final QueryReader reader;
    private final SplittableRandom random;
    private final int mostClients;
    private final Slots<Session> sessions = new Slots<>();
    private AcceptingChannel<StreamConnection> server;
    private boolean ending;
    private final long mostInput;
    private long input;

    /** {@code mostInput} bounds the bytes that all clients together may have sent of unfinished messages. */
    public PgFront(Loop loop, Settings settings, Gateway gateway, int mostClients, long mostInput, long seed,
            Counters counters) {
        this.loop = loop;
        this.gateway = gateway;
        this.counters = counters;
        this.reader = new QueryReader(settings);
        this.mostClients = mostClients;
        this.mostInput = mostInput;
        this.random = new SplittableRandom(seed);
    }

    public void listen(InetSocketAddress address) throws IOException {
        server = loop.listen(address, this::accepted);
        loop.after(LOOK_S, this::lookAround);
    }

    /** One look at all sessions in place of a deadline for each, which would keep those that have left. */
    private void lookAround() {
        double now = Loop.now();
        for (Session s : sessions.all()) {
            // Guards clients, which open no more than a third of the descriptors, against running out of
            // connections because some hold theirs for good: what is idle gives way in time.
            boolean crowded = sessions.size() > mostClients / 2;
            s.expire(now, crowded ? IDLE_CROWDED_S : IDLE_MOST_S);
        }
        loop.after(LOOK_S, this::lookAround);
    }

    /** The address it listens on. */
    public InetSocketAddress address() {
        return server.getLocalAddress(InetSocketAddress.class);
    }

    private void accepted(StreamConnection connection) {
        if (sessions.size() >= mostClients) {
            makeRoom();
        }
        Session session = new Session(connection, this, random.nextInt());
        if (sessions.size() >= mostClients) {
            counters.add(Count.CLIENTS_TURNED_AWAY);
            session.fatal("53300", "too many clients");
            return;
        }
        counters.add(Count.CLIENTS_ACCEPTED);
        session.slot = sessions.add(session);
    }

    /**
     * Guards the clients that ask against those that only hold connections: closes the one that has been
     * there for longest without ever asking, or else the one that has been idle for longest.
     */
    private void makeRoom() {
        double now = Loop.now();
        Session silent = longest(Session::silentSince);
        Session idle = longest(Session::idleSince);
        if (silent != null && silent.silentSince() < now - FRESH_S) {
            silent.fatal("57P05", "closed without a query, to make room");
        } else if (idle != null && idle.idleSince() < now - CROSSING_S) {
            idle.fatal("57P05", "closed after being idle, to make room");
        }
    }

    private Session longest(ToDoubleFunction<Session> since) {
        return sessions.all().stream().min(Comparator.comparingDouble(since)).orElse(null);
    }

    /** From now on queries are refused: what is taken is still finished. */
    public void end() {
        ending = true;
        IoUtils.safeClose(server);
    }

    boolean ending() {
        return ending;
    }

    /** The counters, a row each. */
    byte[] counterRows() {
        StringBuilder rows = new StringBuilder();
        for (Count c : Count.values()) {
            rows.append(c.side()).append('\t').append(c.label()).append('\t').append(counters.get(c))
                    .append('\n');
        }
        return rows.toString().getBytes(StandardCharsets.UTF_8);
    }

    /** A CancelRequest: the session's number and its secret must both be right. */
    void cancel(int process, int secret) {
        counters.add(Count.CLIENTS_CANCELLED);
        Session session = sessions.find(process);
        if (session != null && session.secret == secret) {
            session.cancelled();
        }
    }

    /** Counts what a session holds of its client's bytes; false if all hold too much by now. */
    boolean holds(int more) {
        input += more;
        return input <= mostInput;
    }

    /** The one place where a session's slot is given back. */
    void left(Session session) {
        sessions.remove(session.slot);
    }

    Loop loop() {
        return loop;
    }

    Gateway gateway() {
        return gateway;
    }

    Counters counters() {
        return counters;
    }

    QueryReader reader() {
        return reader;
    }
}
