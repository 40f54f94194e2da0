package junipercourse.pg;

import static junipercourse.SocketTestSupport.query;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import junipercourse.Client;
import junipercourse.SocketTestSupport;
import junipercourse.StubEngine;
import junipercourse.core.Counters;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Closes by either side that cross queries or cancels. Blocking the event loop forces the race. */
class ConnectionCloseTest {
    private static final String SERVED = "T D(a b c) C(SELECT 1)";
    private static final String SHUTTING_DOWN = "E(57P03 the dispatcher is shutting down)";
    private static final String CANCELLED = "E(57014 canceling statement due to user request)";

    /** Time in which a disconnected client is detected, on a busy machine. */
    private static final long DISCONNECT_DETECTION_MILLIS = 1000;

    private final SocketTestSupport support;
    private StubEngine engine;
    private volatile String engineResponse = SocketTestSupport.OK;

    ConnectionCloseTest() throws Exception {
        support = new SocketTestSupport();
    }

    @BeforeEach
    void start() throws Exception {
        engine =
                support.startEngine(
                        1,
                        call -> {
                            SocketTestSupport.sleepMillis(20);
                            return call.startsWith("DELETE")
                                    ? SocketTestSupport.CANCELLED
                                    : engineResponse;
                        });
    }

    @AfterEach
    void close() throws Exception {
        support.close();
    }

    // ---- the listening socket ----

    /** Connections that the kernel accepted before the close get an error, not a reset. */
    @Test
    void clientsInListenBacklogAreRefusedOnShutdown() throws Exception {
        Runnable release = support.blockLoop();
        support.executeOnLoop(server -> server.beginShutdown(() -> {}));
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            Client client = support.connectClient();
            client.write(Client.startupMessage(), Client.queryMessage(query("check", i, 5000)));
            clients.add(client);
        }
        release.run();
        for (Client client : clients) {
            assertEquals("", client.readAnswer());
            assertEquals(SHUTTING_DOWN, client.readAnswer());
        }
        assertEquals(0, engine.countCalls("POST"));
    }

    /** Shutdown reads each session once more before its orderly close and rejects late queries. */
    @Test
    void queryUnreadWhenSessionsCloseIsRefused() throws Exception {
        Client querying = support.connectClient().startSession();
        Client idle = support.connectClient().startSession();
        assertEquals("I", idle.query(" "));
        Runnable release = support.blockLoop();
        support.executeOnLoop(
                server -> {
                    server.beginShutdown(() -> {});
                    server.closeSessions();
                });
        querying.write(Client.queryMessage(query("check", 1, 5000)));
        release.run();
        assertEquals(SHUTTING_DOWN, querying.readAnswer());
        assertEquals(SHUTTING_DOWN + " closed=true", querying.readAnswer());
        assertEquals(SHUTTING_DOWN + " closed=true", idle.readAnswer());
        assertEquals(0, engine.countCalls("POST"));
    }

    // ---- closes by the server ----

    /** Invalid, oversized and unsupported messages, from a client that writes without reading. */
    @ParameterizedTest
    @CsvSource({
        "start 51ffffffff, 08P01 a message of 4294967295 bytes",
        "start 0000000000, 08P01 a message of 0 bytes",
        "start 5000000004, '0A000 only simple queries are taken here, no message of type 80'",
        "7fffffff00030000, 08P01 a message of 2147483647 bytes",
        "474554202f20485454502f312e31, 08P01 a message of 1195725856 bytes"
    })
    void clientSendingInvalidMessageGetsErrorAndOrderlyClose(String hex, String error)
            throws Exception {
        Client client = support.connectClient();
        if (hex.startsWith("start")) {
            client.startSession();
        }
        Runnable release = support.blockLoop();
        SocketTestSupport.startDaemon(
                () ->
                        client.write(
                                HexFormat.of().parseHex(hex.replace("start ", "")),
                                new byte[300_000]));
        SocketTestSupport.sleepMillis(50); // more than one read is pending
        release.run();
        assertEquals("E(" + error + ") closed=true", client.readAnswer());
        assertEquals(SERVED, support.connectClient().startSession().query(query("check", 1, 5000)));
    }

    /**
     * Input after the server's shutdown of the connection is discarded, and occupies one descriptor
     * for a second.
     */
    @Test
    void queryAfterServerCloseReachesNoEngine() throws Exception {
        int usedBefore = support.descriptorBudget.used();
        Client client = support.connectClient().startSession();
        client.write(HexFormat.of().parseHex("5000000004"));
        assertTrue(client.readAnswer().endsWith("closed=true"));
        client.write(Client.queryMessage(query("check", 1, 5000)));
        assertEquals(
                usedBefore + 1,
                support.descriptorBudget.used(),
                "the connection counts as a client's until it is closed");
        assertEquals(-1, client.socket.getInputStream().read(), "no reset");
        SocketTestSupport.await(() -> support.descriptorBudget.used() == usedBefore, 3000);
        assertEquals(0, engine.countCalls("POST"));
    }

    /**
     * A close without a final message takes effect at once: none of three waits for the linger
     * timeout of a second.
     */
    @Test
    void cancelRequestConnectionIsClosedImmediately() throws Exception {
        Client client = support.connectClient().startSession();
        long startNanos = System.nanoTime();
        for (int i = 0; i < 3; i++) {
            client.cancel();
        }
        assertTrue(System.nanoTime() - startNanos < 2_500_000_000L);
    }

    /** The bytes that are read from a closed session are limited; then the connection is closed. */
    @Test
    void clientSendingEndlesslyAfterErrorIsDisconnected() throws Exception {
        int usedBefore = support.descriptorBudget.used();
        Client client = support.connectClient().startSession();
        client.write(HexFormat.of().parseHex("51ffffffff"));
        SocketTestSupport.startDaemon(
                () -> {
                    while (true) {
                        client.write(new byte[100_000]);
                    }
                });
        SocketTestSupport.await(() -> support.descriptorBudget.used() == usedBefore);
    }

    /** Connections that the server has shut down and clients keep open do not block new clients. */
    @Test
    void lingeringConnectionsAreClosedForNewClients() throws Exception {
        for (int i = 0; i < SocketTestSupport.MAX_CLIENTS * 2; i++) {
            Client invalidClient = support.connectClient();
            invalidClient.write(HexFormat.of().parseHex("7fffffff00030000"));
            if (i % 40 == 39) {
                assertEquals(
                        SERVED,
                        support.connectClient().startSession().query(query("check", i, 5000)));
            }
        }
        assertEquals(0, support.counters.get(Counters.Count.CLIENTS_TURNED_AWAY));
        assertTrue(
                support.descriptorBudget.shares().stream()
                        .filter(share -> share.name().equals("clients"))
                        .allMatch(share -> share.peak() <= share.maxOpen()),
                support.descriptorBudget.toString());
    }

    // ---- closes by the client ----

    /**
     * The disconnection of a client that sent much input during its query is detected, and the
     * query is cancelled.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void queryIsCancelledWhenPipeliningClientDisconnects(boolean reset) throws Exception {
        engineResponse = SocketTestSupport.RUNNING;
        Client client = support.connectClient().startSession();
        client.write(Client.queryMessage(query("check", 1, 7000)));
        SocketTestSupport.await(() -> engine.countCalls("POST") == 1);
        client.write(new byte[64 * 1024]);
        if (reset) {
            client.socket.setSoLinger(true, 0);
        }
        client.close();
        SocketTestSupport.await(
                () -> engine.countCalls("DELETE") == 1, DISCONNECT_DETECTION_MILLIS);
        assertEquals(1, engine.countCalls("POST"));
    }

    /**
     * Queries that arrived completely before the excess are answered, then the session is closed.
     */
    @Test
    void pipelinedQueriesAreAnsweredBeforeExcessClosesSession() throws Exception {
        engineResponse = SocketTestSupport.RUNNING;
        Client client = support.connectClient().startSession();
        client.write(Client.queryMessage(query("check", 1, 7000)));
        SocketTestSupport.await(() -> engine.countCalls("POST") == 1);
        client.write(
                Client.queryMessage(query("check", 2, 7000)),
                Client.queryMessage(" ".repeat(40_000)));
        engineResponse = SocketTestSupport.OK;
        assertEquals(SERVED, client.readAnswer());
        assertEquals(SERVED, client.readAnswer());
        assertEquals(
                "E(08P01 too much was sent ahead of an answer) closed=true", client.readAnswer());
    }

    /** Input without end during a query cancels the query and closes the session. */
    @Test
    void queryIsCancelledWhenClientSendsEndlessly() throws Exception {
        engineResponse = SocketTestSupport.RUNNING;
        int usedBefore = support.descriptorBudget.used();
        Client client = support.connectClient().startSession();
        client.write(Client.queryMessage(query("check", 1, 7000)));
        SocketTestSupport.await(() -> engine.countCalls("POST") == 1);
        SocketTestSupport.startDaemon(
                () -> {
                    while (true) {
                        client.write(new byte[100_000]);
                    }
                });
        SocketTestSupport.await(
                () -> engine.countCalls("DELETE") == 1, DISCONNECT_DETECTION_MILLIS);
        SocketTestSupport.await(
                () ->
                        support.descriptorBudget.used()
                                <= usedBefore + 1); // the engine's connection stays open
    }

    // ---- cancels ----

    /** The cancel request is handled while its query is still unread. */
    @Test
    void cancelReadBeforeItsQueryCancelsTheQuery() throws Exception {
        engineResponse = SocketTestSupport.RUNNING;
        Client client = support.connectClient().startSession();
        Runnable release = support.blockLoop();
        support.executeOnLoop(
                server ->
                        server.cancelRequests()
                                .handle(CancelKey.fromLong(client.cancelKey().getLong())));
        client.write(Client.queryMessage(query("check", 1, 1000)));
        release.run();
        assertEquals(CANCELLED, client.readAnswer());
        expectAttemptsCancelledAndNoneStarted(engine.countCalls("POST"));
    }

    /**
     * An open or unread query, its cancel and its client's close, in each order in one iteration.
     */
    @ParameterizedTest
    @CsvSource({
        "open cancel close",
        "open close cancel",
        "open cancel",
        "open close",
        "query cancel close",
        "query close cancel",
        "query close"
    })
    void noAttemptStartsAfterCancelOrCloseInAnyOrder(String order) throws Exception {
        engineResponse = SocketTestSupport.RUNNING;
        Client client = support.connectClient().startSession();
        byte[] query = Client.queryMessage(query("check", 1, 7000));
        Socket cancelSocket = new Socket(client.socket.getInetAddress(), client.socket.getPort());
        if (order.startsWith("open")) {
            client.write(query);
            SocketTestSupport.await(() -> engine.countCalls("POST") == 1);
        }
        Runnable release = support.blockLoop();
        for (String event : order.split(" ")) {
            switch (event) {
                case "query" -> client.write(query);
                case "cancel" -> cancelSocket.getOutputStream().write(client.cancelRequest());
                case "close" -> client.close();
                default -> {}
            }
        }
        release.run();
        if (order.endsWith("cancel") && !order.contains("close")) {
            assertEquals(CANCELLED, client.readAnswer());
        }
        SocketTestSupport.sleepMillis(100);
        expectAttemptsCancelledAndNoneStarted(engine.countCalls("POST"));
        cancelSocket.close();
    }

    /** Checks that each started attempt is cancelled and that none follows. */
    private void expectAttemptsCancelledAndNoneStarted(long startedAttempts) throws IOException {
        SocketTestSupport.await(
                () -> engine.countCalls("DELETE") >= startedAttempts, DISCONNECT_DETECTION_MILLIS);
        SocketTestSupport.sleepMillis(300);
        assertEquals(startedAttempts, engine.countCalls("POST"));
    }
}
