package junipercourse.pg;

import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import junipercourse.Client;
import junipercourse.SocketTestSupport;
import junipercourse.StubEngine;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.RepeatedTest;

/**
 * Guards against letting messages that arrived during a stall wait for their turn: the order of
 * keys is taken as known once they have been read.
 */
class StallOrderTest {
    private static final int FLOODING_CLIENTS = 20;
    private static final int EMPTY_QUERIES = 8_000;
    private static final int LONG_STATEMENT_BYTES = 60_000;
    private static final long KEY_GAP_MILLIS = 100;
    private static final long STALL_REST_MILLIS = 300;

    private final SocketTestSupport support = new SocketTestSupport();

    StallOrderTest() throws Exception {}

    @AfterEach
    void close() throws Exception {
        support.close();
    }

    /**
     * The earlier query of the key is long, so that its turn would come after the later one's. It
     * may be refused, but not sent after the later one.
     */
    @RepeatedTest(5)
    void queriesOfAKeyKeepTheirOrderBesideAFloodDuringAStall() throws Exception {
        StubEngine engine = support.startEngine(1, call -> SocketTestSupport.OK);
        List<Client> flooding = new ArrayList<>();
        for (int i = 0; i < FLOODING_CLIENTS; i++) {
            flooding.add(support.connectClient().startSession());
        }
        Client earlier = support.connectClient().startSession();
        Client later = support.connectClient().startSession();
        Runnable release = support.blockLoop();
        byte[] emptyQueries = repeat(Client.queryMessage(" "), EMPTY_QUERIES);
        for (Client client : flooding) {
            SocketTestSupport.startDaemon(() -> client.write(emptyQueries));
        }
        SocketTestSupport.sleepMillis(KEY_GAP_MILLIS);
        earlier.write(
                Client.queryMessage(
                        SocketTestSupport.query("load", 1, 9000)
                                + " -- "
                                + "x".repeat(LONG_STATEMENT_BYTES)));
        SocketTestSupport.sleepMillis(KEY_GAP_MILLIS);
        later.write(Client.queryMessage(SocketTestSupport.query("load", 2, 9000)));
        SocketTestSupport.sleepMillis(STALL_REST_MILLIS);
        release.run();

        String answers = earlier.readAnswer() + " / " + later.readAnswer();
        List<String> sent =
                engine.calls.stream()
                        .filter(call -> call.startsWith("POST"))
                        .map(call -> call.substring(call.length() - 1))
                        .toList();
        assertNotEquals(List.of("2", "1"), sent, answers);
    }

    private static byte[] repeat(byte[] message, int count) {
        ByteBuffer messages = ByteBuffer.allocate(message.length * count);
        for (int i = 0; i < count; i++) {
            messages.put(message);
        }
        return messages.array();
    }
}
