package junipercourse.engine;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import junipercourse.decision.api.LoadMetric;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class HttpResponseParserTest {
    private static String unescaped(String text) {
        return text.replace("~", "\r\n");
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "HTTP/1.1 202 Accepted~Content-Length: 0~~ | 202 '' true",
                "HTTP/1.1 200 OK~content-LENGTH:3~X-Fetches: 2~~abc | 200 'abc' true",
                "HTTP/1.1 200 OK~X-Fetches: 2~X-Fetches: 2~Via: a~Via: b~Content-Length: 0~~ | 200"
                        + " '' true",
                "HTTP/1.1 204 No Content~~ | 204 '' true",
                "HTTP/1.1 200~Content-Length: 1~Connection: close~~x | 200 'x' false",
                "HTTP/1.0 200 OK~Content-Length: 1~~x | 200 'x' false",
                "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~3;a=b~abc~2~de~0~T: x~~ | 200 'abcde'"
                        + " true",
                "HTTP/1.1 100 Continue~~HTTP/1.1 500 Oops~Content-Length: 2~~no | 500 'no' true",
                "HTTP/1.1 202 A~Content-Length: 0~~HTTP/1.1 204 B~~ | 202 '' true 204 '' true"
            })
    void responsesAreReadFromPiecesOfAnySize(String text, String expected)
            throws HttpResponseParser.MalformedResponseException {
        byte[] bytes = unescaped(text).getBytes(StandardCharsets.ISO_8859_1);
        for (int pieceSize = 1; pieceSize <= bytes.length; pieceSize++) {
            HttpResponseParser parser = new HttpResponseParser();
            List<String> responses = new ArrayList<>();
            for (int offset = 0; offset < bytes.length; offset += pieceSize) {
                ByteBuffer input =
                        ByteBuffer.wrap(bytes, offset, Math.min(pieceSize, bytes.length - offset));
                for (HttpResponse response = parser.read(input);
                        response != null;
                        response = parser.read(input)) {
                    responses.add(
                            response.status()
                                    + " '"
                                    + new String(response.body(), StandardCharsets.ISO_8859_1)
                                    + "' "
                                    + response.keepAlive());
                }
            }
            assertEquals(expected, String.join(" ", responses), "pieces of " + pieceSize);
            assertTrue(parser.isBetweenResponses());
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "SSH-2.0-x~",
                "HTTP/2 200 OK~",
                "HTTP/1.1 abc~",
                "HTTP/1.1 200 OK~no colon~",
                "HTTP/1.1 200 OK~~",
                "HTTP/1.1 200 OK~Content-Length: -1~~",
                "HTTP/1.1 200 OK~Content-Length: +1~~x",
                "HTTP/1.1 200 OK~Content-Length: -0~~",
                "HTTP/1.1 200 OK~Content-Length: ~~",
                "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~+1~x~",
                "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~~",
                "~",
                "HTTP/1.1 200 OK~: 1~",
                "HTTP/1.1 200 OK~Content-Length: 99999999~~",
                "HTTP/1.1 200 OK~Content-Length: x~~",
                "HTTP/1.1 200 OK~Content-Length: 1~Content-Length: 2~",
                "HTTP/1.1 200 OK~X-Fetches: 2~X-Fetches: 1~",
                "HTTP/1.1 200 OK~X-Fetch: 1~x-fetch: 2~",
                "HTTP/1.1 503 Full~X-Unrun: 0~X-Unrun: 1~",
                "HTTP/1.1 200 OK~Transfer-Encoding: gzip~Transfer-Encoding: chunked~",
                "HTTP/1.1 200 OK~Transfer-Encoding: gzip~~",
                "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~zz~",
                "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~1~xyz~"
            })
    void malformedResponseIsRejected(String text) {
        ByteBuffer input = ByteBuffer.wrap(unescaped(text).getBytes(StandardCharsets.ISO_8859_1));
        assertThrows(
                HttpResponseParser.MalformedResponseException.class,
                () -> new HttpResponseParser().read(input));
    }

    /**
     * Each row is the start and the repeated continuation of an endless response; {@code #} is
     * replaced by the number of the repetition.
     */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "HTTP/1.1 200 | x",
                "HTTP/1.1 200 OK~X: | x",
                "HTTP/1.1 200 OK~ | X-#: 1~",
                "HTTP/1.1 200 OK~ | X: 1~",
                "HTTP/1.1 200 OK~ | X: #~",
                "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~ | 1~x~",
                "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~ |"
                        + " 1;a=0123456789012345678901234567890123456789~x~",
                "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~ | 0",
                "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~0~ | T: 1~",
                "HTTP/1.1 100 Continue~~ | HTTP/1.1 100 Continue~~",
                "HTTP/1.1 100 Continue~ | X: 1~",
                "HTTP/1.1 204 None~ | X: 1~"
            })
    void endlessResponseIsRejectedWithinSizeLimit(String start, String continuation)
            throws Exception {
        HttpResponseParser parser = new HttpResponseParser();
        parser.read(ByteBuffer.wrap(unescaped(start).getBytes(StandardCharsets.ISO_8859_1)));
        int[] bytesFed = {start.length()};
        assertThrows(
                HttpResponseParser.MalformedResponseException.class,
                () -> {
                    for (int i = 0; bytesFed[0] < 2 * HttpResponseParser.MAX_RESPONSE_BYTES; i++) {
                        byte[] more =
                                unescaped(continuation.replace("#", "" + i))
                                        .getBytes(StandardCharsets.ISO_8859_1);
                        bytesFed[0] += more.length;
                        parser.read(ByteBuffer.wrap(more));
                    }
                });
        assertTrue(
                bytesFed[0] <= HttpResponseParser.MAX_RESPONSE_BYTES + 100,
                "rejected only after " + bytesFed[0]);
    }

    /** Earlier responses on the connection do not count towards the size limit of the next. */
    @Test
    void sizeLimitAppliesToEachResponse() throws Exception {
        HttpResponseParser parser = new HttpResponseParser();
        String body = "x".repeat(50_000);
        ByteBuffer response =
                ByteBuffer.wrap(
                        ("HTTP/1.1 200 OK\r\nContent-Length: 50000\r\n\r\n" + body)
                                .getBytes(StandardCharsets.ISO_8859_1));
        for (int i = 0; i < 5; i++) {
            assertEquals(50_000, parser.read(response.rewind()).body().length);
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            nullValues = "null",
            value = {
                "queue:7;util:0.61 | 7 0.61",
                "util:0.61; queue:7;other:1 | 7 0.61",
                "queue:7 | ''",
                "null | ''",
                "queue:x;util:1 | ''",
                "queue:-1;util:1 | ''",
                "queue;util | ''"
            })
    void loadReportIsReadOnlyIfComplete(String text, String expected) {
        float[] values =
                new EngineClient.LoadReportReader(List.of(LoadMetric.QUEUED, LoadMetric.BUSY))
                        .read(text);
        float[] expectedValues = new float[expected.isEmpty() ? 0 : 2];
        for (int i = 0; i < expectedValues.length; i++) {
            expectedValues[i] = Float.parseFloat(expected.split(" ")[i]);
        }
        assertArrayEquals(expectedValues, values);
    }
}
