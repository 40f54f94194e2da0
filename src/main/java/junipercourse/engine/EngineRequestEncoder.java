package junipercourse.engine;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import junipercourse.core.Query;

/** Encodes the HTTP requests of calls to an engine. */
final class EngineRequestEncoder {
    private EngineRequestEncoder() {}

    /** The request that starts a query; {@code limitMillis} is how long its outcome is awaited. */
    static byte[] encodePost(Query query, long limitMillis) {
        StringBuilder head =
                new StringBuilder("POST /fetch HTTP/1.1\r\n")
                        .append("Host: engine\r\n")
                        .append("X-Txn: ")
                        .append(query.id())
                        .append("\r\n")
                        .append("X-Lane: ")
                        .append(query.className())
                        .append("\r\n")
                        .append("X-Limit-Ms: ")
                        .append(limitMillis)
                        .append("\r\n");
        if (query.idempotencyKey() != null) {
            head.append("X-Dedupe: ").append(query.idempotencyKey()).append("\r\n");
        }
        head.append("Content-Length: ").append(query.statement().length).append("\r\n\r\n");
        byte[] headBytes = head.toString().getBytes(StandardCharsets.ISO_8859_1);
        byte[] message = Arrays.copyOf(headBytes, headBytes.length + query.statement().length);
        System.arraycopy(query.statement(), 0, message, headBytes.length, query.statement().length);
        return message;
    }

    /** A request without a body, such as a {@code GET} with the path suffix {@code /0}. */
    static byte[] encodeBodiless(String method, Query query, String pathSuffix) {
        return (method + " /fetch/" + query.id() + pathSuffix + " HTTP/1.1\r\nHost: engine\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
    }
}
