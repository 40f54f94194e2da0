package junipercourse.engine;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import junipercourse.SocketTestSupport;
import junipercourse.StubEngine;

/**
 * An engine address at which no connection is established until {@link #drainAndAccept}: the accept
 * queue is full, so the system answers no further SYN. A client's system repeats its SYN after 1 s.
 */
final class FullAcceptQueue implements Closeable {
    private static final int CONNECT_TIMEOUT_MILLIS = 100;
    private final ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    private final List<Socket> queuedSockets = new ArrayList<>();
    private final StubEngine endpoint =
            new StubEngine(call -> SocketTestSupport.NO_RESPONSE) {
                @Override
                public InetSocketAddress address() {
                    return (InetSocketAddress) server.getLocalSocketAddress();
                }
            };

    FullAcceptQueue() throws IOException {
        while (true) {
            Socket socket = new Socket();
            try {
                socket.connect(server.getLocalSocketAddress(), CONNECT_TIMEOUT_MILLIS);
                queuedSockets.add(socket);
            } catch (SocketTimeoutException queueFull) {
                socket.close();
                return;
            }
        }
    }

    /** A stub engine with this address, for the endpoint list. */
    StubEngine endpoint() {
        return endpoint;
    }

    /** Empties the accept queue and returns the next connection established. */
    Socket drainAndAccept() throws IOException {
        for (Socket socket : queuedSockets) {
            socket.close();
            server.accept().close();
        }
        queuedSockets.clear();
        return server.accept();
    }

    @Override
    public void close() throws IOException {
        server.close();
        endpoint.close();
        for (Socket socket : queuedSockets) {
            socket.close();
        }
    }
}
