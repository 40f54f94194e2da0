package junipercourse.product;

import java.util.Map;

/** Parses values with units, such as {@code 250ms}, {@code 64KB/s} and {@code 2000/s}. */
final class UnitParser {
    private static final Map<String, Double> SECONDS_PER_UNIT =
            Map.of("ms", 1e-3, "s", 1.0, "min", 60.0, "h", 3600.0);
    private static final Map<String, Double> BYTES_PER_UNIT =
            Map.of("B/s", 1.0, "KB/s", 1024.0, "MB/s", 1048576.0);

    private UnitParser() {}

    /** Returns a time in seconds. The message of an IllegalArgumentException names the format. */
    static double seconds(String text) {
        return parse(text, SECONDS_PER_UNIT, "a time, such as 250ms, 1.5s, 2min or 1h");
    }

    /** Returns a rate in bytes per second. */
    static double bytesPerSecond(String text) {
        return parse(text, BYTES_PER_UNIT, "a rate, such as 900B/s, 64KB/s or 1MB/s");
    }

    /** Returns a rate per second. */
    static double perSecond(String text) {
        return parse(text, Map.of("/s", 1.0), "a rate, such as 2000/s");
    }

    private static double parse(String text, Map<String, Double> units, String expected) {
        int unitStart = 0;
        while (unitStart < text.length() && "0123456789.".indexOf(text.charAt(unitStart)) >= 0) {
            unitStart++;
        }
        Double factor = units.get(text.substring(unitStart));
        try {
            double value =
                    factor == null ? 0 : Double.parseDouble(text.substring(0, unitStart)) * factor;
            if (value > 0) {
                return value;
            }
        } catch (NumberFormatException e) {
            // reported below together with the expected format
        }
        throw new IllegalArgumentException(
                "'" + text + "' is not above 0 or has no unit; right would be " + expected);
    }
}
