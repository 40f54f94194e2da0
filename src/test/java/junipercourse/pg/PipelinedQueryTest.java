package junipercourse.pg;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import junipercourse.Client;
import junipercourse.SocketTestSupport;
import junipercourse.StubEngine;
import junipercourse.StubEngines;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards the time and the key order of queries that are written behind an open query. */
class PipelinedQueryTest {
    private static final long WORK_MILLIS = 300;
    private static final int TIMEOUT_MILLIS = 1000;

    /** STANDING: up to 0.5 s after its time an answer only earns nothing; 50 ms on sockets. */
    private static final long MAX_LATE_MILLIS = 550;

    private static final int FIRST_BATCH = 6;
    private static final int LATER_QUERIES = 12;
    private static final long LATER_INTERVAL_MILLIS = 200;
    private static final long LOAD_INTERVAL_MILLIS = 120;
    private static final int KEY_ROUNDS = 3;

    private final SocketTestSupport support = new SocketTestSupport();
    private final List<String> begunIds = new ArrayList<>();

    PipelinedQueryTest() throws Exception {}

    @AfterEach
    void close() throws Exception {
        support.close();
    }

    private String answerAfterWork(String call) {
        if (call.startsWith("POST")) {
            synchronized (begunIds) {
                begunIds.add(StubEngines.queryId(call));
            }
            SocketTestSupport.sleepMillis(WORK_MILLIS);
        }
        return SocketTestSupport.OK;
    }

    /** The time of a query must not begin again with what is written behind it. */
    @Test
    void eachQueryIsAnsweredInItsOwnTime() throws Exception {
        support.startEngine(1, this::answerAfterWork);
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

    /** A load that is written behind an open query must not run after a newer one of its key. */
    @Test
    void loadBehindAnOpenQueryDoesNotOvertakeANewerOneOfItsKey() throws Exception {
        StubEngine engine = support.startEngine(1, this::answerAfterWork);
        Client first = support.connectClient().startSession();
        Client second = support.connectClient().startSession();
        second.query(" ");
        int served = 0;
        for (int round = 0; round < KEY_ROUNDS; round++) {
            int number = 10 * round;
            String older = SocketTestSupport.query("load", number + 2, 5000);
            String newer = SocketTestSupport.query("load", number + 3, 5000);
            first.write(
                    Client.queryMessage(SocketTestSupport.query("check", number + 1, 5000)),
                    Client.queryMessage(older));
            SocketTestSupport.sleepMillis(LOAD_INTERVAL_MILLIS);
            served += second.query(newer).startsWith("T ") ? 1 : 0;
            first.readAnswer();
            first.readAnswer();
            synchronized (begunIds) {
                int olderIndex = begunIds.indexOf("%016x".formatted(number + 2));
                int newerIndex = begunIds.indexOf("%016x".formatted(number + 3));
                assertTrue(
                        olderIndex < 0 || newerIndex < 0 || olderIndex < newerIndex,
                        "the older load began after the newer one: " + begunIds);
            }
        }
        assertEquals(KEY_ROUNDS, served, () -> "served loads; calls: " + engine.calls);
    }
}
