package junipercourse.pg;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import junipercourse.Client;
import junipercourse.SocketTestSupport;
import junipercourse.StubEngine;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against counting a query's time from when it was read, if reading had been stopped before
 * it arrived: the answer would come after its client has stopped waiting.
 */
class UnreadQueryDeadlineTest {
    private static final int EMPTY_QUERIES = 60_000;
    private static final int TIMEOUT_MILLIS = 7000;

    /** The query must have been unread for long enough to tell the two times apart. */
    private static final long MIN_UNREAD_MILLIS = 300;

    /** Every time limit on sockets is longer by this. */
    private static final long TOLERANCE_MILLIS = 50;

    private final SocketTestSupport support = new SocketTestSupport();
    private volatile long sentAtNanos;

    UnreadQueryDeadlineTest() throws Exception {}

    @AfterEach
    void close() throws Exception {
        support.close();
    }

    @Test
    void timeOfAQueryBehindAFloodCountsFromItsArrival() throws Exception {
        StubEngine engine =
                support.startEngine(
                        1,
                        call -> {
                            sentAtNanos = System.nanoTime();
                            return SocketTestSupport.OK;
                        });
        Client client = support.connectClient().startSession();
        SocketTestSupport.startDaemon(() -> client.socket.getInputStream().readAllBytes());
        client.write(emptyQueries());
        client.write(Client.queryMessage(SocketTestSupport.query("check", 1, TIMEOUT_MILLIS)));
        long writtenAtNanos = System.nanoTime();
        SocketTestSupport.await(() -> engine.countCalls("POST") == 1, TIMEOUT_MILLIS);

        long unreadMillis = (sentAtNanos - writtenAtNanos) / 1_000_000;
        int limitMillis = engine.limitsMillis.get(0);
        assertTrue(unreadMillis > MIN_UNREAD_MILLIS, "sent " + unreadMillis + " ms later");
        assertTrue(
                limitMillis + unreadMillis <= TIMEOUT_MILLIS + TOLERANCE_MILLIS,
                "sent " + unreadMillis + " ms later with " + limitMillis + " ms left");
    }

    private static byte[] emptyQueries() {
        byte[] message = Client.queryMessage(" ");
        ByteBuffer messages = ByteBuffer.allocate(message.length * EMPTY_QUERIES);
        for (int i = 0; i < EMPTY_QUERIES; i++) {
            messages.put(message);
        }
        return messages.array();
    }
}
