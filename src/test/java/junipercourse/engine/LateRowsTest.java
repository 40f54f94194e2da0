package junipercourse.engine;

import static junipercourse.SocketTestSupport.CANCELLED;
import static junipercourse.SocketTestSupport.query;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import junipercourse.SocketTestSupport;
import junipercourse.StubEngine;
import junipercourse.core.Counters.Count;
import junipercourse.decision.api.EngineStage;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against serving a page without the rows that come behind its declared length in a later
 * read, before the answer has gone out.
 */
class LateRowsTest {
    /** The most that the dispatcher reads at once: the bytes behind them come in a later read. */
    private static final int READ_BYTES = 16 * 1024;

    private static final int PADDING_LINE_BYTES = 2000;
    private static final int PAGE_COUNT = 3;
    private static final String SERVED =
            "T "
                    + IntStream.range(0, 2 * PAGE_COUNT)
                            .mapToObj(row -> "D(r" + row + " b c)")
                            .collect(Collectors.joining(" "))
                    + " C(SELECT 6)";

    private final SocketTestSupport support = new SocketTestSupport();

    LateRowsTest() throws Exception {}

    @AfterEach
    void close() throws Exception {
        support.close();
    }

    /** Writes a response and what comes behind it while the dispatcher does not read. */
    private final class LateRowsEngine extends StubEngine {
        LateRowsEngine(Function<String, String> script) throws IOException {
            super(script);
        }

        @Override
        protected void send(Socket connection, String call, String answer) throws IOException {
            Runnable release = support.blockLoop();
            super.send(connection, call, answer);
            release.run();
        }
    }

    private static int pageNumber(String call) {
        return call.startsWith("POST")
                ? 0
                : Integer.parseInt(call.substring(call.lastIndexOf('/') + 1));
    }

    private static String row(int page, int index) {
        return "r" + (2 * page + index) + "\tb\tc\n";
    }

    private static String page(int number, int declaredLength, String rows, String header) {
        return "HTTP/1.1 200 OK\r\n"
                + (number == 0 ? "X-Fetches: " + PAGE_COUNT : "X-Fetch: " + number)
                + "\r\n"
                + header
                + "Content-Length: "
                + declaredLength
                + "\r\n\r\n"
                + rows;
    }

    private static String goodPage(int number) {
        String rows = row(number, 0) + row(number, 1);
        return page(number, rows.length(), rows, "");
    }

    /** A page whose declared length ends with its first row. */
    private static String shortPage(int number, String lateBytes, String header) {
        String first = row(number, 0);
        return page(number, first.length(), first, header) + lateBytes;
    }

    /** The same page; of its late row, the first read of the dispatcher has some bytes. */
    private static String shortPageCutByReads(int number, int bytesInFirstRead, String header) {
        int padding = READ_BYTES - shortPage(number, "", header).length() - bytesInFirstRead;
        return shortPage(number, row(number, 1), header + paddingHeaders(padding));
    }

    private static String paddingHeaders(int totalBytes) {
        StringBuilder headers = new StringBuilder();
        for (int remaining = totalBytes; remaining > 0; remaining = totalBytes - headers.length()) {
            int lineBytes = remaining < 2 * PADDING_LINE_BYTES ? remaining : PADDING_LINE_BYTES;
            String name = "X-Padding: ";
            headers.append(name).append("x".repeat(lineBytes - name.length() - 2)).append("\r\n");
        }
        return headers.toString();
    }

    private void assertServedCompletely(Function<String, String> script) throws Exception {
        try (StubEngine engine = new LateRowsEngine(script)) {
            support.updateEndpointAndWait(1, engine, EngineStage.READY);
            assertEquals(
                    SERVED, support.connectClient().startSession().query(query("load", 1, 9000)));
            assertEquals(1, engine.countCalls("POST"));
        }
    }

    /** Each page in turn is short once; its other row comes in a later read, or most of it does. */
    @ParameterizedTest
    @CsvSource({
        "0,0,''",
        "1,0,''",
        "2,0,''",
        "0,0,Connection: close",
        "1,0,Connection: close",
        "2,0,Connection: close",
        "0,1,''",
        "1,2,''",
        "2,1,''",
        "2,1,Connection: close"
    })
    void shortPageIsFetchedAgain(int shortNumber, int bytesInFirstRead, String header)
            throws Exception {
        AtomicBoolean wasShort = new AtomicBoolean();
        String headerLine = header.isEmpty() ? "" : header + "\r\n";
        Function<String, String> script =
                call -> {
                    int number = pageNumber(call);
                    return number == shortNumber && !wasShort.getAndSet(true)
                            ? shortPageCutByReads(number, bytesInFirstRead, headerLine)
                            : goodPage(number);
                };
        assertServedCompletely(script);
        assertEquals(1, support.counters.get(Count.ENGINES_GARBLED));
    }

    /** Rows that come only once the next page is being fetched. */
    @ParameterizedTest
    @CsvSource({"0", "1"})
    void shortPageIsFetchedAgainWhenItsRowsComeWithTheNextCall(int shortNumber) throws Exception {
        AtomicBoolean wasShort = new AtomicBoolean();
        AtomicBoolean wasLate = new AtomicBoolean();
        Function<String, String> script =
                call -> {
                    int number = pageNumber(call);
                    if (number == shortNumber && !wasShort.getAndSet(true)) {
                        return shortPage(number, "", "");
                    }
                    return number == shortNumber + 1 && !wasLate.getAndSet(true)
                            ? row(shortNumber, 1) + goodPage(number)
                            : goodPage(number);
                };
        assertServedCompletely(script);
    }

    /** A page that is always short fails the query well before its timeout, and gives no row. */
    @ParameterizedTest
    @CsvSource({"0", "1", "2"})
    void queryFailsWithoutRowsWhenAPageIsAlwaysShort(int shortNumber) throws Exception {
        Function<String, String> script =
                call -> {
                    if (call.startsWith("DELETE")) {
                        return CANCELLED;
                    }
                    int number = pageNumber(call);
                    return number == shortNumber
                            ? shortPageCutByReads(number, 0, "")
                            : goodPage(number);
                };
        try (StubEngine engine = new LateRowsEngine(script)) {
            support.updateEndpointAndWait(1, engine, EngineStage.READY);
            String answer = support.connectClient().startSession().query(query("load", 1, 9000));
            assertTrue(answer.startsWith("E(5"), answer);
            assertEquals(0, support.counters.get(Count.QUERIES_LAST_MOMENT));
        }
    }
}
