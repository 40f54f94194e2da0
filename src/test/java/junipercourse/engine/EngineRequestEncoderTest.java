package junipercourse.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import junipercourse.core.Query;
import org.junit.jupiter.api.Test;

/** Checks the exact bytes of requests to engines. */
class EngineRequestEncoderTest {
    private static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.ISO_8859_1);
    }

    private static Query query(String idempotencyKey) {
        byte[] statement = "SELECT 1".getBytes(StandardCharsets.UTF_8);
        return new Query(
                "00000000000000ab",
                "scan",
                0,
                -1,
                0,
                idempotencyKey,
                0,
                0,
                Double.NaN,
                0,
                false,
                statement,
                null);
    }

    @Test
    void postWithIdempotencyKeyHasKeyHeader() {
        assertEquals(
                "POST /fetch HTTP/1.1\r\nHost: engine\r\nX-Txn: 00000000000000ab\r\n"
                        + "X-Lane: scan\r\nX-Limit-Ms: 250\r\nX-Dedupe: k-1\r\n"
                        + "Content-Length: 8\r\n\r\nSELECT 1",
                text(EngineRequestEncoder.encodePost(query("k-1"), 250)));
    }

    @Test
    void postWithoutIdempotencyKeyHasNoKeyHeader() {
        assertEquals(
                "POST /fetch HTTP/1.1\r\nHost: engine\r\nX-Txn: 00000000000000ab\r\n"
                        + "X-Lane: scan\r\nX-Limit-Ms: 0\r\n"
                        + "Content-Length: 8\r\n\r\nSELECT 1",
                text(EngineRequestEncoder.encodePost(query(null), 0)));
    }

    @Test
    void getAndDeleteHaveNoBody() {
        assertEquals(
                "GET /fetch/00000000000000ab/0 HTTP/1.1\r\nHost: engine\r\n\r\n",
                text(EngineRequestEncoder.encodeBodiless("GET", query(null), "/0")));
        assertEquals(
                "DELETE /fetch/00000000000000ab HTTP/1.1\r\nHost: engine\r\n\r\n",
                text(EngineRequestEncoder.encodeBodiless("DELETE", query(null), "")));
    }
}
