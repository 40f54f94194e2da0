package junipercourse.engine;

import static junipercourse.SocketTestSupport.CANCELLED;
import static junipercourse.SocketTestSupport.query;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import junipercourse.SocketTestSupport;
import junipercourse.SocketTestSupport.Client;
import junipercourse.SocketTestSupport.StubEngine;
import junipercourse.core.Counters.Count;
import junipercourse.decision.api.EngineStage;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Answers that are cut, lie about their length or never end: what they cost, and what the client is
 * told.
 */
class MalformedResponseTest {
    private static final String HEAD = "HTTP/1.1 200 OK~X-Fetches: 1~";
    private static final String CHUNKS = HEAD + "Transfer-Encoding: chunked~~";
    private static final String TWO_ROWS =
            "HTTP/1.1 200 OK~X-Fetches: 1~Content-Length: 12~~a\tb\tc\nd\te\tf\n";
    private static final String FIRST_OF_TWO =
            "HTTP/1.1 200 OK~X-Fetches: 2~Content-Length: 6~~a\tb\tc\n";
    private static final String SECOND = "HTTP/1.1 200 OK~X-Fetch: 1~Content-Length: 6~~d\te\tf\n";
    private static final String SERVED = "T D(a b c) D(d e f) C(SELECT 2)";

    /** Of an answer's bound, and what the system holds of a connection on either side. */
    private static final long MOST_SENT = 16 << 20;

    private static final long SECOND_NS = 1_000_000_000L;

    private final SocketTestSupport bench;

    MalformedResponseTest() throws Exception {
        bench = new SocketTestSupport();
    }

    @AfterEach
    void close() throws Exception {
        bench.close();
    }

    private static String raw(String text) {
        return text.replace("~", "\r\n");
    }

    /**
     * One whose answers are spoilt by a word before them: {@code end} closes, the others go on for
     * good.
     */
    private static final class MalformedEngine extends StubEngine {
        private final AtomicLong sent = new AtomicLong();

        MalformedEngine(Function<String, String> script) throws IOException {
            super(script);
        }

        @Override
        protected void send(Socket s, String call, String answer) throws IOException {
            String[] parts = raw(answer).split("\\|");
            write(s, parts[0]);
            if (parts.length == 1) {
                return;
            }
            if (parts[1].equals("end")) {
                s.close();
                return;
            }
            boolean slowly = parts[1].equals("slowly");
            String more =
                    slowly ? parts[2] : parts[1].repeat(Math.max(1, 4096 / parts[1].length()));
            while (true) {
                SocketTestSupport.sleepMillis(slowly ? 40 : 0);
                write(s, more);
            }
        }

        private void write(Socket s, String text) throws IOException {
            OutputStream out = s.getOutputStream();
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            sent.addAndGet(text.length());
        }
    }

    private MalformedEngine engine(Function<String, String> script) throws IOException {
        MalformedEngine e =
                new MalformedEngine(
                        call -> call.startsWith("DELETE") ? CANCELLED : script.apply(call));
        bench.updateEndpointAndWait(1, e, EngineStage.READY);
        return e;
    }

    /** Told by its bytes, at once, and within a bound; the engine gives the whole answer again. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 |x",
                HEAD + "X: |x",
                HEAD + "|X: 1~",
                CHUNKS + "|1~x~",
                CHUNKS + "1~x~0~|T: 1~",
                CHUNKS + "|6;a=b;c=d;e=f;g=h;i=j~a\tb\tc\n~",
                CHUNKS + "ffffffff~|x",
                "HTTP/1.1 100 Continue~~|HTTP/1.1 100 Continue~~",
                "HTTP/1.1 103 Hints~|Link: 1~",
                HEAD + "Content-Length: 2147483647~~|a\tb\tc\n",
                HEAD + "Content-Length: +12~~a\tb\tc\nd\te\tf\n"
            })
    void whatNeverEndsIsToldAtItsBoundAndAskedForAgain(String spoilt) throws Exception {
        try (MalformedEngine e = engine(call -> call.startsWith("POST") ? spoilt : TWO_ROWS)) {
            assertEquals(
                    SERVED, bench.connectClient().startSession().query(query("load", 1, 9000)));
            assertEquals(1, e.countCalls("POST"));
            assertEquals(
                    1,
                    bench.counters.get(Count.ENGINES_GARBLED),
                    "told by its length, not by time");
            assertTrue(e.sent.get() < MOST_SENT, "took " + e.sent.get() + " bytes");
        }
    }

    /**
     * No byte of an answer gives it more time: what stops or dribbles is lost when its time is up.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 |slowly|O",
                HEAD + "|slowly|X: 1~",
                CHUNKS + "|slowly|1~x~",
                HEAD + "Content-Length: 6000~~|slowly|a\tb\tc\n",
                "HTTP/1.1 102 Wait~|slowly|X: 1~",
                "HTTP/1.1 20",
                HEAD,
                HEAD + "Content-Le",
                HEAD + "Content-Length: 12~~a\tb\tc\nd\te",
                HEAD + "Content-Length: 13~~a\tb\tc\nd\te\tf\n",
                CHUNKS + "6~a\tb\tc\n~",
                CHUNKS + "0~"
            })
    void whatStopsOrDribblesCostsTheTimeOfOneCall(String spoilt) throws Exception {
        try (MalformedEngine e = engine(call -> call.startsWith("POST") ? spoilt : TWO_ROWS)) {
            Client client = bench.connectClient().startSession();
            long from = System.nanoTime();
            assertEquals(SERVED, client.query(query("load", 1, 9000)));
            assertTrue(System.nanoTime() - from < 6 * SECOND_NS);
            assertEquals(1, e.countCalls("POST"));
        }
    }

    /**
     * An answer cut by its connection's end, or of fewer rows than come with it, is no whole one.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                HEAD + "Content-Length: 12~~a\tb\tc\n|end",
                CHUNKS + "6~a\tb\tc\n~|end",
                HEAD + "|end",
                HEAD + "~a\tb\tc\n|end",
                HEAD + "Content-Length: 6~~a\tb\tc\nd\te\tf\n",
                HEAD + "Content-Length: 9~~a\tb\tc\nd\te\tf\n",
                HEAD + "Content-Length: 0~~a\tb\tc\nd\te\tf\n",
                HEAD + "Content-Length: 11~~a\tb\tc\nd\te\tf\n",
                HEAD + "Content-Length: 6~Content-Length: 12~~a\tb\tc\n",
                CHUNKS + "6~a\tb\tc\n~0~~d\te\tf\n"
            })
    void partOfAResultIsNeverToldAsAll(String spoilt) throws Exception {
        try (MalformedEngine e = engine(call -> call.startsWith("POST") ? spoilt : TWO_ROWS)) {
            assertEquals(
                    SERVED, bench.connectClient().startSession().query(query("load", 1, 9000)));
            assertEquals(1, e.countCalls("POST"));
        }
    }

    /** The same in a further page, which the engine still has. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK~X-Fetch: 1~Content-Length: 6~~d\te|slowly|x",
                "HTTP/1.1 200 OK~X-Fetch: 1~Content-Length: 6~~d\te|end",
                "HTTP/1.1 200 OK~X-Fetch: 1~|X: 1~",
                "HTTP/1.1 200 OK~X-Fetch: 1~Content-Length: 0~~d\te\tf\n",
                FIRST_OF_TWO,
                "HTTP/1.1 200 OK~X-Fetch: 1~Content-Length: 7~~d\te\tf\n",
                "HTTP/1.1 202 Accepted~Content-Length: 0~~",
                "HTTP/1.1 204 No Content~~"
            })
    void aSpoiltPageIsGotAgain(String spoilt) throws Exception {
        AtomicLong pages = new AtomicLong();
        try (MalformedEngine e =
                engine(
                        call ->
                                call.startsWith("POST")
                                        ? FIRST_OF_TWO
                                        : pages.incrementAndGet() == 1 ? spoilt : SECOND)) {
            Client client = bench.connectClient().startSession();
            long from = System.nanoTime();
            assertEquals(SERVED, client.query(query("load", 1, 9000)));
            assertTrue(System.nanoTime() - from < 3 * SECOND_NS);
            assertEquals(1, e.countCalls("POST"));
            assertTrue(e.sent.get() < MOST_SENT, "took " + e.sent.get() + " bytes");
        }
    }

    /** What no engine ever gives whole ends in an error well before the client's time is up. */
    @ParameterizedTest
    @CsvSource({
        "load,65,6",
        "load,2147483647,6",
        "load,0,6",
        "load,-1,6",
        "load,64,5999",
        "check,65,6"
    })
    void aResultPastItsBoundsIsAnErrorAndNoRow(String kind, int pages, int size) throws Exception {
        String row = "a\tb\t" + "c".repeat(size - 5) + "\n";
        try (MalformedEngine e =
                engine(
                        call ->
                                "HTTP/1.1 200 OK~Content-Length: "
                                        + size
                                        + "~"
                                        + (call.startsWith("POST") || call.endsWith("/0")
                                                ? "X-Fetches: " + pages
                                                : "X-Fetch: "
                                                        + call.substring(call.lastIndexOf('/') + 1))
                                        + "~~"
                                        + row)) {
            Client client = bench.connectClient().startSession();
            String answer = client.query(query(kind, 1, 7000));
            assertTrue(answer.startsWith("E(5"), answer);
            assertEquals(0, bench.counters.get(Count.QUERIES_SERVED));
            assertEquals(0, bench.counters.get(Count.QUERIES_LAST_MOMENT));
            SocketTestSupport.await(
                    () -> bench.counters.get(Count.ENDS_ERROR) == e.countCalls("POST"));
        }
    }

    /**
     * Large results pass whole up to those bounds, though the protocol's largest has 48,000 bytes.
     */
    @Test
    void theLargestResultPassesWhole() throws Exception {
        String row = "a\tb\t" + "c".repeat(5994) + "\n";
        try (MalformedEngine e =
                engine(
                        call ->
                                "HTTP/1.1 200 OK~Content-Length: 5999~"
                                        + (call.startsWith("POST")
                                                ? "X-Fetches: 8"
                                                : "X-Fetch: "
                                                        + call.substring(call.lastIndexOf('/') + 1))
                                        + "~~"
                                        + row)) {
            String answer = bench.connectClient().startSession().query(query("load", 1, 9000));
            assertTrue(answer.endsWith("C(SELECT 8)"), answer.substring(0, 20));
            assertEquals(1, e.countCalls("POST"));
        }
    }
}
