package junipercourse.engine;

import java.util.Map;

/** A complete response of an engine. Header names are in lower case. */
record HttpResponse(int status, Map<String, String> headers, byte[] body, boolean keepAlive) {
    String header(String lowerCaseName) {
        return headers.get(lowerCaseName);
    }

    /** The numeric value of a header; 0 if it is missing, malformed, negative or not finite. */
    double decimalHeader(String lowerCaseName) {
        String text = header(lowerCaseName);
        try {
            double value = text == null ? 0 : Double.parseDouble(text);
            return value >= 0 && value < Double.POSITIVE_INFINITY ? value : 0;
        } catch (NumberFormatException e) {
            return 0;
        }
    }
}
