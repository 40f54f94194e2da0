package junipercourse.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.ServerSocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.tinylog.Logger;
import org.xnio.ChannelListener;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.channels.AcceptingChannel;
import org.xnio.nio.ExistingTcpServer;

/**
 * The listening sockets of the event loop: passes on accepted connections, and knows whether more
 * may wait unaccepted, along with bytes from their clients. Closing a socket is up to the code that
 * opened it.
 */
final class Listeners {
    private static final int BACKLOG = 512;

    /**
     * Once connections may be accepted again, one pass wakes the acceptor, the next accepts, and
     * the third reads.
     */
    private static final int PROBES_AFTER_BACKLOG = 3;

    private final EventLoop loop;
    private final IoThread thread;
    private final List<InetSocketAddress> listeningAddresses = new ArrayList<>();
    private long acceptedCount;
    private long acceptTarget;
    private boolean backlogged;
    private int remainingProbes;

    Listeners(EventLoop loop, IoThread thread) {
        this.loop = loop;
        this.thread = thread;
    }

    /** Listens on an address; see {@link EventLoop#listen(InetSocketAddress, int, Consumer)}. */
    AcceptingChannel<StreamConnection> listen(
            InetSocketAddress address, int maxConnections, Consumer<StreamConnection> onAccepted)
            throws IOException {
        return startAccepting(
                thread.worker()
                        .createStreamConnectionServer(
                                address,
                                createAcceptListener(onAccepted),
                                OptionMap.builder()
                                        .addAll(acceptOptions(maxConnections))
                                        .set(Options.BACKLOG, BACKLOG)
                                        .set(Options.REUSE_ADDRESSES, true)
                                        .getMap()));
    }

    /** Accepts on a socket that is listening already. */
    AcceptingChannel<StreamConnection> listen(
            ServerSocketChannel socket, int maxConnections, Consumer<StreamConnection> onAccepted)
            throws IOException {
        return startAccepting(
                ExistingTcpServer.adopt(
                        thread.worker(),
                        socket,
                        createAcceptListener(onAccepted),
                        acceptOptions(maxConnections)));
    }

    private static OptionMap acceptOptions(int maxConnections) {
        return OptionMap.builder()
                .set(Options.CONNECTION_HIGH_WATER, maxConnections)
                .set(Options.CONNECTION_LOW_WATER, maxConnections)
                .set(Options.TCP_NODELAY, true)
                .getMap();
    }

    private ChannelListener<AcceptingChannel<StreamConnection>> createAcceptListener(
            Consumer<StreamConnection> onAccepted) {
        return server -> {
            loop.recordActivity();
            try {
                for (StreamConnection next = server.accept();
                        next != null;
                        next = server.accept()) {
                    StreamConnection connection = next;
                    acceptedCount++;
                    thread.runGuarded(() -> onAccepted.accept(connection));
                }
            } catch (ClosedChannelException e) {
                Logger.debug("the listening socket has been closed");
            } catch (IOException e) {
                Logger.warn("accept failed: {}", e.getMessage());
            }
        };
    }

    private AcceptingChannel<StreamConnection> startAccepting(
            AcceptingChannel<StreamConnection> server) {
        listeningAddresses.add(server.getLocalAddress(InetSocketAddress.class));
        server.resumeAccepts();
        return server;
    }

    /**
     * Closes a listening socket after accepting the connections that wait in its queue, as far as
     * its limit of connections allows.
     */
    void drainAndClose(AcceptingChannel<StreamConnection> server, Runnable onDrained) {
        ExistingTcpServer.drainAndClose(
                server, BACKLOG, () -> loop.execute(onDrained)); // after those accepted
    }

    /**
     * Sets whether connections may be waiting unaccepted because the limit of connections is
     * reached.
     */
    void setBacklogged(boolean nowBacklogged) {
        this.backlogged = nowBacklogged;
        if (nowBacklogged) {
            remainingProbes = PROBES_AFTER_BACKLOG;
        }
    }

    /**
     * Called when a probe is sent. Returns whether connections may be waiting that the probe does
     * not cover.
     *
     * @param isCatchingUp whether to count the waiting connections; also done after a backlog
     */
    boolean mayMissConnections(boolean isCatchingUp) {
        if (isCatchingUp || remainingProbes > 0) {
            updateAcceptTarget();
        }
        if (remainingProbes > 0) {
            remainingProbes -= backlogged ? 0 : 1;
            return true;
        }
        return false;
    }

    /** Whether some of the connections that were counted last have not been accepted yet. */
    boolean hasWaitingConnections() {
        return acceptedCount < acceptTarget;
    }

    /**
     * Covers an acceptor that has not finished: the connections that wait now are accepted first,
     * since there is one queue. Where the system does not report how many wait, only time helps.
     */
    private void updateAcceptTarget() {
        int waiting =
                listeningAddresses.stream()
                        .mapToInt(address -> Math.max(0, AcceptBacklog.countWaiting(address)))
                        .sum();
        acceptTarget = acceptedCount + waiting;
    }
}
