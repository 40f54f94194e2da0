package junipercourse.admin;

import com.eclipsesource.json.Json;
import io.undertow.UndertowOptions;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpOpenListener;
import io.undertow.util.Headers;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * HTTP/1.1 server for operators, on its own address and I/O thread. Each connection serves one
 * request.
 */
public final class AdminServer implements Closeable {
    private static final int DEFAULT_MAX_CONNECTIONS = 64;
    private static final int MAX_REQUEST_BYTES = 8192;
    private static final int CONNECTION_TIMEOUT_MILLIS = 5000;
    private static final int BACKLOG = 512;
    private static final int BUFFER_BYTES = 1024;
    private static final String DOWN_PATH = "/ops/engines/down/";
    private static final String UP_PATH = "/ops/engines/up/";

    private final AdminOperations operations;
    private final int maxConnections;
    private final XnioWorker worker;
    private final HttpOpenListener httpListener;
    private final AcceptingChannel<StreamConnection> server;

    /** Open connections, oldest first, with the timers that close them; I/O thread only. */
    private final LinkedHashMap<StreamConnection, XnioIoThread.Key> closeTimers =
            new LinkedHashMap<>();

    private int openConnections;

    /**
     * @throws IOException if the server cannot listen on the address; the message names the address
     */
    public AdminServer(InetSocketAddress address, AdminOperations operations) throws IOException {
        this(address, operations, DEFAULT_MAX_CONNECTIONS);
    }

    /**
     * Starts a server that closes its oldest connection when a further one exceeds the limit.
     *
     * @throws IOException if the server cannot listen on the address; the message names the address
     */
    public AdminServer(InetSocketAddress address, AdminOperations operations, int maxConnections)
            throws IOException {
        this.operations = operations;
        this.maxConnections = maxConnections;
        worker =
                Xnio.getInstance()
                        .createWorker(
                                OptionMap.builder()
                                        .set(Options.WORKER_IO_THREADS, 1)
                                        .set(Options.WORKER_TASK_CORE_THREADS, 0)
                                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                                        .set(Options.THREAD_DAEMON, true)
                                        .set(Options.WORKER_NAME, "ops")
                                        .getMap());
        httpListener =
                new HttpOpenListener(
                        new DefaultByteBufferPool(false, BUFFER_BYTES, maxConnections, 0),
                        OptionMap.create(UndertowOptions.MAX_HEADER_SIZE, MAX_REQUEST_BYTES));
        httpListener.setRootHandler(this::handleRequest);
        try {
            server =
                    worker.createStreamConnectionServer(
                            address,
                            this::accept,
                            OptionMap.create(
                                    Options.BACKLOG, BACKLOG, Options.REUSE_ADDRESSES, true));
        } catch (IOException e) {
            worker.shutdownNow();
            throw new IOException(address + ": " + e.getMessage(), e);
        }
        server.resumeAccepts();
    }

    private void accept(AcceptingChannel<? extends StreamConnection> channel) {
        try {
            for (StreamConnection accepted = channel.accept();
                    accepted != null;
                    accepted = channel.accept()) {
                StreamConnection connection = accepted;
                connection.getIoThread().execute(() -> registerConnection(connection));
            }
        } catch (IOException e) {
            Logger.warn("cannot accept an admin connection: {}", e.getMessage());
        }
    }

    private void registerConnection(StreamConnection connection) {
        if (openConnections >= maxConnections && !closeTimers.isEmpty()) {
            IoUtils.safeClose(closeTimers.keySet().iterator().next());
        }
        if (openConnections >= maxConnections) {
            IoUtils.safeClose(connection);
            return;
        }
        openConnections++;
        closeTimers.put(
                connection,
                connection
                        .getIoThread()
                        .executeAfter(
                                () -> IoUtils.safeClose(connection),
                                CONNECTION_TIMEOUT_MILLIS,
                                TimeUnit.MILLISECONDS));
        connection.setCloseListener(
                channel -> {
                    openConnections--;
                    cancelCloseTimer(connection);
                });
        httpListener.handleEvent(connection);
    }

    private void cancelCloseTimer(StreamConnection connection) {
        XnioIoThread.Key timer = closeTimers.remove(connection);
        if (timer != null) {
            timer.remove();
        }
    }

    private void handleRequest(HttpServerExchange exchange) {
        exchange.setPersistent(false);
        exchange.setMaxEntitySize(MAX_REQUEST_BYTES);
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (received, body) -> route(received),
                        (received, failure) -> respond(received, 413, "{}"));
    }

    private void route(HttpServerExchange exchange) {
        String path = exchange.getRequestPath();
        boolean isMaintenanceChange = path.startsWith(DOWN_PATH) || path.startsWith(UP_PATH);
        boolean isReadinessCheck = path.equals("/ops/readiness");
        if (!isMaintenanceChange && !isReadinessCheck && !path.equals("/ops/stats")) {
            respond(exchange, 404, "{}");
        } else if (!exchange.getRequestMethod()
                .toString()
                .equals(isMaintenanceChange ? "POST" : "GET")) {
            exchange.getResponseHeaders().put(Headers.ALLOW, isMaintenanceChange ? "POST" : "GET");
            respond(exchange, 405, "{}");
        } else if (isMaintenanceChange) {
            boolean isStart = path.startsWith(DOWN_PATH);
            String id = path.substring((isStart ? DOWN_PATH : UP_PATH).length());
            AdminOperations.MaintenanceResult result =
                    isStart ? operations.startMaintenance(id) : operations.endMaintenance(id);
            respond(
                    exchange,
                    result == AdminOperations.MaintenanceResult.DONE
                            ? 200
                            : result == AdminOperations.MaintenanceResult.UNKNOWN_ENGINE
                                    ? 404
                                    : 503,
                    "{}");
        } else if (isReadinessCheck) {
            boolean isReady = operations.isReady();
            respond(
                    exchange,
                    isReady ? 200 : 503,
                    Json.object()
                            .add("ready", isReady)
                            .add("why", operations.describeReadiness())
                            .toString());
        } else {
            respond(exchange, 200, operations.getStatisticsJson());
        }
    }

    private static void respond(HttpServerExchange exchange, int status, String body) {
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseSender().send(body);
    }

    /** Returns the address on which the server listens. */
    public InetSocketAddress address() {
        return server.getLocalAddress(InetSocketAddress.class);
    }

    @Override
    public void close() {
        IoUtils.safeClose(server);
        httpListener.closeConnections();
        worker.shutdownNow();
    }
}
