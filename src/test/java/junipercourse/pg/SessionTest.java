package junipercourse.pg;

import static junipercourse.SocketTestSupport.query;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.Arrays;
import junipercourse.SocketTestSupport;
import junipercourse.SocketTestSupport.Client;
import junipercourse.SocketTestSupport.StubEngine;
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

    /**
     * A client that asks on and on and does not read is no longer read from; nobody else is harmed.
     */
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
        for (int i = 0; i < 1000; i++) { // and once it reads, it gets what it asked for
            assertTrue(nonReadingClient.readAnswer().startsWith("T D(clients accepted "));
        }
    }

    /** What cannot be taken is answered or closed, reaches no engine and harms nobody else. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "00000008ffffffff | E(08P01 protocol version 65535.65535 is not spoken here)"
                        + " closed=true",
                "7fffffff00030000 | E(08P01 a message of 2147483647 bytes) closed=true",
                "0000000900030000 00 | E(08P01 the start-up packet names no user) closed=true",
                "start 51ffffffff | E(08P01 a message of 4294967295 bytes) closed=true",
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

    /**
     * Whoever connects and never asks, or begins a message and never ends it, is closed within 3 s.
     */
    @ParameterizedTest
    @CsvSource({
        "'', closed=true",
        "0000, closed=true",
        "start, E(57014 no query came in time) closed=true",
        "start 5100000010, E(08P01 a message without its end) closed=true",
        "asked 5100000010, E(08P01 a message without its end) closed=true"
    })
    void connectionIsClosedAfterInputTimeout(String sent, String expected) throws Exception {
        Client client = support.connectClient();
        if (!sent.isEmpty() && sent.charAt(0) != '0') {
            client.startSession();
        }
        if (sent.startsWith("asked")) {
            assertEquals(SERVED, client.query(query("check", 1, 5000)));
        }
        client.write(java.util.HexFormat.of().parseHex(sent.replaceAll("[a-z]* ?(?=[0-9]|$)", "")));
        long startNanos = System.nanoTime();
        assertTrue(client.readAnswer().endsWith(expected));
        assertTrue(System.nanoTime() - startNanos < 2_900_000_000L);
    }

    /**
     * Clients that hold their connections, whether they ever asked or not, leave room for those
     * that ask.
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
     * Clients may not open more than so many: what is idle is closed early once they come near
     * that.
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

    /** A query of which a part has come is not idle, however short the time that idle ones get. */
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
     * Many that each send most of a large message are turned away before memory runs out; others go
     * on.
     */
    @Test
    void incompleteMessagesOfAllClientsAreBounded() throws Exception {
        byte[] incompleteMessage =
                ByteBuffer.allocate(60_000).put((byte) 'Q').putInt(60_001).array();
        Client last = null;
        for (int i = 0; i < 20; i++) { // 1.2 MB, of 1 MB that may be held
            last = support.connectClient().startSession();
            last.write(incompleteMessage);
        }
        Client lastClient = last;
        SocketTestSupport.await(() -> isClosed(lastClient));
        assertEquals(SERVED, support.connectClient().startSession().query(query("check", 1, 5000)));
    }

    /** Closed in order or, with bytes of its own still unread, reset. */
    private static boolean isClosed(Client client) {
        try {
            return client.readAnswer().endsWith("closed=true");
        } catch (java.io.IOException e) {
            return e instanceof java.net.SocketException;
        }
    }
}
