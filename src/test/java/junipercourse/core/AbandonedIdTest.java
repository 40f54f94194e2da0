package junipercourse.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import junipercourse.Client;
import junipercourse.SocketTestSupport;
import junipercourse.StubEngine;
import junipercourse.core.Counters.Count;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against running a query again when its id comes again after its client has left. */
class AbandonedIdTest {
    private static final String CONFIG =
            SocketTestSupport.CONFIG
                    .replace("\"class_threads\":[1,2]", "\"class_threads\":[1,2,1]")
                    .replace(
                            "\"grades\":[",
                            "\"grades\":[{\"name\":\"note\",\"effect\":\"once\","
                                    + "\"goal_time_s\":1.5,\"deadline_s\":7.5},");

    private final SocketTestSupport support = new SocketTestSupport(CONFIG, 512);

    AbandonedIdTest() throws Exception {}

    @AfterEach
    void close() throws Exception {
        support.close();
    }

    private static String answer(String call) {
        return call.startsWith("DELETE") ? SocketTestSupport.CANCELLED : SocketTestSupport.RUNNING;
    }

    /** A query that may be repeated runs again; after a cancel as after a close. */
    @ParameterizedTest
    @CsvSource({"note,close,1", "load,close,1", "check,close,2", "note,cancel,1"})
    void queryRunsAgainOnlyIfItMay(String queryClass, String departure, int attempts)
            throws Exception {
        StubEngine engine = support.startEngine(1, AbandonedIdTest::answer);
        Client first = support.connectClient().startSession();
        first.write(Client.queryMessage(SocketTestSupport.query(queryClass, 1, 5000)));
        SocketTestSupport.await(() -> engine.countCalls("POST") == 1);
        if (departure.equals("cancel")) {
            first.cancel();
        }
        first.close();
        SocketTestSupport.await(() -> support.counters.get(Count.ENDS_CANCELLED) == 1);

        Client second = support.connectClient().startSession();
        second.write(Client.queryMessage(SocketTestSupport.query(queryClass, 1, 1000)));
        String answer = second.readAnswer();

        assertEquals(attempts, engine.countCalls("POST"), answer);
        assertTrue(attempts == 2 || answer.startsWith("E(55006 req: "), answer);
    }

    /** An id whose query no engine has seen may come again. */
    @ParameterizedTest
    @CsvSource({"note", "load"})
    void queryThatWasNotSentRunsWhenItComesAgain(String queryClass) throws Exception {
        try (Client first = support.connectClient().startSession()) {
            first.write(Client.queryMessage(SocketTestSupport.query(queryClass, 1, 5000)));
            SocketTestSupport.await(() -> support.counters.get(Count.QUERIES_TAKEN) == 1);
        }
        SocketTestSupport.await(() -> support.counters.get(Count.CLIENTS_LEFT) == 1);
        StubEngine engine = support.startEngine(1, call -> SocketTestSupport.OK);
        String answer =
                support.connectClient()
                        .startSession()
                        .query(SocketTestSupport.query(queryClass, 1, 5000));
        assertTrue(answer.startsWith("T "), answer);
        assertEquals(1, engine.countCalls("POST"));
    }
}
