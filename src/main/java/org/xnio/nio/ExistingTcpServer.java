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
 * Lets a worker accept on a listening socket that exists already. XNIO 3.8 opens server sockets of
 * its own only; this puts an existing one behind the very parts that {@code
 * createStreamConnectionServer} makes, and closes either kind without losing what waits. They are
 * visible in their package alone, which is why this one class stands here.
 */
public final class ExistingTcpServer {
    private static final int ACCEPTS_PER_ITERATION =
            128; // that the worker accepts before it looks elsewhere

    private ExistingTcpServer() {}

    /**
     * The channel, accepted on by the worker as if it had opened it.
     *
     * @param options as for a server of the worker's own, but for those that must precede the bind
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
     * Accepts whatever waits in the system's queue, hands it over and closes the socket, all in one
     * turn of the worker's accepting thread, which alone may do so: what is left in the queue at
     * the close is reset.
     *
     * @param backlog the length of that queue
     * @param over runs on that thread once all has been queued for the I/O threads
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
