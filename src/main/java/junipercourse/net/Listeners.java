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
 * The loop's listening sockets: hands over what they accept, and knows whether more may wait
 * unaccepted, with what their clients have written. Who listens has the socket closed.
 */
final class Listeners {
    private static final int BACKLOG = 512;

    /**
     * Once there is room again, the acceptor is woken in a pass, accepts in the next, and is read
     * then.
     */
    private static final int PROBES_AFTER_BACKLOG = 3;

    private final EventLoop loop;
    private final IoThread thread;
    private final List<InetSocketAddress> listeningAddresses = new ArrayList<>();
    private long acceptedCount;
    private long acceptTarget;
    private boolean setBacklogged;
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

    /** The same on a socket that listens already. */
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
     * Closes a listening socket once what waits there is handed over, as far as the bound on it
     * allows.
     */
    void drainAndClose(AcceptingChannel<StreamConnection> server, Runnable onDrained) {
        ExistingTcpServer.drainAndClose(
                server, BACKLOG, () -> loop.execute(onDrained)); // behind those accepted
    }

    /** Whether connections may be waiting unaccepted because no more may be open. */
    void setBacklogged(boolean mayWait) {
        setBacklogged = mayWait;
        if (mayWait) {
            remainingProbes = PROBES_AFTER_BACKLOG;
        }
    }

    /**
     * A mark goes out. Returns whether connections may be waiting that it cannot vouch for.
     *
     * @param catchingUp whether to count those that wait; done anyway while there is a backlog
     */
    boolean mayMissConnections(boolean catchingUp) {
        if (catchingUp || remainingProbes > 0) {
            updateAcceptTarget();
        }
        if (remainingProbes > 0) {
            remainingProbes -= setBacklogged ? 0 : 1;
            return true;
        }
        return false;
    }

    /** Whether some of those that were counted last have not been accepted yet. */
    boolean hasWaitingConnections() {
        return acceptedCount < acceptTarget;
    }

    /**
     * Guards against an acceptor that is not done: what waits now comes first, since the queue is
     * one. Where the system does not tell how many wait, time must do.
     */
    private void updateAcceptTarget() {
        int waiting =
                listeningAddresses.stream()
                        .mapToInt(address -> Math.max(0, AcceptBacklog.countWaiting(address)))
                        .sum();
        acceptTarget = acceptedCount + waiting;
    }
}
