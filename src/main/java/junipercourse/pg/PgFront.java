package junipercourse.pg;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
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
    private static final double STARTUP_S = 10; // for a client to say who it is
    private static final double IDLE_S = 2; // a client that has asked nothing for so long may make room

    private final Loop loop;
    private final Gateway gateway;
    private final Counters counters;
    private final QueryReader reader;
    private final SplittableRandom random;
    private final int mostClients;
    private final Slots<Session> sessions = new Slots<>();
    private AcceptingChannel<StreamConnection> server;
    private boolean ending;

    public PgFront(Loop loop, Settings settings, Gateway gateway, int mostClients, long seed,
            Counters counters) {
        this.loop = loop;
        this.gateway = gateway;
        this.counters = counters;
        this.reader = new QueryReader(settings);
        this.mostClients = mostClients;
        this.random = new SplittableRandom(seed);
    }

    public void listen(InetSocketAddress address) throws IOException {
        server = loop.listen(address, this::accepted);
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
        loop.after(STARTUP_S, () -> {
            if (!session.started()) { // whoever connects and says nothing holds no slot
                session.close();
            }
        });
    }

    /** Closes the client that has been idle for longest, as a server may. */
    private void makeRoom() {
        Session longest = null;
        for (Session s : sessions.all()) {
            longest = longest == null || s.idleSince() < longest.idleSince() ? s : longest;
        }
        if (longest != null && longest.idleSince() < Loop.now() - IDLE_S) {
            longest.fatal("57P05", "closed after being idle, to make room");
        }
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
