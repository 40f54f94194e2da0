package junipercourse.scale.page;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.stream.Stream;
import junipercourse.scale.page.CapacityModel.Fault;
import junipercourse.scale.page.CapacityModel.Ref;
import junipercourse.scale.page.Measurements.Point;
import junipercourse.scale.page.Series.Statistic;

/** Creates the page's tables and inline values by the names of their markers. */
final class CapacityTables {
    private static final double MAX_RELATIVE_DIFFERENCE = 0.2;
    private static final String NOT_MEASURED = CapacityEstimate.NOT_MEASURED + "\n";
    private final Measurements results;
    private final CapacityModel sizing;
    private final RoleRows roles;

    CapacityTables(Measurements results, CapacityModel sizing) {
        this.results = results;
        this.sizing = sizing;
        roles = new RoleRows(results, sizing);
    }

    /**
     * Returns a table; throws an IllegalArgumentException if the table or its metric is unknown.
     */
    String table(String name) {
        String[] words = name.split(" ");
        String key = words[0] + " " + words.length;
        return switch (key) {
            case "runs 1" -> runsTable();
            case "roles 1" -> roles.table();
            case "missing 1" -> roles.missing();
            case "faults 1" -> faultsTable();
            case "witness 1" -> comparisonTable();
            case "suite 2" -> suiteTable(words[1], each -> true);
            case "suite 3" -> scenarioTable(words[1], words[2]);
            case "fleet 2", "world 2" -> metricTable(words[0], words[1]);
            default -> throw new IllegalArgumentException("no table is named " + name);
        };
    }

    /** Lists the runs that the results come from. */
    private String runsTable() {
        StringBuilder table = new StringBuilder();
        for (String suite : ResultLine.SUITES) {
            for (String variant : results.distinct(suite, ResultLine::variant)) {
                List<ResultLine> lines =
                        results.lines().stream()
                                .filter(
                                        line ->
                                                line.suite().equals(suite)
                                                        && line.variant().equals(variant))
                                .toList();
                long invalidCount = lines.stream().filter(line -> !line.isValid()).count();
                table.append(
                        MarkdownTable.row(
                                suite,
                                variant,
                                joinDistinct(lines.stream().map(ResultLine::day)),
                                joinDistinct(lines.stream().map(ResultLine::commit)),
                                joinDistinct(lines.stream().map(ResultLine::machine)),
                                joinDistinct(
                                        lines.stream().map(line -> String.valueOf(line.seed()))),
                                String.valueOf(lines.size()),
                                String.valueOf(invalidCount)));
            }
        }
        return table.isEmpty()
                ? NOT_MEASURED
                : MarkdownTable.head(
                                "suite",
                                "variant",
                                "day",
                                "commit",
                                "machine",
                                "seeds",
                                "figures",
                                "of them do not count")
                        + table;
    }

    private static String joinDistinct(Stream<String> all) {
        return String.join(", ", all.distinct().toList());
    }

    /**
     * Shows one metric of a suite: a row for each scenario and variant, with the variants in
     * adjacent rows, and a column for each size.
     */
    private String metricTable(String suite, String metric) {
        if (!results.hasResults(suite)) {
            return NOT_MEASURED;
        }
        Predicate<Series> wanted =
                metric.endsWith("*")
                        ? each -> each.metric().startsWith(metric.substring(0, metric.length() - 1))
                        : each -> each.metric().equals(metric);
        if (results.series(suite).stream().noneMatch(wanted)) {
            throw new IllegalArgumentException(
                    "the results of " + suite + " hold no figure " + metric);
        }
        return suiteTable(suite, wanted);
    }

    private String scenarioTable(String suite, String scenario) {
        if (results.hasResults(suite)
                && results.series(suite).stream()
                        .noneMatch(each -> each.scenario().equals(scenario))) {
            throw new IllegalArgumentException(
                    "the results of " + suite + " hold no play " + scenario);
        }
        return suiteTable(suite, each -> each.scenario().equals(scenario));
    }

    private String suiteTable(String suite, Predicate<Series> wanted) {
        if (!ResultLine.SUITES.contains(suite)) {
            throw new IllegalArgumentException("no suite is named " + suite);
        }
        List<Series> all = results.series(suite).stream().filter(wanted).toList();
        if (all.isEmpty()) {
            return NOT_MEASURED;
        }
        Set<Integer> sizes = new TreeSet<>();
        all.forEach(each -> sizes.addAll(results.points(each).keySet()));
        List<String> head = new ArrayList<>(List.of("play", "figure", "unit", "variant"));
        sizes.forEach(size -> head.add(String.valueOf(size)));
        head.add("each more");
        StringBuilder table = new StringBuilder(MarkdownTable.head(head));
        for (Series each : orderVariants(all)) {
            List<String> row =
                    new ArrayList<>(
                            List.of(
                                    each.scenario(),
                                    each.metric(),
                                    results.unit(each),
                                    each.variant()));
            row.addAll(MarkdownTable.points(results.points(each), sizes));
            row.add(MarkdownTable.fitCell(results.fit(each, Statistic.MEDIAN), results.unit(each)));
            table.append(MarkdownTable.row(row));
        }
        return table.toString();
    }

    /** Groups the variants of one scenario and metric, "before" ahead of "after". */
    private static List<Series> orderVariants(Collection<Series> all) {
        List<Series> rows = new ArrayList<>();
        for (Series each : all) {
            if (!rows.contains(each)) {
                all.stream()
                        .filter(
                                other ->
                                        other.scenario().equals(each.scenario())
                                                && other.metric().equals(each.metric()))
                        .sorted((a, b) -> variantRank(a) - variantRank(b))
                        .forEach(rows::add);
            }
        }
        return rows;
    }

    private static int variantRank(Series each) {
        return each.variant().equals("before") ? 0 : each.variant().equals("after") ? 1 : 2;
    }

    /** Compares real sockets with the simulation where both were measured at the same size. */
    private String comparisonTable() {
        StringBuilder table = new StringBuilder();
        for (Series real : results.series("fleet")) {
            Series virtual = new Series("world", real.scenario(), real.metric(), real.variant());
            for (Map.Entry<Integer, Point> realPoint : results.points(real).entrySet()) {
                Point virtualPoint = results.points(virtual).get(realPoint.getKey());
                if (virtualPoint != null
                        && virtualPoint.isValid()
                        && realPoint.getValue().isValid()) {
                    table.append(comparisonRow(real, virtual, realPoint.getKey()));
                }
            }
        }
        return table.isEmpty()
                ? NOT_MEASURED
                : MarkdownTable.head(
                                "play",
                                "figure",
                                "unit",
                                "variant",
                                "size",
                                "real sockets",
                                "virtual world",
                                "real over virtual",
                                "why, if over a fifth")
                        + table;
    }

    private String comparisonRow(Series real, Series virtual, int size) {
        String unit = results.unit(real);
        double realValue = results.points(real).get(size).value(Statistic.MEDIAN);
        double virtualValue =
                Units.convert(
                        results.points(virtual).get(size).value(Statistic.MEDIAN),
                        results.unit(virtual),
                        unit);
        boolean isFarApart =
                Math.abs(realValue - virtualValue)
                        > MAX_RELATIVE_DIFFERENCE
                                * Math.max(Math.abs(realValue), Math.abs(virtualValue));
        String ratio =
                virtualValue == 0
                        ? realValue == 0 ? "1" : "none"
                        : Units.number(realValue / virtualValue);
        String key = real.scenario() + "/" + real.metric();
        return MarkdownTable.row(
                real.scenario(),
                real.metric(),
                unit,
                real.variant(),
                String.valueOf(size),
                Units.number(realValue),
                Units.number(virtualValue),
                isFarApart ? "**" + ratio + "**" : ratio,
                isFarApart
                        ? sizing.differences()
                                .getOrDefault(
                                        key,
                                        sizing.differences()
                                                .getOrDefault(
                                                        "any/" + real.metric(),
                                                        "not explained yet"))
                        : "");
    }

    private String faultsTable() {
        StringBuilder table =
                new StringBuilder(
                        MarkdownTable.head(
                                "fault",
                                "how often (the letter)",
                                "bytes out, worst " + "second of the worst member",
                                "lasts until all agree, worst",
                                "falsely unreachable",
                                "what clients see"));
        for (Fault fault : sizing.faults()) {
            table.append(
                    MarkdownTable.row(
                            fault.name(),
                            fault.frequency(),
                            faultCell(fault, "bytes_out_worst_second"),
                            faultCell(fault, "settled"),
                            faultCell(fault, "false_unreachable"),
                            fault.clientImpact()));
        }
        return table.toString();
    }

    private String faultCell(Fault fault, String metric) {
        if (fault.scenario().isEmpty()) {
            return CapacityEstimate.NOT_MEASURED;
        }
        CapacityEstimate estimate =
                sizing.need(
                        results, new Ref("fleet", fault.scenario(), metric, Statistic.WORST, ""));
        return estimate.isKnown()
                ? estimate.text() + " (" + estimate.derivation() + ")"
                : estimate.text();
    }

    /**
     * Returns a value in the prose: {@code target.NAME}, {@code least.…}, {@code sizes.SUITE} or
     * {@code suite/play/figure[/worst][@SIZE]}.
     */
    String inlineValue(String name) {
        if (name.startsWith("target.") && sizing.targets().containsKey(name.substring(7))) {
            return Units.number(sizing.targets().get(name.substring(7)));
        }
        if (name.startsWith("least.")) {
            return smallestMargin(name.substring(6));
        }
        if (name.startsWith("sizes.") && ResultLine.SUITES.contains(name.substring(6))) {
            List<String> sizes =
                    results.lines().stream()
                            .filter(
                                    line ->
                                            line.isValid()
                                                    && line.suite().equals(name.substring(6)))
                            .map(ResultLine::size)
                            .distinct()
                            .sorted()
                            .map(Units::number)
                            .toList();
            return sizes.isEmpty() ? CapacityEstimate.NOT_MEASURED : String.join(", ", sizes);
        }
        String[] words = name.split("[/@]");
        boolean hasSize = name.contains("@");
        int parts = words.length - (hasSize ? 1 : 0);
        if (parts < 3 || parts > 4 || !ResultLine.SUITES.contains(words[0])) {
            throw new IllegalArgumentException("no value is named " + name);
        }
        Ref ref =
                new Ref(
                        words[0],
                        words[1],
                        words[2],
                        parts == 4 ? Statistic.named(words[3]) : Statistic.MEDIAN,
                        "");
        return (hasSize
                        ? sizing.need(results, ref, Integer.parseInt(words[words.length - 1]))
                        : sizing.need(results, ref))
                .text();
    }

    private String smallestMargin(String what) {
        RoleRows.Answer least =
                roles.byFactor().stream().filter(RoleRows.Answer::isKnown).findFirst().orElse(null);
        return switch (what) {
            case "role" ->
                    least == null
                            ? CapacityEstimate.NOT_MEASURED
                            : least.row().role() + ", " + least.row().what();
            case "need" -> least == null ? CapacityEstimate.NOT_MEASURED : least.need().text();
            case "factor" -> least == null ? CapacityEstimate.NOT_MEASURED : RoleRows.factor(least);
            case "breaks" -> least == null ? CapacityEstimate.NOT_MEASURED : least.limit();
            case "mechanism" ->
                    least == null ? CapacityEstimate.NOT_MEASURED : least.row().mechanism();
            default -> throw new IllegalArgumentException("no value is named least." + what);
        };
    }
}
