package junipercourse;

import com.eclipsesource.json.Json;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import junipercourse.core.Counters;
import junipercourse.discovery.EndpointWatcher;
import junipercourse.net.EventLoop;

/** An event bus that a test controls step by step, one connection after the other. */
public final class ScriptedBus implements Closeable {
    public static final String EMPTY_FRAME = "00000009%016x00";

    /** A watch event for one engine, whose id is the number of the event. */
    public static final String DELTA_FRAME =
            "00000024%1$016x02%1$08x0a0100091b59010000000200000fa00000000000001388";

    public static final String FULL_FRAME = DELTA_FRAME.replace("02%1$08x", "01%1$08x");

    private final ServerSocket server;
    private final List<Socket> connections = new CopyOnWriteArrayList<>();
    private final List<Socket> queueFillers = new CopyOnWriteArrayList<>();

    /** The event numbers from which connections requested events. */
    public final List<Long> requestedOffsets = new CopyOnWriteArrayList<>();

    public volatile double lastFrameAt;

    public ScriptedBus() throws IOException {
        this(0);
    }

    /** Creates a bus that reopens the port of an earlier one. */
    public ScriptedBus(int port) throws IOException {
        server = new ServerSocket(port, 1, InetAddress.getLoopbackAddress());
        server.setSoTimeout(20_000);
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    /** A frame with one ready or draining engine at a local address. */
    public static String endpointFrame(
            boolean fullList,
            int eventNumber,
            int engineId,
            InetSocketAddress address,
            boolean draining) {
        return "00000024%016x%02x%08x7f000001%04x%02x00000000000003e80000000000000000"
                .formatted(
                        eventNumber,
                        fullList ? 1 : 2,
                        engineId,
                        address.getPort(),
                        draining ? 1 : 0);
    }

    public static double nowSeconds() {
        return System.nanoTime() / 1e9;
    }

    /**
     * Accepts the next connection that sends a request, and records its event number; skips one
     * that is closed by the client before that, since it may be established just as the client
     * cancels it.
     */
    public Socket acceptSubscription() throws IOException {
        while (true) {
            Socket connection = server.accept();
            connections.add(connection);
            connection.setTcpNoDelay(true);
            connection.setSoTimeout(20_000);
            try {
                requestedOffsets.add(new DataInputStream(connection.getInputStream()).readLong());
                return connection;
            } catch (EOFException e) {
                connection.close();
            }
        }
    }

    /** Accepts a connection that is closed without a request. */
    public void awaitConnectionWithoutRequest() throws IOException {
        try (Socket connection = server.accept()) {
            connection.setSoTimeout(5000);
            awaitDisconnect(connection);
        }
    }

    /** Writes frames, such as {@code DELTA_FRAME.formatted(2)}, in one write. */
    public void sendFrames(Socket connection, String hex) throws IOException {
        lastFrameAt = nowSeconds();
        sendBytes(connection, hex);
    }

    public static void sendBytes(Socket connection, String hex) throws IOException {
        connection.getOutputStream().write(HexFormat.of().parseHex(hex));
    }

    /** Waits until the peer has closed a connection. */
    public static void awaitDisconnect(Socket connection) throws IOException {
        try {
            if (connection.getInputStream().read() >= 0) {
                throw new AssertionError("the client sent more bytes");
            }
        } catch (SocketException e) {
            return; // reset, as it had unread bytes
        }
    }

    /** Makes connects fail from now on: the accept queue of the system is full. */
    public void stopAccepting() throws IOException {
        try {
            for (int i = 0; i < 10; i++) {
                Socket filler = new Socket();
                queueFillers.add(filler);
                filler.connect(address(), 300);
            }
        } catch (SocketTimeoutException e) {
            return;
        }
        throw new AssertionError("the accept queue did not fill up");
    }

    /** Lets connects succeed again; closes the connections that waited. */
    public void resumeAccepting() throws IOException {
        for (Socket filler : queueFillers.subList(0, queueFillers.size() - 1)) {
            server.accept().close();
            filler.close();
        }
        queueFillers.get(queueFillers.size() - 1).close();
        queueFillers.clear();
    }

    /** Creates a client of this bus with an empty endpoint list; its updates go to the listener. */
    public EndpointWatcher createWatcher(EventLoop loop, EndpointWatcher.Listener listener) {
        return new EndpointWatcher(
                loop,
                address(),
                Json.parse("{\"offset\":0,\"batch\":[]}").asObject(),
                List.of("east"),
                List.of("std"),
                listener,
                new Counters());
    }

    /** A listener that records each update as its kind and its engine, such as {@code FULL 1}. */
    public static EndpointWatcher.Listener recordingListener(List<String> updates) {
        return (kind, members) -> updates.add(kind + " " + members.get(0).engine().id().value());
    }

    /** Runs a script on a thread of its own; its exceptions are recorded. */
    public void runScript(SocketTestSupport.IoTask script, List<Throwable> failures) {
        SocketTestSupport.startDaemon(
                () -> {
                    try {
                        script.run();
                    } catch (IOException | RuntimeException | Error e) {
                        failures.add(e);
                    }
                });
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : connections) {
            socket.close();
        }
        for (Socket socket : queueFillers) {
            socket.close();
        }
    }
}
