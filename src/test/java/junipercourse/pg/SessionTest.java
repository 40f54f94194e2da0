package junipercourse.pg;

import static junipercourse.SocketTestSupport.query;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.Arrays;
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

class SessionTest {
    private static final String SERVED = "T D(a b c) C(SELECT 1)";
    private final SocketTestSupport support;
    private StubEngine engine;

    SessionTest() throws Exception {
        support = new SocketTestSupport();
    }

    @BeforeEach
    void start() throws Exception {
        engine = support.startEngine(1, call -> SocketTestSupport.OK);
    }

    @AfterEach
    void close() throws Exception {
        support.close();
    }

    @Test
    void pipelinedStartupAndQueriesAreAnsweredInOrder() throws Exception {
        Client client = support.connectClient();
        client.write(
                Client.startupMessage(),
                Client.queryMessage(query("check", 1, 5000)),
                Client.queryMessage(query("check", 2, 5000)),
                Client.queryMessage(" "));
        assertEquals("", client.readAnswer());
        assertEquals(SERVED, client.readAnswer());
        assertEquals(SERVED, client.readAnswer());
        assertEquals("I", client.readAnswer());
    }

    @Test
    void queryIsServedByteByByteAfterEncryptionIsRefused() throws Exception {
        Client client = support.connectClient();
        client.write(ByteBuffer.allocate(8).putInt(8).putInt(80877103).array());
        assertEquals('N', client.socket.getInputStream().read());
        for (byte[] part :
                new byte[][] {
                    Client.startupMessage(), Client.queryMessage(query("check", 1, 5000))
                }) {
            for (byte b : part) {
                client.write(new byte[] {b});
            }
        }
        assertEquals("", client.readAnswer());
        assertEquals(SERVED, client.readAnswer());
    }

    @Test
    void showCountersReturnsCounters() throws Exception {
        Client client = support.connectClient().startSession();
        client.query(query("check", 1, 5000));
        String shown = client.query("show counters;");
        assertTrue(shown.contains("D(queries served 1)") && shown.contains("D(ends ok 1)"), shown);
    }

    /** The server stops reading from a client that does not read; other clients are served. */
    @Test
    void readingPausesForClientThatDoesNotReadResults() throws Exception {
        Client nonReadingClient = support.connectClient().startSession();
        nonReadingClient.socket.setSoTimeout(5000);
        SocketTestSupport.startDaemon(
                () -> {
                    for (int i = 0; i < 200_000; i++) {
                        nonReadingClient.write(Client.queryMessage("SHOW COUNTERS"));
                    }
                });
        SocketTestSupport.sleepMillis(300);
        assertEquals(SERVED, support.connectClient().startSession().query(query("check", 1, 5000)));
        for (int i = 0; i < 1000; i++) { // once the client reads, it gets all results
            assertTrue(nonReadingClient.readAnswer().startsWith("T D(clients accepted "));
        }
    }

    /** Invalid input gets an error or a close, reaches no engine and does not affect others. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "00000008ffffffff | E(08P01 protocol version 65535.65535 is not spoken here)"
                        + " closed=true",
                "7fffffff00030000 | E(08P01 a message of 2147483647 bytes)" + " closed=true",
                "0000000900030000 00 | E(08P01 the start-up packet names no user) closed=true",
                "start 51ffffffff | E(08P01 a message of 4294967295 bytes)" + " closed=true",
                "start 510000000541 | E(08P01 a query without its end) closed=true",
                "start 5000000004 | E(0A000 only simple queries are taken here, no message of type"
                        + " 80) closed=true",
                "start 510000000d53454c45435420 3100 | E(22023 kind: missing; no comment with"
                        + " fields stands before the statement)"
            })
    void invalidInputGetsErrorAndReachesNoEngine(String hex, String expected) throws Exception {
        Client client = support.connectClient();
        String bytes = hex.replace(" ", "").replace("start", "");
        if (hex.startsWith("start")) {
            client.startSession();
        }
        client.write(java.util.HexFormat.of().parseHex(bytes));
        assertEquals(expected, client.readAnswer());
        assertTrue(engine.calls.isEmpty());
        assertEquals(SERVED, support.connectClient().startSession().query(query("check", 1, 5000)));
    }

    /** A client that never sends a query, or does not complete a message, is closed within 3 s. */
    @ParameterizedTest
    @CsvSource({
        "'', closed=true",
        "0000, closed=true",
        "start, E(57014 no query came in time) closed=true",
        "start 5100000010, E(08P01 a message without its end) closed=true",
        "queried 5100000010, E(08P01 a message without its end) closed=true"
    })
    void connectionIsClosedAfterInputTimeout(String sent, String expected) throws Exception {
        Client client = support.connectClient();
        if (!sent.isEmpty() && sent.charAt(0) != '0') {
            client.startSession();
        }
        if (sent.startsWith("queried")) {
            assertEquals(SERVED, client.query(query("check", 1, 5000)));
        }
        client.write(java.util.HexFormat.of().parseHex(sent.replaceAll("[a-z]* ?(?=[0-9]|$)", "")));
        long startNanos = System.nanoTime();
        assertTrue(client.readAnswer().endsWith(expected));
        assertTrue(System.nanoTime() - startNanos < 2_900_000_000L);
    }

    /**
     * Connections that clients only hold, with or without an earlier query, do not block clients
     * with queries.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void idleConnectionsAreClosedForNewClients(boolean hasQueried) throws Exception {
        for (int i = 0; i < SocketTestSupport.MAX_CLIENTS; i++) {
            Client idleClient = support.connectClient();
            if (hasQueried) {
                assertEquals(SERVED, idleClient.startSession().query(query("check", i, 5000)));
            }
        }
        SocketTestSupport.sleepMillis(300);
        for (int i = 1; i <= 5; i++) {
            assertEquals(
                    SERVED,
                    support.connectClient().startSession().query(query("check", 1000 + i, 5000)));
        }
        assertEquals(0, support.counters.get(Counters.Count.CLIENTS_TURNED_AWAY));
    }

    /**
     * The number of connections of all clients is limited: idle ones are closed earlier while many
     * are open.
     */
    @Test
    void idleConnectionsAreClosedEarlyWhileManyAreOpen() throws Exception {
        Client first = support.connectClient().startSession();
        assertEquals(SERVED, first.query(query("check", 1, 5000)));
        for (int i = 0; i < SocketTestSupport.MAX_CLIENTS / 2; i++) {
            support.connectClient().startSession();
        }
        long startNanos = System.nanoTime();
        assertEquals("E(57P05 closed after being idle) closed=true", first.readAnswer());
        assertTrue(System.nanoTime() - startNanos < 1_000_000_000L);
    }

    /**
     * A session that has received a part of a query is not idle, however short the idle timeout.
     */
    @Test
    void sessionWithIncompleteQueryIsNotClosedAsIdle() throws Exception {
        Client slow = support.connectClient().startSession();
        assertEquals(SERVED, slow.query(query("check", 1, 5000)));
        byte[] query = Client.queryMessage(query("check", 2, 5000));
        slow.write(Arrays.copyOf(query, query.length / 2));
        for (int i = 0; i < SocketTestSupport.MAX_CLIENTS / 2; i++) {
            support.connectClient().startSession();
        }
        Client idle = support.connectClient().startSession();
        assertEquals(SERVED, idle.query(query("check", 3, 5000)));
        assertEquals("E(57P05 closed after being idle) closed=true", idle.readAnswer());
        slow.write(Arrays.copyOfRange(query, query.length / 2, query.length));
        assertEquals(SERVED, slow.readAnswer());
    }

    /**
     * Clients that each send most of a large message are closed before memory runs out; others are
     * served.
     */
    @Test
    void incompleteMessagesOfAllClientsAreBounded() throws Exception {
        byte[] incompleteMessage =
                ByteBuffer.allocate(60_000).put((byte) 'Q').putInt(60_001).array();
        Client last = null;
        for (int i = 0; i < 20; i++) { // 1.2 MB, with a limit of 1 MB
            last = support.connectClient().startSession();
            last.write(incompleteMessage);
        }
        Client lastClient = last;
        SocketTestSupport.await(() -> isClosed(lastClient));
        assertEquals(SERVED, support.connectClient().startSession().query(query("check", 1, 5000)));
    }

    /** Returns whether the connection was closed or, if it had unread bytes, reset. */
    private static boolean isClosed(Client client) {
        try {
            return client.readAnswer().endsWith("closed=true");
        } catch (java.io.IOException e) {
            return e instanceof java.net.SocketException;
        }
    }
}
