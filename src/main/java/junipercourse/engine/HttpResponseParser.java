package junipercourse.engine;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 responses from bytes that come in any pieces. Anything else is garbled. */
final class HttpResponseParser {
    private static final int MAX_LINE = 4 * 1024;
    private static final int MAX_HEADERS = 32;
    private static final int MAX_INTERIM =
            16; // 1xx heads before one answer: they may not go on for good
    private static final int MAX_BODY = 64 * 1024;

    /**
     * Of one answer with its framing: no head, chunk or trailer may go on for good in small pieces.
     */
    static final int MAX_ANSWER = 2 * MAX_BODY;

    /** Bytes that are no HTTP response. */
    static final class MalformedResponseException extends Exception {
        private static final long serialVersionUID = 1L;

        MalformedResponseException(String message) {
            super(message);
        }
    }

    private enum State {
        STATUS,
        HEADERS,
        BODY,
        CHUNK_SIZE,
        CHUNK,
        CHUNK_END,
        TRAILERS
    }

    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private Map<String, String> headers = new HashMap<>();
    private State state = State.STATUS;
    private boolean oldVersion;
    private int status;
    private int left;
    private int interim;
    private int taken; // bytes of the answer that is being read

    /** True between responses: nothing of a next one has come. */
    boolean atStart() {
        return state == State.STATUS && line.size() == 0;
    }

    /** Takes bytes until a response is whole, and returns it; null if more are needed. */
    HttpResponse read(ByteBuffer in) throws MalformedResponseException {
        int from = in.position();
        HttpResponse response = parse(in);
        taken += in.position() - from;
        if (response != null) {
            taken = 0;
        } else if (taken > MAX_ANSWER) {
            throw new MalformedResponseException("an answer of over " + MAX_ANSWER + " bytes");
        }
        return response;
    }

    /**
     * Whether what came right behind an answer is more of its rows: then its length was told too
     * short, and what it leaves over may look like a whole result. Another answer, or noise, is
     * none of them.
     */
    static boolean rowsFollow(ByteBuffer rest) {
        String text = StandardCharsets.ISO_8859_1.decode(rest.duplicate()).toString();
        return text.indexOf('\t') >= 0 && !text.startsWith("HTTP/");
    }

    private HttpResponse parse(ByteBuffer in) throws MalformedResponseException {
        while (true) {
            if (state == State.BODY || state == State.CHUNK) {
                int n = Math.min(left, in.remaining());
                byte[] part = new byte[n];
                in.get(part);
                body.writeBytes(part);
                left -= n;
                if (left > 0) {
                    return null;
                }
                if (state == State.BODY) {
                    return whole();
                }
                state = State.CHUNK_END;
            }
            String text = line(in);
            if (text == null) {
                return null;
            }
            HttpResponse done = take(text);
            if (done != null) {
                return done;
            }
        }
    }

    private String line(ByteBuffer in) throws MalformedResponseException {
        while (in.hasRemaining()) {
            byte b = in.get();
            if (b == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                line.reset();
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            if (line.size() >= MAX_LINE) {
                throw new MalformedResponseException("a line of over " + MAX_LINE + " bytes");
            }
            line.write(b);
        }
        return null;
    }

    private HttpResponse take(String text) throws MalformedResponseException {
        switch (state) {
            case STATUS -> status(text);
            case HEADERS -> {
                if (text.isEmpty()) {
                    return headersEnd();
                }
                header(text);
            }
            case CHUNK_SIZE -> {
                left = size(text.split(";", 2)[0].trim(), 16);
                state = left == 0 ? State.TRAILERS : State.CHUNK;
            }
            case CHUNK_END -> {
                if (!text.isEmpty()) {
                    throw new MalformedResponseException("a chunk that is longer than its size");
                }
                state = State.CHUNK_SIZE;
            }
            case TRAILERS -> {
                if (text.isEmpty()) {
                    return whole();
                }
            }
            default -> throw new IllegalStateException(state.toString());
        }
        return null;
    }

    private void status(String text) throws MalformedResponseException {
        if (!text.matches("HTTP/1\\.[01] [1-5][0-9][0-9]( .*)?")) {
            throw new MalformedResponseException("no status line");
        }
        oldVersion = text.charAt(7) == '0';
        status = Integer.parseInt(text.substring(9, 12));
        state = State.HEADERS;
    }

    private void header(String text) throws MalformedResponseException {
        int colon = text.indexOf(':');
        if (colon <= 0 || headers.size() >= MAX_HEADERS) {
            throw new MalformedResponseException(
                    colon <= 0 ? "a header without a name" : "too many headers");
        }
        String name = text.substring(0, colon).toLowerCase(Locale.ROOT);
        String value = text.substring(colon + 1).trim();
        String before = headers.put(name, value);
        if (before != null && name.equals("content-length") && !before.equals(value)) {
            throw new MalformedResponseException("two lengths");
        }
    }

    private HttpResponse headersEnd() throws MalformedResponseException {
        String coding = headers.get("transfer-encoding");
        String length = headers.get("content-length");
        if (status < 200) { // an interim response: the real one follows
            interim++;
            if (interim > MAX_INTERIM) {
                throw new MalformedResponseException("interim responses without end");
            }
            headers = new HashMap<>();
            state = State.STATUS;
            return null;
        }
        if (status == 204 || status == 304) {
            return whole();
        }
        if (coding != null) {
            if (!coding.equalsIgnoreCase("chunked")) {
                throw new MalformedResponseException("transfer coding " + coding);
            }
            state = State.CHUNK_SIZE;
            return null;
        }
        if (length == null) {
            throw new MalformedResponseException("no length");
        }
        left = size(length, 10);
        state = State.BODY;
        return left == 0 ? whole() : null;
    }

    private int size(String text, int radix) throws MalformedResponseException {
        int n;
        try {
            n = Integer.parseInt(text, radix);
        } catch (NumberFormatException e) {
            throw new MalformedResponseException("not a length: " + text);
        }
        if (n < 0 || Character.digit(text.charAt(0), radix) < 0) { // a sign is no digit
            throw new MalformedResponseException("not a length: " + text);
        }
        if (n > MAX_BODY - body.size()) {
            throw new MalformedResponseException("a length out of range: " + text);
        }
        return n;
    }

    private HttpResponse whole() {
        String connection = headers.getOrDefault("connection", oldVersion ? "close" : "keep-alive");
        HttpResponse r =
                new HttpResponse(
                        status, headers, body.toByteArray(), !connection.equalsIgnoreCase("close"));
        headers = new HashMap<>();
        body.reset();
        interim = 0;
        state = State.STATUS;
        return r;
    }
}
