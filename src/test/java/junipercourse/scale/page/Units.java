package junipercourse.scale.page;

import java.util.Locale;
import java.util.Map;

/** Converts the units of results and budgets and formats the numbers of the page. */
final class Units {
    private record Unit(String dimension, double factor) {}

    private static final Map<String, Unit> KNOWN =
            Map.ofEntries(
                    Map.entry("B/s", new Unit("bytes a second", 1)),
                    Map.entry("kB/s", new Unit("bytes a second", 1e3)),
                    Map.entry("KB/s", new Unit("bytes a second", 1e3)),
                    Map.entry("MB/s", new Unit("bytes a second", 1e6)),
                    Map.entry("KiB/s", new Unit("bytes a second", 1024)),
                    Map.entry("B", new Unit("bytes", 1)),
                    Map.entry("kB", new Unit("bytes", 1e3)),
                    Map.entry("KB", new Unit("bytes", 1e3)),
                    Map.entry("MB", new Unit("bytes", 1e6)),
                    Map.entry("KiB", new Unit("bytes", 1024)),
                    Map.entry("MiB", new Unit("bytes", 1 << 20)),
                    Map.entry("core", new Unit("cores", 1)),
                    Map.entry("cores", new Unit("cores", 1)),
                    Map.entry("share of a core", new Unit("cores", 1)),
                    Map.entry("s/s", new Unit("cores", 1)),
                    Map.entry("% of a core", new Unit("cores", 0.01)),
                    Map.entry("ms/s", new Unit("cores", 1e-3)),
                    Map.entry("us/s", new Unit("cores", 1e-6)),
                    Map.entry("µs/s", new Unit("cores", 1e-6)),
                    Map.entry("s", new Unit("time", 1)),
                    Map.entry("ms", new Unit("time", 1e-3)),
                    Map.entry("us", new Unit("time", 1e-6)),
                    Map.entry("µs", new Unit("time", 1e-6)),
                    Map.entry("ns", new Unit("time", 1e-9)));

    private Units() {}

    private static Unit unit(String name) {
        return KNOWN.getOrDefault(name, new Unit(name, 1));
    }

    /** Rejects units of different dimensions, since a factor between them is meaningless. */
    static double convert(double value, String from, String to) {
        if (!unit(from).dimension().equals(unit(to).dimension())) {
            throw new IllegalArgumentException(
                    "units: '" + from + "' cannot be held against '" + to + "'");
        }
        return value * unit(from).factor() / unit(to).factor();
    }

    /** Formats a number with three significant digits and thousands separators. */
    static String number(double value) {
        if (value == 0) {
            return "0";
        }
        int whole = (int) Math.floor(Math.log10(Math.abs(value))) + 1;
        if (whole >= 3) {
            double unit = Math.pow(10, whole - 3);
            return String.format(Locale.ROOT, "%,.0f", Math.rint(value / unit) * unit);
        }
        String text = String.format(Locale.ROOT, "%." + Math.min(9, 3 - whole) + "f", value);
        return text.replaceAll("0+$", "").replaceAll("\\.$", "");
    }

    static String with(double value, String unit) {
        return unit.isBlank() ? number(value) : number(value) + " " + unit;
    }
}
