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
import junipercourse.Client;
import junipercourse.SocketTestSupport;
import junipercourse.StubEngine;
import junipercourse.core.Counters.Count;
import junipercourse.decision.api.EngineStage;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Responses that are truncated, declare a wrong length or never end: what they cost, and what the
 * client receives.
 */
class MalformedResponseTest {
    private static final String OK_HEAD = "HTTP/1.1 200 OK~X-Fetches: 1~";
    private static final String CHUNKED_HEAD = OK_HEAD + "Transfer-Encoding: chunked~~";
    private static final String TWO_ROWS =
            "HTTP/1.1 200 OK~X-Fetches: 1~Content-Length: 12~~a\tb\tc\nd\te\tf\n";
    private static final String FIRST_OF_TWO_PAGES =
            "HTTP/1.1 200 OK~X-Fetches: 2~Content-Length: 6~~a\tb\tc\n";
    private static final String SECOND_PAGE =
            "HTTP/1.1 200 OK~X-Fetch: 1~Content-Length: 6~~d\te\tf\n";
    private static final String SERVED = "T D(a b c) D(d e f) C(SELECT 2)";

    /** Covers the size limit of a response and the system's socket buffers on both sides. */
    private static final long MAX_SENT_BYTES = 16 << 20;

    private static final long SECOND_NANOS = 1_000_000_000L;

    private final SocketTestSupport support;

    MalformedResponseTest() throws Exception {
        support = new SocketTestSupport();
    }

    @AfterEach
    void close() throws Exception {
        support.close();
    }

    private static String unescaped(String text) {
        return text.replace("~", "\r\n");
    }

    /**
     * Sends the first section of a scripted response, then closes if the next one is {@code end} or
     * repeats it forever; {@code slowly} repeats the third section with pauses.
     */
    private static final class MalformedEngine extends StubEngine {
        private final AtomicLong sentBytes = new AtomicLong();

        MalformedEngine(Function<String, String> script) throws IOException {
            super(script);
        }

        @Override
        protected void send(Socket socket, String call, String answer) throws IOException {
            String[] sections = unescaped(answer).split("\\|");
            write(socket, sections[0]);
            if (sections.length == 1) {
                return;
            }
            if (sections[1].equals("end")) {
                socket.close();
                return;
            }
            boolean isSlow = sections[1].equals("slowly");
            String repeatedText =
                    isSlow
                            ? sections[2]
                            : sections[1].repeat(Math.max(1, 4096 / sections[1].length()));
            while (true) {
                SocketTestSupport.sleepMillis(isSlow ? 40 : 0);
                write(socket, repeatedText);
            }
        }

        private void write(Socket socket, String text) throws IOException {
            OutputStream output = socket.getOutputStream();
            output.write(text.getBytes(StandardCharsets.ISO_8859_1));
            sentBytes.addAndGet(text.length());
        }
    }

    private MalformedEngine startEngine(Function<String, String> script) throws IOException {
        MalformedEngine engine =
                new MalformedEngine(
                        call -> call.startsWith("DELETE") ? CANCELLED : script.apply(call));
        support.updateEndpointAndWait(1, engine, EngineStage.READY);
        return engine;
    }

    /**
     * Rejected by its bytes at once, within the size limit; the engine repeats the full response.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 |x",
                OK_HEAD + "X: |x",
                OK_HEAD + "|X: 1~",
                CHUNKED_HEAD + "|1~x~",
                CHUNKED_HEAD + "1~x~0~|T: 1~",
                CHUNKED_HEAD + "|6;a=b;c=d;e=f;g=h;i=j~a\tb\tc\n~",
                CHUNKED_HEAD + "ffffffff~|x",
                "HTTP/1.1 100 Continue~~|HTTP/1.1 100 Continue~~",
                "HTTP/1.1 103 Hints~|Link: 1~",
                OK_HEAD + "Content-Length: 2147483647~~|a\tb\tc\n",
                OK_HEAD + "Content-Length: +12~~a\tb\tc\nd\te\tf\n"
            })
    void endlessResponseIsRejectedAtLimitAndPolledAgain(String malformed) throws Exception {
        try (MalformedEngine engine =
                startEngine(call -> call.startsWith("POST") ? malformed : TWO_ROWS)) {
            assertEquals(
                    SERVED, support.connectClient().startSession().query(query("load", 1, 9000)));
            assertEquals(1, engine.countCalls("POST"));
            assertEquals(
                    1,
                    support.counters.get(Count.ENGINES_GARBLED),
                    "rejected by its length, not by a timeout");
            assertTrue(
                    engine.sentBytes.get() < MAX_SENT_BYTES,
                    "sent " + engine.sentBytes.get() + " bytes");
        }
    }

    /** Bytes received do not extend the response timeout: a stalled or slow response is lost. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 |slowly|O",
                OK_HEAD + "|slowly|X: 1~",
                CHUNKED_HEAD + "|slowly|1~x~",
                OK_HEAD + "Content-Length: 6000~~|slowly|a\tb\tc\n",
                "HTTP/1.1 102 Wait~|slowly|X: 1~",
                "HTTP/1.1 20",
                OK_HEAD,
                OK_HEAD + "Content-Le",
                OK_HEAD + "Content-Length: 12~~a\tb\tc\nd\te",
                OK_HEAD + "Content-Length: 13~~a\tb\tc\nd\te\tf\n",
                CHUNKED_HEAD + "6~a\tb\tc\n~",
                CHUNKED_HEAD + "0~"
            })
    void stalledOrSlowResponseCostsOneCallTimeout(String malformed) throws Exception {
        try (MalformedEngine engine =
                startEngine(call -> call.startsWith("POST") ? malformed : TWO_ROWS)) {
            Client client = support.connectClient().startSession();
            long startNanos = System.nanoTime();
            assertEquals(SERVED, client.query(query("load", 1, 9000)));
            assertTrue(System.nanoTime() - startNanos < 6 * SECOND_NANOS);
            assertEquals(1, engine.countCalls("POST"));
        }
    }

    /** A response cut by a close, or declared shorter than its rows, is not complete. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                OK_HEAD + "Content-Length: 12~~a\tb\tc\n|end",
                CHUNKED_HEAD + "6~a\tb\tc\n~|end",
                OK_HEAD + "|end",
                OK_HEAD + "~a\tb\tc\n|end",
                OK_HEAD + "Content-Length: 6~~a\tb\tc\nd\te\tf\n",
                OK_HEAD + "Content-Length: 9~~a\tb\tc\nd\te\tf\n",
                OK_HEAD + "Content-Length: 0~~a\tb\tc\nd\te\tf\n",
                OK_HEAD + "Content-Length: 11~~a\tb\tc\nd\te\tf\n",
                OK_HEAD + "Content-Length: 6~Content-Length: 12~~a\tb\tc\n",
                CHUNKED_HEAD + "6~a\tb\tc\n~0~~d\te\tf\n"
            })
    void truncatedResultIsNeverReturnedAsComplete(String malformed) throws Exception {
        try (MalformedEngine engine =
                startEngine(call -> call.startsWith("POST") ? malformed : TWO_ROWS)) {
            assertEquals(
                    SERVED, support.connectClient().startSession().query(query("load", 1, 9000)));
            assertEquals(1, engine.countCalls("POST"));
        }
    }

    /** The same faults in a later page, which the engine still has. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK~X-Fetch: 1~Content-Length: 6~~d\te|slowly|x",
                "HTTP/1.1 200 OK~X-Fetch: 1~Content-Length: 6~~d\te|end",
                "HTTP/1.1 200 OK~X-Fetch: 1~|X: 1~",
                "HTTP/1.1 200 OK~X-Fetch: 1~Content-Length: 0~~d\te\tf\n",
                FIRST_OF_TWO_PAGES,
                "HTTP/1.1 200 OK~X-Fetch: 1~Content-Length: 7~~d\te\tf\n",
                "HTTP/1.1 202 Accepted~Content-Length: 0~~",
                "HTTP/1.1 204 No Content~~"
            })
    void malformedPageIsFetchedAgain(String malformed) throws Exception {
        AtomicLong pageRequests = new AtomicLong();
        try (MalformedEngine engine =
                startEngine(
                        call ->
                                call.startsWith("POST")
                                        ? FIRST_OF_TWO_PAGES
                                        : pageRequests.incrementAndGet() == 1
                                                ? malformed
                                                : SECOND_PAGE)) {
            Client client = support.connectClient().startSession();
            long startNanos = System.nanoTime();
            assertEquals(SERVED, client.query(query("load", 1, 9000)));
            assertTrue(System.nanoTime() - startNanos < 3 * SECOND_NANOS);
            assertEquals(1, engine.countCalls("POST"));
            assertTrue(
                    engine.sentBytes.get() < MAX_SENT_BYTES,
                    "sent " + engine.sentBytes.get() + " bytes");
        }
    }

    /** A result that no engine returns complete fails well before the client's timeout. */
    @ParameterizedTest
    @CsvSource({
        "load,65,6",
        "load,2147483647,6",
        "load,0,6",
        "load,-1,6",
        "load,64,5999",
        "check,65,6"
    })
    void oversizedResultFailsWithoutRows(String queryClass, int pages, int size) throws Exception {
        String row = "a\tb\t" + "c".repeat(size - 5) + "\n";
        try (MalformedEngine engine =
                startEngine(
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
            Client client = support.connectClient().startSession();
            String answer = client.query(query(queryClass, 1, 7000));
            assertTrue(answer.startsWith("E(5"), answer);
            assertEquals(0, support.counters.get(Count.QUERIES_SERVED));
            assertEquals(0, support.counters.get(Count.QUERIES_LAST_MOMENT));
            SocketTestSupport.await(
                    () -> support.counters.get(Count.ENDS_ERROR) == engine.countCalls("POST"));
        }
    }

    /** Results up to these limits are returned; the largest of the protocol has 48,000 bytes. */
    @Test
    void largestResultIsReturnedCompletely() throws Exception {
        String row = "a\tb\t" + "c".repeat(5994) + "\n";
        try (MalformedEngine engine =
                startEngine(
                        call ->
                                "HTTP/1.1 200 OK~Content-Length: 5999~"
                                        + (call.startsWith("POST")
                                                ? "X-Fetches: 8"
                                                : "X-Fetch: "
                                                        + call.substring(call.lastIndexOf('/') + 1))
                                        + "~~"
                                        + row)) {
            String answer = support.connectClient().startSession().query(query("load", 1, 9000));
            assertTrue(answer.endsWith("C(SELECT 8)"), answer.substring(0, 20));
            assertEquals(1, engine.countCalls("POST"));
        }
    }
}
