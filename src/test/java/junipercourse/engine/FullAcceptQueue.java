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
import junipercourse.SocketTestSupport.StubEngine;

/**
 * An engine's address at which no connection comes up until it is opened: its accept queue is full,
 * and the system answers no further SYN. A client's system tries again a second after its first.
 */
final class FullAcceptQueue implements Closeable {
    private static final int FILL_MS = 100;
    private final ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    private final List<Socket> parked = new ArrayList<>();
    private final StubEngine listed =
            new StubEngine(call -> SocketTestSupport.NO_RESPONSE) {
                @Override
                public InetSocketAddress address() {
                    return (InetSocketAddress) server.getLocalSocketAddress();
                }
            };

    FullAcceptQueue() throws IOException {
        while (true) {
            Socket s = new Socket();
            try {
                s.connect(server.getLocalSocketAddress(), FILL_MS);
                parked.add(s);
            } catch (SocketTimeoutException full) {
                s.close();
                return;
            }
        }
    }

    /** For the list of engines. */
    StubEngine listed() {
        return listed;
    }

    /** Takes what was parked out of the queue and gives the next connection that comes up. */
    Socket open() throws IOException {
        for (Socket s : parked) {
            s.close();
            server.accept().close();
        }
        parked.clear();
        return server.accept();
    }

    @Override
    public void close() throws IOException {
        server.close();
        listed.close();
        for (Socket s : parked) {
            s.close();
        }
    }
}
