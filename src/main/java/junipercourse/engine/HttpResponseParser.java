package junipercourse.engine;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Parses HTTP/1.1 responses from bytes received in pieces of any size; rejects anything else. */
final class HttpResponseParser {
    private static final int MAX_LINE_BYTES = 4 * 1024;
    private static final int MAX_HEADERS = 32;

    /** Headers that decide what a response means; one with two values is unreadable. */
    private static final Set<String> SINGLE_VALUE_HEADERS =
            Set.of("content-length", "transfer-encoding", "x-fetches", "x-fetch", "x-unrun");

    /** 1xx responses before a final one, which could otherwise go on forever. */
    private static final int MAX_INTERIM_RESPONSES = 16;

    private static final int MAX_BODY_BYTES = 64 * 1024;

    /** Limit of a response with its framing: heads, chunks and trailers must not go on forever. */
    static final int MAX_RESPONSE_BYTES = 2 * MAX_BODY_BYTES;

    /** Thrown for bytes that are not a valid HTTP response. */
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

    private final ByteArrayOutputStream lineBuffer = new ByteArrayOutputStream();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private Map<String, String> headers = new HashMap<>();
    private State state = State.STATUS;
    private boolean isHttp10;
    private int status;
    private int remaining;
    private int interimResponses;
    private int responseBytes; // bytes read of the current response

    /** Whether nothing of the next response has been read. */
    boolean isBetweenResponses() {
        return state == State.STATUS && lineBuffer.size() == 0;
    }

    /** Whether the status line of the next response has not been accepted yet. */
    boolean isInStatusLine() {
        return state == State.STATUS;
    }

    /** Reads bytes until a response is complete and returns it; null if more are needed. */
    HttpResponse read(ByteBuffer input) throws MalformedResponseException {
        int startPosition = input.position();
        HttpResponse response = parse(input);
        responseBytes += input.position() - startPosition;
        if (response != null) {
            responseBytes = 0;
        } else if (responseBytes > MAX_RESPONSE_BYTES) {
            throw new MalformedResponseException(
                    "response longer than " + MAX_RESPONSE_BYTES + " bytes");
        }
        return response;
    }

    private HttpResponse parse(ByteBuffer input) throws MalformedResponseException {
        while (true) {
            if (state == State.BODY || state == State.CHUNK) {
                int length = Math.min(remaining, input.remaining());
                byte[] bytes = new byte[length];
                input.get(bytes);
                body.writeBytes(bytes);
                remaining -= length;
                if (remaining > 0) {
                    return null;
                }
                if (state == State.BODY) {
                    return completeResponse();
                }
                state = State.CHUNK_END;
            }
            String text = readLine(input);
            if (text == null) {
                return null;
            }
            HttpResponse response = handleLine(text);
            if (response != null) {
                return response;
            }
        }
    }

    private String readLine(ByteBuffer input) throws MalformedResponseException {
        while (input.hasRemaining()) {
            byte b = input.get();
            if (b == '\n') {
                String text = lineBuffer.toString(StandardCharsets.ISO_8859_1);
                lineBuffer.reset();
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            if (lineBuffer.size() >= MAX_LINE_BYTES) {
                throw new MalformedResponseException(
                        "line longer than " + MAX_LINE_BYTES + " bytes");
            }
            lineBuffer.write(b);
        }
        return null;
    }

    private HttpResponse handleLine(String text) throws MalformedResponseException {
        switch (state) {
            case STATUS -> parseStatusLine(text);
            case HEADERS -> {
                if (text.isEmpty()) {
                    return finishHeaders();
                }
                parseHeader(text);
            }
            case CHUNK_SIZE -> {
                remaining = parseSize(text.split(";", 2)[0].trim(), 16);
                state = remaining == 0 ? State.TRAILERS : State.CHUNK;
            }
            case CHUNK_END -> {
                if (!text.isEmpty()) {
                    throw new MalformedResponseException("chunk longer than its size");
                }
                state = State.CHUNK_SIZE;
            }
            case TRAILERS -> {
                if (text.isEmpty()) {
                    return completeResponse();
                }
            }
            default -> throw new IllegalStateException(state.toString());
        }
        return null;
    }

    private void parseStatusLine(String text) throws MalformedResponseException {
        if (!text.matches("HTTP/1\\.[01] [1-5][0-9][0-9]( .*)?")) {
            throw new MalformedResponseException("invalid status line");
        }
        isHttp10 = text.charAt(7) == '0';
        status = Integer.parseInt(text.substring(9, 12));
        state = State.HEADERS;
    }

    private void parseHeader(String text) throws MalformedResponseException {
        int colon = text.indexOf(':');
        if (colon <= 0 || headers.size() >= MAX_HEADERS) {
            throw new MalformedResponseException(
                    colon <= 0 ? "header without a name" : "more than " + MAX_HEADERS + " headers");
        }
        String name = text.substring(0, colon).toLowerCase(Locale.ROOT);
        String value = text.substring(colon + 1).trim();
        String previous = headers.put(name, value);
        if (previous != null && SINGLE_VALUE_HEADERS.contains(name) && !previous.equals(value)) {
            throw new MalformedResponseException("conflicting headers of the name " + name);
        }
    }

    private HttpResponse finishHeaders() throws MalformedResponseException {
        String transferCoding = headers.get("transfer-encoding");
        String length = headers.get("content-length");
        if (status < 200) { // an interim response: the final one follows
            interimResponses++;
            if (interimResponses > MAX_INTERIM_RESPONSES) {
                throw new MalformedResponseException(
                        "more than " + MAX_INTERIM_RESPONSES + " interim responses");
            }
            headers = new HashMap<>();
            state = State.STATUS;
            return null;
        }
        if (status == 204 || status == 304) {
            return completeResponse();
        }
        if (transferCoding != null) {
            if (!transferCoding.equalsIgnoreCase("chunked")) {
                throw new MalformedResponseException(
                        "unsupported transfer coding: " + transferCoding);
            }
            state = State.CHUNK_SIZE;
            return null;
        }
        if (length == null) {
            throw new MalformedResponseException(
                    "response without Content-Length or chunked coding");
        }
        remaining = parseSize(length, 10);
        state = State.BODY;
        return remaining == 0 ? completeResponse() : null;
    }

    private int parseSize(String text, int radix) throws MalformedResponseException {
        int size;
        try {
            size = Integer.parseInt(text, radix);
        } catch (NumberFormatException e) {
            throw new MalformedResponseException("invalid length: " + text);
        }
        if (size < 0 || Character.digit(text.charAt(0), radix) < 0) { // parseInt accepts a sign
            throw new MalformedResponseException("invalid length: " + text);
        }
        if (size > MAX_BODY_BYTES - body.size()) {
            throw new MalformedResponseException("length out of range: " + text);
        }
        return size;
    }

    private HttpResponse completeResponse() {
        String connection = headers.getOrDefault("connection", isHttp10 ? "close" : "keep-alive");
        HttpResponse response =
                new HttpResponse(
                        status, headers, body.toByteArray(), !connection.equalsIgnoreCase("close"));
        headers = new HashMap<>();
        body.reset();
        interimResponses = 0;
        state = State.STATUS;
        return response;
    }
}
