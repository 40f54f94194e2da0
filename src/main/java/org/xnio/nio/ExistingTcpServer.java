package org.xnio.nio;

import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * Lets a worker accept on a listening socket that exists already. XNIO 3.8 only opens server
 * sockets itself; this class builds the same objects as {@code createStreamConnectionServer} around
 * an existing one, and closes either kind without losing waiting connections. Their classes are
 * package-private, which is why this class is in their package.
 */
public final class ExistingTcpServer {
    private static final int ACCEPTS_PER_ITERATION =
            128; // by the worker, before it serves other sockets

    private ExistingTcpServer() {}

    /**
     * Returns the channel as a server on which the worker accepts, as if the worker had opened it.
     *
     * @param options as for a server of the worker's own, except those that must precede the bind
     * @throws IOException if the channel cannot be registered
     */
    public static AcceptingChannel<StreamConnection> adopt(
            XnioWorker worker,
            ServerSocketChannel channel,
            ChannelListener<AcceptingChannel<StreamConnection>> accepted,
            OptionMap options)
            throws IOException {
        channel.configureBlocking(false);
        QueuedNioTcpServer2 server =
                new QueuedNioTcpServer2(
                        new NioTcpServer((NioXnioWorker) worker, channel, options, true));
        server.setAcceptListener(accepted);
        return server;
    }

    /**
     * Accepts the connections that wait in the kernel queue, hands them over and closes the socket,
     * all in one task of the worker's accept thread, the only one that may accept: connections left
     * in the queue at the close are reset.
     *
     * @param backlog the length of that queue
     * @param onDrained runs on that thread once all connections have been queued for the I/O
     *     threads
     */
    public static void drainAndClose(
            AcceptingChannel<StreamConnection> server, int backlog, Runnable onDrained) {
        QueuedNioTcpServer2 accepting = (QueuedNioTcpServer2) server;
        ((NioXnioWorker) server.getWorker())
                .getAcceptThread()
                .execute(
                        () -> {
                            try {
                                for (int accepted = 0;
                                        accepted <= backlog;
                                        accepted += ACCEPTS_PER_ITERATION) {
                                    accepting.handleReady();
                                }
                            } finally {
                                IoUtils.safeClose(server);
                                onDrained.run();
                            }
                        });
    }
}
