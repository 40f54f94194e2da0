package junipercourse.pg;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import junipercourse.Client;
import junipercourse.SocketTestSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards the time of queries that are written behind an open query. */
class PipelinedQueryTest {
    private static final long WORK_MILLIS = 300;
    private static final int TIMEOUT_MILLIS = 1000;

    /** STANDING: up to 0.5 s after its time an answer only earns nothing; 50 ms on sockets. */
    private static final long MAX_LATE_MILLIS = 550;

    private static final int FIRST_BATCH = 6;
    private static final int LATER_QUERIES = 12;
    private static final long LATER_INTERVAL_MILLIS = 200;

    private final SocketTestSupport support = new SocketTestSupport();

    PipelinedQueryTest() throws Exception {}

    @AfterEach
    void close() throws Exception {
        support.close();
    }

    private static String answerAfterWork(String call) {
        if (call.startsWith("POST")) {
            SocketTestSupport.sleepMillis(WORK_MILLIS);
        }
        return SocketTestSupport.OK;
    }

    /** The time of a query must not begin again with what is written behind it. */
    @Test
    void eachQueryIsAnsweredInItsOwnTime() throws Exception {
        support.startEngine(1, PipelinedQueryTest::answerAfterWork);
        Client client = support.connectClient().startSession();
        BlockingQueue<Long> writtenNanos = new LinkedBlockingQueue<>();
        SocketTestSupport.startDaemon(() -> writeQueries(client, writtenNanos));
        int served = 0;
        for (int i = 0; i < FIRST_BATCH + LATER_QUERIES; i++) {
            long written = writtenNanos.poll(TIMEOUT_MILLIS * 5L, TimeUnit.MILLISECONDS);
            served += client.readAnswer().startsWith("T ") ? 1 : 0;
            long millis = (System.nanoTime() - written) / 1_000_000;
            assertTrue(
                    millis <= TIMEOUT_MILLIS + MAX_LATE_MILLIS,
                    "query " + i + " was answered after " + millis + " ms");
        }
        assertTrue(served > 0, "no query was served");
    }

    private static void writeQueries(Client client, BlockingQueue<Long> writtenNanos)
            throws IOException {
        for (int i = 0; i < FIRST_BATCH + LATER_QUERIES; i++) {
            if (i >= FIRST_BATCH) {
                SocketTestSupport.sleepMillis(LATER_INTERVAL_MILLIS);
            }
            client.write(
                    Client.queryMessage(SocketTestSupport.query("check", i + 1, TIMEOUT_MILLIS)));
            writtenNanos.add(System.nanoTime());
        }
    }
}
