package junipercourse.pg;

import java.io.IOException;
import java.net.InetSocketAddress;
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
    private final Loop loop;
    private final Gateway gateway;
    private final Counters counters;
    private final QueryReader reader;
    private final SplittableRandom random;
    private final int mostClients;
    private final Slots<Session> sessions = new Slots<>();
    private AcceptingChannel<StreamConnection> server;

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

    /** Takes no further connections. */
    public void stopListening() {
        IoUtils.safeClose(server);
    }

    private void accepted(StreamConnection connection) {
        if (sessions.size() >= mostClients) {
            counters.add(Count.CLIENTS_TURNED_AWAY);
            IoUtils.safeClose(connection);
            return;
        }
        counters.add(Count.CLIENTS_ACCEPTED);
        Session session = new Session(connection, this, random.nextInt());
        session.slot = sessions.add(session);
    }

    /** A CancelRequest: the session's number and its secret must both be right. */
    void cancel(int process, int secret) {
        counters.add(Count.CANCELS_ASKED);
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
