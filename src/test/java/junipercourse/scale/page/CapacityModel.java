package junipercourse.scale.page;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import junipercourse.scale.page.Series.Statistic;

/**
 * {@code docs/capacity/roles.json}: which metric stands for which need of which role, the budgets
 * and the target sizes. It contains no measured number.
 *
 * @param targets target counts by name, as the letter states them
 * @param sizes the target that a scenario's size is counted in, by {@code suite/play} or {@code
 *     suite}
 * @param variants of the code, the one preferred in the roles' table first
 * @param differences why real sockets and the simulation differ, by {@code play/figure}
 * @param notRun why a scenario was not run, by {@code suite/play}
 * @param voided why a metric is invalid, by {@code suite/figure/commit}: a tool's fault that was
 *     found after the run
 */
record CapacityModel(
        Map<String, Integer> targets,
        Map<String, String> sizes,
        List<String> variants,
        Map<String, Budget> budgets,
        List<Row> rows,
        List<Fault> faults,
        Map<String, String> differences,
        Map<String, String> notRun,
        Map<String, String> voided) {
    /** The limit of a need; {@code source} names who set it. */
    record Budget(double value, String unit, String source) {}

    /**
     * One need of a role; without {@code ref} it cannot be measured yet, for the reason {@code
     * why}.
     */
    record Row(
            String role,
            String what,
            String text,
            Ref ref,
            String budget,
            String mechanism,
            String why) {}

    /**
     * A metric of a scenario; {@code multiplier} names the target it is multiplied by, or is empty.
     */
    record Ref(
            String suite, String scenario, String metric, Statistic statistic, String multiplier) {}

    /** A fault and the scenario that measures it. {@code frequency} is quoted from the letter. */
    record Fault(String name, String frequency, String scenario, String clientImpact) {}

    /**
     * Rejects numbers in the texts of a row or fault, which would be neither measured nor sourced.
     */
    CapacityModel {
        for (Row row : rows) {
            for (String text :
                    List.of(row.role(), row.what(), row.text(), row.mechanism(), row.why())) {
                List<String> typed = TypedNumbers.find(text);
                if (!typed.isEmpty()) {
                    throw new IllegalArgumentException(
                            "roles.json: "
                                    + row.role()
                                    + ", "
                                    + row.what()
                                    + ": typed numbers "
                                    + typed);
                }
            }
            if (!row.budget().isEmpty() && !budgets.containsKey(row.budget())) {
                throw new IllegalArgumentException("roles.json: unknown budget " + row.budget());
            }
            if (row.ref() != null
                    && !row.ref().multiplier().isEmpty()
                    && !targets.containsKey(row.ref().multiplier())) {
                throw new IllegalArgumentException(
                        "roles.json: unknown target " + row.ref().multiplier());
            }
        }
        for (Fault fault : faults) {
            if (!TypedNumbers.find(fault.name() + " " + fault.clientImpact()).isEmpty()) {
                throw new IllegalArgumentException(
                        "roles.json: typed number in fault " + fault.name());
            }
        }
        for (String target : sizes.values()) {
            if (!targets.containsKey(target)) {
                throw new IllegalArgumentException("roles.json: unknown target " + target);
            }
        }
    }

    static CapacityModel read(Path file) throws IOException {
        return read(Files.readString(file));
    }

    static CapacityModel read(String text) {
        JsonObject all = Json.parse(text).asObject();
        return new CapacityModel(
                map(all, "targets", JsonValue::asInt),
                map(all, "sizes", JsonValue::asString),
                list(all, "variants", JsonValue::asString),
                map(
                        all,
                        "budgets",
                        value -> {
                            JsonObject budget =
                                    requireFields(value, Set.of("value", "unit", "source"));
                            return new Budget(
                                    budget.get("value").asDouble(),
                                    stringField(budget, "unit"),
                                    stringField(budget, "source"));
                        }),
                list(all, "rows", CapacityModel::row),
                list(
                        all,
                        "faults",
                        value -> {
                            JsonObject fault =
                                    requireFields(value, Set.of("name", "often", "play", "seen"));
                            return new Fault(
                                    stringField(fault, "name"),
                                    stringField(fault, "often"),
                                    stringField(fault, "play"),
                                    stringField(fault, "seen"));
                        }),
                map(all, "differences", JsonValue::asString),
                map(all, "not_run", JsonValue::asString),
                all.get("void") == null ? Map.of() : map(all, "void", JsonValue::asString));
    }

    private static Row row(JsonValue value) {
        JsonObject row =
                requireFields(
                        value,
                        Set.of(
                                "role",
                                "what",
                                "text",
                                "suite",
                                "play",
                                "figure",
                                "statistic",
                                "times",
                                "budget",
                                "mechanism",
                                "why"));
        Ref ref =
                row.get("suite") == null
                        ? null
                        : new Ref(
                                stringField(row, "suite"),
                                stringField(row, "play"),
                                stringField(row, "figure"),
                                Statistic.named(row.getString("statistic", "median")),
                                stringField(row, "times"));
        return new Row(
                stringField(row, "role"),
                stringField(row, "what"),
                stringField(row, "text"),
                ref,
                stringField(row, "budget"),
                stringField(row, "mechanism"),
                stringField(row, "why"));
    }

    private static String stringField(JsonObject object, String name) {
        return object.getString(name, "");
    }

    private static JsonObject requireFields(JsonValue value, Set<String> names) {
        for (String name : value.asObject().names()) {
            if (!names.contains(name)) {
                throw new IllegalArgumentException("roles.json: " + name + " is none of " + names);
            }
        }
        return value.asObject();
    }

    private static <T> Map<String, T> map(
            JsonObject all, String name, Function<JsonValue, T> read) {
        Map<String, T> map = new LinkedHashMap<>();
        all.get(name)
                .asObject()
                .forEach(member -> map.put(member.getName(), read.apply(member.getValue())));
        return map;
    }

    private static <T> List<T> list(JsonObject all, String name, Function<JsonValue, T> read) {
        List<T> list = new ArrayList<>();
        all.get(name).asArray().forEach(value -> list.add(read.apply(value)));
        return list;
    }

    /** Returns the target size of a scenario. */
    int target(String suite, String play) {
        return targets.get(sizeUnit(suite, play));
    }

    /** Returns the target that a scenario's size is counted in; fails if the file names none. */
    String sizeUnit(String suite, String play) {
        String counted = sizes.getOrDefault(suite + "/" + play, sizes.get(suite));
        if (counted == null) {
            throw new IllegalArgumentException(
                    "roles.json: sizes do not say what " + suite + "/" + play + " counts");
        }
        return counted;
    }

    /**
     * Returns the value of a metric at the target size. Without any result of the suite it is "not
     * measured"; a metric or scenario that its results lack is rejected, since a misspelt name
     * would go unnoticed otherwise.
     */
    CapacityEstimate need(Measurements results, Ref ref) {
        return need(results, ref, target(ref.suite(), ref.scenario()));
    }

    /** Returns the value of a metric at any size. */
    CapacityEstimate need(Measurements results, Ref ref, int size) {
        String key = ref.suite() + "/" + ref.scenario();
        if (results.hasResults(ref.suite()) && !results.hasScenario(ref.suite(), ref.scenario())) {
            if (notRun.containsKey(key)) {
                return CapacityEstimate.none(
                        CapacityEstimate.NOT_MEASURED + ": " + notRun.get(key), null);
            }
            throw new IllegalArgumentException(
                    "the results of "
                            + ref.suite()
                            + " hold no play "
                            + ref.scenario()
                            + "; if it was not run, say why under not_run in roles.json");
        }
        String left = results.noValidResultText(ref.suite(), ref.scenario());
        if (!left.isEmpty()) {
            return CapacityEstimate.none(left, null);
        }
        if (results.hasResults(ref.suite()) && !results.hasResults(ref.suite(), ref.metric())) {
            throw new IllegalArgumentException(
                    "the results of " + ref.suite() + " hold no figure " + ref.metric());
        }
        CapacityEstimate need =
                CapacityEstimate.estimate(
                        results,
                        results.firstMeasured(variants, ref.suite(), ref.scenario(), ref.metric()),
                        ref.statistic(),
                        size);
        if (ref.multiplier().isEmpty() || !need.isKnown()) {
            return need;
        }
        int times = targets.get(ref.multiplier());
        String each =
                need.unit()
                        .replaceAll(
                                "( a | per |/)(query|connection|engine|attempt|member|event)$", "");
        return need.transform(
                value -> value * times,
                ref.multiplier().endsWith("_per_s") ? each + "/s" : each,
                "times "
                        + Units.number(times)
                        + " "
                        + ref.multiplier().replace("_per_s", " a second"));
    }
}
