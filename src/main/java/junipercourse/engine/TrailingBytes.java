package junipercourse.engine;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * The bytes that came behind a complete response, in pieces cut anywhere. If they are rows, the
 * declared length of the response was too short, and it may look like a complete result.
 */
final class TrailingBytes {
    private static final String RESPONSE_START = "HTTP/";
    private static final String COLUMN_SEPARATOR = "\t";

    private final StringBuilder start = new StringBuilder();
    private boolean hasSeparator;

    /** Adds the next piece; the buffer is not consumed. */
    void add(ByteBuffer piece) {
        String text = toText(piece);
        int missing = RESPONSE_START.length() - start.length();
        start.append(text, 0, Math.min(text.length(), missing));
        hasSeparator |= text.contains(COLUMN_SEPARATOR);
    }

    boolean isEmpty() {
        return start.isEmpty();
    }

    /** Whether the bytes so far contain rows; another response or arbitrary bytes are none. */
    boolean areRows() {
        return hasSeparator && !RESPONSE_START.contentEquals(start);
    }

    /** Whether a piece, which is not consumed, may be the first one of a response. */
    static boolean mayBeginResponse(ByteBuffer piece) {
        String text = toText(piece);
        return text.startsWith(RESPONSE_START) || RESPONSE_START.startsWith(text);
    }

    private static String toText(ByteBuffer bytes) {
        return StandardCharsets.ISO_8859_1.decode(bytes.duplicate()).toString();
    }
}
