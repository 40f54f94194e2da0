package junipercourse;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

/** An engine that answers each call, such as {@code POST /fetch ID}, with its script's result. */
public class StubEngine implements Closeable {
    private static final int MAX_BIND_ATTEMPTS = 100;
    private static final long BIND_RETRY_MILLIS = 20;

    public final List<String> calls = new CopyOnWriteArrayList<>();

    /** How long the dispatcher would wait, in milliseconds, as each POST states. */
    public final List<Integer> limitsMillis = new CopyOnWriteArrayList<>();

    private final ServerSocket server;
    private final List<Socket> connections = new CopyOnWriteArrayList<>();
    private final Function<String, String> script;
    public final AtomicInteger closedConnections = new AtomicInteger();
    private volatile CountDownLatch partitionHealed = new CountDownLatch(0);

    public StubEngine(Function<String, String> script) throws IOException {
        this(0, script);
    }

    /** Starts an engine at a port, such as that of one that has stopped. */
    public StubEngine(int port, Function<String, String> script) throws IOException {
        this.script = script;
        server = new ServerSocket(port, 50, InetAddress.getLoopbackAddress());
        server.setReceiveBufferSize(4096); // so that unread bytes stay with the sender
        SocketTestSupport.startDaemon(
                () -> {
                    while (true) {
                        Socket connection = server.accept();
                        connections.add(connection);
                        SocketTestSupport.startDaemon(
                                () -> {
                                    try {
                                        serve(connection);
                                    } finally {
                                        closedConnections.incrementAndGet();
                                    }
                                });
                    }
                });
    }

    /**
     * Starts an engine at the port of one that has just stopped accepting. The system may hold the
     * port for a moment longer.
     */
    public static StubEngine startAt(int port, Function<String, String> script) throws IOException {
        for (int attempt = 1; ; attempt++) {
            try {
                return new StubEngine(port, script);
            } catch (BindException e) {
                if (attempt == MAX_BIND_ATTEMPTS) {
                    throw e;
                }
                SocketTestSupport.sleepMillis(BIND_RETRY_MILLIS);
            }
        }
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    public long countCalls(String prefix) {
        return calls.stream().filter(call -> call.startsWith(prefix)).count();
    }

    /** Cuts the network to this engine until the latch opens: calls wait in socket buffers. */
    public void partitionUntil(CountDownLatch healed) {
        partitionHealed = healed;
    }

    /** Refuses new connections and keeps serving the open ones. */
    public void stopAccepting() throws IOException {
        server.close();
    }

    private void serve(Socket connection) throws IOException {
        InputStream in = connection.getInputStream();
        for (String requestLine = readLine(in);
                !requestLine.isEmpty();
                requestLine = readLine(in)) {
            try {
                partitionHealed.await();
            } catch (InterruptedException e) {
                return;
            }
            int bodyLength = 0;
            String id = "";
            for (String header = readLine(in); !header.isEmpty(); header = readLine(in)) {
                bodyLength =
                        header.startsWith("Content-Length: ")
                                ? Integer.parseInt(header.substring(16))
                                : bodyLength;
                if (header.startsWith("X-Limit-Ms: ")) {
                    limitsMillis.add(Integer.parseInt(header.substring(12)));
                }
                id = header.startsWith("X-Txn: ") ? " " + header.substring(7) : id;
            }
            if (in.readNBytes(bodyLength).length < bodyLength) {
                return; // incomplete: not a call
            }
            String call = requestLine.replace(" HTTP/1.1", "") + id;
            calls.add(call);
            String answer = script.apply(call);
            if (answer.equals(SocketTestSupport.CLOSE_CONNECTION)) {
                connection.close();
                return;
            }
            if (!answer.equals(SocketTestSupport.NO_RESPONSE)) {
                send(connection, call, answer);
            }
        }
    }

    protected void send(Socket connection, String call, String answer) throws IOException {
        connection.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int character = in.read();
                character >= 0 && character != '\n';
                character = in.read()) {
            line.append((char) character);
        }
        return line.toString().trim();
    }

    /** Stops as a killed process does: its connections break and new ones are refused. */
    @Override
    public void close() throws IOException {
        server.close();
        for (Socket connection : connections) {
            connection.close();
        }
    }
}
