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
                "HTTP/1.1 204 No Content~~ | 204 '' true",
                "HTTP/1.1 200~Content-Length: 1~Connection: close~~x | 200 'x' false",
                "HTTP/1.0 200 OK~Content-Length: 1~~x | 200 'x' false",
                "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~3;a=b~abc~2~de~0~T: x~~ | 200 'abcde'"
                        + " true",
                "HTTP/1.1 100 Continue~~HTTP/1.1 500 Oops~Content-Length: 2~~no | 500 'no' true",
                "HTTP/1.1 202 A~Content-Length: 0~~HTTP/1.1 204 B~~ | 202 '' true 204 '' true"
            })
    void readsResponsesInAnyPieces(String text, String expected)
            throws HttpResponseParser.MalformedResponseException {
        byte[] bytes = unescaped(text).getBytes(StandardCharsets.ISO_8859_1);
        for (int piece = 1; piece <= bytes.length; piece++) {
            HttpResponseParser parser = new HttpResponseParser();
            List<String> got = new ArrayList<>();
            for (int at = 0; at < bytes.length; at += piece) {
                ByteBuffer in = ByteBuffer.wrap(bytes, at, Math.min(piece, bytes.length - at));
                for (HttpResponse r = parser.read(in); r != null; r = parser.read(in)) {
                    got.add(
                            r.status()
                                    + " '"
                                    + new String(r.body(), StandardCharsets.ISO_8859_1)
                                    + "' "
                                    + r.keepAlive());
                }
            }
            assertEquals(expected, String.join(" ", got), "pieces of " + piece);
            assertTrue(parser.atStart());
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
                "HTTP/1.1 200 OK~Transfer-Encoding: gzip~~",
                "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~zz~",
                "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~1~xyz~"
            })
    void garbledBytesAreTold(String text) {
        ByteBuffer in = ByteBuffer.wrap(unescaped(text).getBytes(StandardCharsets.ISO_8859_1));
        assertThrows(
                HttpResponseParser.MalformedResponseException.class,
                () -> new HttpResponseParser().read(in));
    }

    /**
     * What never ends, by how it begins and goes on: {@code #} stands for a new number each time.
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
    void anAnswerThatNeverEndsIsGarbledWithinItsBound(String begins, String goesOn)
            throws Exception {
        HttpResponseParser parser = new HttpResponseParser();
        parser.read(ByteBuffer.wrap(unescaped(begins).getBytes(StandardCharsets.ISO_8859_1)));
        int[] fed = {begins.length()};
        assertThrows(
                HttpResponseParser.MalformedResponseException.class,
                () -> {
                    for (int i = 0; fed[0] < 2 * HttpResponseParser.MAX_ANSWER; i++) {
                        byte[] more =
                                unescaped(goesOn.replace("#", "" + i))
                                        .getBytes(StandardCharsets.ISO_8859_1);
                        fed[0] += more.length;
                        parser.read(ByteBuffer.wrap(more));
                    }
                });
        assertTrue(fed[0] <= HttpResponseParser.MAX_ANSWER + 100, "only after " + fed[0]);
    }

    /**
     * A whole answer counts for itself: what came before on the connection takes nothing from its
     * bound.
     */
    @Test
    void theBoundIsThatOfEachAnswer() throws Exception {
        HttpResponseParser parser = new HttpResponseParser();
        String body = "x".repeat(50_000);
        ByteBuffer answer =
                ByteBuffer.wrap(
                        ("HTTP/1.1 200 OK\r\nContent-Length: 50000\r\n\r\n" + body)
                                .getBytes(StandardCharsets.ISO_8859_1));
        for (int i = 0; i < 5; i++) {
            assertEquals(50_000, parser.read(answer.rewind()).body().length);
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
    void readsLoadReportsWholeOrNotAtAll(String text, String expected) {
        float[] got =
                new EngineClient.LoadReportReader(List.of(LoadMetric.QUEUED, LoadMetric.BUSY))
                        .read(text);
        float[] want = new float[expected.isEmpty() ? 0 : 2];
        for (int i = 0; i < want.length; i++) {
            want[i] = Float.parseFloat(expected.split(" ")[i]);
        }
        assertArrayEquals(want, got);
    }
}
