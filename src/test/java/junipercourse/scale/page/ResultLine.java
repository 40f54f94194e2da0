package junipercourse.scale.page;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import com.eclipsesource.json.ParseException;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * One metric as written by a measuring tool: a line of {@code docs/capacity/*.jsonl}.
 *
 * @param size the quantity that the scenario scales
 * @param median over {@code count} members or repeated runs; NaN in an invalid line without a value
 * @param isValid false if the machine was the bottleneck or the run was interrupted
 * @param invalidReason why the line is invalid
 */
record ResultLine(
        String suite,
        String scenario,
        int size,
        String variant,
        long seed,
        String day,
        String commit,
        String machine,
        String metric,
        String unit,
        double median,
        double worst,
        int count,
        boolean isValid,
        String invalidReason) {
    static final List<String> SUITES = List.of("fleet", "world", "serving", "module");
    private static final Set<String> MEMBERS =
            Set.of(
                    "suite", "play", "size", "variant", "seed", "day", "commit", "machine",
                    "figure", "unit", "median", "worst", "count", "counts", "why");

    ResultLine {
        if (!SUITES.contains(suite)) {
            throw new IllegalArgumentException("suite: " + suite + " is none of " + SUITES);
        }
        if (size < 0) {
            throw new IllegalArgumentException("size: " + size + " is below 0");
        }
        if (isValid && (!Double.isFinite(median) || !Double.isFinite(worst))) {
            throw new IllegalArgumentException("median, worst: a line that counts has numbers");
        }
        if (!isValid && invalidReason.isBlank()) {
            throw new IllegalArgumentException("why: a line that does not count says why");
        }
    }

    /** Parses a line; throws an IllegalArgumentException that names the wrong field. */
    static ResultLine read(String json) {
        try {
            JsonObject line = Json.parse(json).asObject();
            if (line.names().size() != MEMBERS.size() || !MEMBERS.containsAll(line.names())) {
                throw new IllegalArgumentException(
                        "members: "
                                + new TreeSet<>(line.names())
                                + " are not "
                                + new TreeSet<>(MEMBERS));
            }
            return new ResultLine(
                    text(line, "suite"),
                    text(line, "play"),
                    (int) number(line, "size"),
                    text(line, "variant"),
                    line.get("seed").asLong(),
                    text(line, "day"),
                    text(line, "commit"),
                    text(line, "machine"),
                    text(line, "figure"),
                    text(line, "unit"),
                    number(line, "median"),
                    number(line, "worst"),
                    (int) number(line, "count"),
                    line.get("counts").asBoolean(),
                    line.get("why").asString());
        } catch (ParseException | UnsupportedOperationException e) {
            throw new IllegalArgumentException(e.getMessage(), e);
        }
    }

    /** Returns this line marked as invalid. */
    ResultLine asInvalid(String reason) {
        return new ResultLine(
                suite, scenario, size, variant, seed, day, commit, machine, metric, unit, median,
                worst, count, false, reason);
    }

    private static String text(JsonObject line, String name) {
        String text = line.get(name).asString();
        if (text.isBlank() && !name.equals("unit") || text.matches("(?s).*[|<>\\v].*")) {
            throw new IllegalArgumentException(name + ": '" + text + "' cannot stand in a table");
        }
        return text;
    }

    private static double number(JsonObject line, String name) {
        JsonValue value = line.get(name);
        return value.isNull() ? Double.NaN : value.asDouble();
    }
}
