package junipercourse.engine;

import static junipercourse.SocketTestSupport.CANCELLED;
import static junipercourse.SocketTestSupport.RUNNING;
import static junipercourse.SocketTestSupport.query;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.atomic.AtomicInteger;
import junipercourse.SocketTestSupport;
import junipercourse.StubEngine;
import junipercourse.core.Counters.Count;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** First pages of a result whose header does not state how many pages there are. */
class PageCountTest {
    private static final String FIRST_PAGE = "Content-Length: 6\r\n\r\na\tb\tc\n";
    private static final String FIRST_OF_TWO_PAGES =
            "HTTP/1.1 200 OK\r\nX-Fetches: 2\r\n" + FIRST_PAGE;
    private static final String SECOND_PAGE =
            "HTTP/1.1 200 OK\r\nX-Fetch: 1\r\nContent-Length: 6\r\n\r\nd\te\tf\n";
    private static final String BOTH_PAGES_SERVED = "T D(a b c) D(d e f) C(SELECT 2)";

    private final SocketTestSupport support;

    PageCountTest() throws Exception {
        support = new SocketTestSupport();
    }

    @AfterEach
    void close() throws Exception {
        support.close();
    }

    private static String firstPageWith(String headerLines) {
        return "HTTP/1.1 200 OK\r\n" + headerLines.replace("~", "\r\n") + FIRST_PAGE;
    }

    /** Guards against serving page 0 alone as the complete result when its page count is lost. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "X-Fetchqs: 2~",
                "X-Fetches : 2~",
                "X-Fetches:~",
                "X-Fetches: two~",
                "X-Fetches: 0~",
                "X-Fetches: 99999999999~",
                "X-Fetches: 2~X-Fetches: 1~"
            })
    void firstPageIsFetchedAgainWhenItsPageCountIsMissingOrUnreadable(String headerLines)
            throws Exception {
        StubEngine engine =
                support.startEngine(
                        1,
                        call ->
                                call.startsWith("POST")
                                        ? firstPageWith(headerLines)
                                        : call.endsWith("/0") ? FIRST_OF_TWO_PAGES : SECOND_PAGE);
        assertEquals(
                BOTH_PAGES_SERVED,
                support.connectClient().startSession().query(query("load", 1, 9000)));
        assertEquals(1, engine.countCalls("POST"));
        assertEquals(1, support.counters.get(Count.ENGINES_GARBLED));
    }

    /** The same fault in the answer to a poll. */
    @Test
    void polledFirstPageIsFetchedAgainWhenItsPageCountIsMissing() throws Exception {
        AtomicInteger polls = new AtomicInteger();
        StubEngine engine =
                support.startEngine(
                        1,
                        call -> {
                            if (call.startsWith("POST")) {
                                return RUNNING;
                            } else if (call.endsWith("/1")) {
                                return SECOND_PAGE;
                            }
                            return polls.incrementAndGet() == 2
                                    ? firstPageWith("")
                                    : polls.get() > 2 ? FIRST_OF_TWO_PAGES : RUNNING;
                        });
        assertEquals(
                BOTH_PAGES_SERVED,
                support.connectClient().startSession().query(query("check", 1, 7000)));
        assertEquals(1, engine.countCalls("POST"));
    }

    /** A result whose page count never arrives fails, with no row. */
    @ParameterizedTest
    @ValueSource(strings = {"check", "load"})
    void queryFailsWithoutRowsWhenThePageCountIsAlwaysMissing(String queryClass) throws Exception {
        support.startEngine(1, call -> call.startsWith("DELETE") ? CANCELLED : firstPageWith(""));
        String answer = support.connectClient().startSession().query(query(queryClass, 1, 7000));
        assertTrue(answer.startsWith("E(5"), answer);
        assertEquals(0, support.counters.get(Count.QUERIES_SERVED));
    }
}
