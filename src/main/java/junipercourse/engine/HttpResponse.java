package junipercourse.engine;

import java.util.Map;

/** A whole answer of an engine. Header names are in lower case. */
record HttpResponse(int status, Map<String, String> headers, byte[] body, boolean keepAlive) {
    String header(String lowerCaseName) {
        return headers.get(lowerCaseName);
    }
}
