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
 * The second address: HTTP/1.1 for operators' staff, one call a connection, on an I/O thread of its
 * own.
 */
public final class AdminServer implements Closeable {
    private static final int MOST_CONNECTIONS = 64;
    private static final int MOST_BYTES = 8192;
    private static final int WHOLE_CALL_MS = 5000;
    private static final int BACKLOG = 512;
    private static final int BUFFER = 1024;
    private static final String DOWN = "/ops/engines/down/";
    private static final String UP = "/ops/engines/up/";

    private final AdminOperations operations;
    private final int most;
    private final XnioWorker worker;
    private final HttpOpenListener http;
    private final AcceptingChannel<StreamConnection> server;

    /** Those open, oldest first, each with the end of its time; on the I/O thread only. */
    private final LinkedHashMap<StreamConnection, XnioIoThread.Key> connections =
            new LinkedHashMap<>();

    private int open;

    /**
     * @throws IOException if the address cannot be listened on, which it names
     */
    public AdminServer(InetSocketAddress address, AdminOperations operations) throws IOException {
        this(address, operations, MOST_CONNECTIONS);
    }

    /** With a bound on connections. */
    public AdminServer(InetSocketAddress address, AdminOperations operations, int most)
            throws IOException {
        this.operations = operations;
        this.most = most;
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
        http =
                new HttpOpenListener(
                        new DefaultByteBufferPool(false, BUFFER, most, 0),
                        OptionMap.create(UndertowOptions.MAX_HEADER_SIZE, MOST_BYTES));
        http.setRootHandler(this::called);
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

    private void accept(AcceptingChannel<? extends StreamConnection> from) {
        try {
            for (StreamConnection c = from.accept(); c != null; c = from.accept()) {
                StreamConnection connection = c;
                connection.getIoThread().execute(() -> opened(connection));
            }
        } catch (IOException e) {
            Logger.warn("ops: a connection could not be accepted: {}", e.getMessage());
        }
    }

    private void opened(StreamConnection c) {
        if (open >= most && !connections.isEmpty()) {
            IoUtils.safeClose(connections.keySet().iterator().next());
        }
        if (open >= most) {
            IoUtils.safeClose(c);
            return;
        }
        open++;
        connections.put(
                c,
                c.getIoThread()
                        .executeAfter(
                                () -> IoUtils.safeClose(c), WHOLE_CALL_MS, TimeUnit.MILLISECONDS));
        c.setCloseListener(
                x -> {
                    open--;
                    over(c);
                });
        http.handleEvent(c);
    }

    private void over(StreamConnection c) {
        XnioIoThread.Key key = connections.remove(c);
        if (key != null) {
            key.remove();
        }
    }

    private void called(HttpServerExchange x) {
        x.setPersistent(false);
        x.setMaxEntitySize(MOST_BYTES);
        x.getRequestReceiver()
                .receiveFullBytes((e, body) -> route(e), (e, fault) -> answer(e, 413, "{}"));
    }

    private void route(HttpServerExchange x) {
        String path = x.getRequestPath();
        boolean change = path.startsWith(DOWN) || path.startsWith(UP);
        boolean ready = path.equals("/ops/readiness");
        if (!change && !ready && !path.equals("/ops/stats")) {
            answer(x, 404, "{}");
        } else if (!x.getRequestMethod().toString().equals(change ? "POST" : "GET")) {
            x.getResponseHeaders().put(Headers.ALLOW, change ? "POST" : "GET");
            answer(x, 405, "{}");
        } else if (change) {
            boolean down = path.startsWith(DOWN);
            String id = path.substring((down ? DOWN : UP).length());
            AdminOperations.MaintenanceResult v =
                    down ? operations.startMaintenance(id) : operations.endMaintenance(id);
            answer(
                    x,
                    v == AdminOperations.MaintenanceResult.DONE
                            ? 200
                            : v == AdminOperations.MaintenanceResult.UNKNOWN_ENGINE ? 404 : 503,
                    "{}");
        } else if (ready) {
            boolean now = operations.isReady();
            answer(
                    x,
                    now ? 200 : 503,
                    Json.object()
                            .add("ready", now)
                            .add("why", operations.describeReadiness())
                            .toString());
        } else {
            answer(x, 200, operations.getStatisticsJson());
        }
    }

    private static void answer(HttpServerExchange x, int status, String body) {
        x.setStatusCode(status);
        x.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        x.getResponseSender().send(body);
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return server.getLocalAddress(InetSocketAddress.class);
    }

    @Override
    public void close() {
        IoUtils.safeClose(server);
        http.closeConnections();
        worker.shutdownNow();
    }
}
