package org.xnio.nio;

import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import org.xnio.ChannelListener;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * Lets a worker accept on a listening socket that exists already. XNIO 3.8 opens server sockets of its own
 * only; this puts an existing one behind the very parts that {@code createStreamConnectionServer} makes. They
 * are visible in their package alone, which is why this one class stands here.
 */
public final class ExistingTcpServer {
    private ExistingTcpServer() { }

    /**
     * The channel, accepted on by the worker as if it had opened it.
     *
     * @param options as for a server of the worker's own, but for those that must precede the bind
     * @throws IOException if the channel cannot be registered
     */
    public static AcceptingChannel<StreamConnection> on(XnioWorker worker, ServerSocketChannel channel,
            ChannelListener<AcceptingChannel<StreamConnection>> accepted, OptionMap options)
            throws IOException {
        channel.configureBlocking(false);
        QueuedNioTcpServer2 server = new QueuedNioTcpServer2(
                new NioTcpServer((NioXnioWorker) worker, channel, options, true));
        server.setAcceptListener(accepted);
        return server;
    }
}
