package junipercourse.scale.page;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import junipercourse.scale.page.CapacityModel.Budget;
import junipercourse.scale.page.CapacityModel.Row;

/** Compares the need of each role at the target size with its budget. */
final class RoleRows {
    private final Measurements results;
    private final CapacityModel sizing;

    RoleRows(Measurements results, CapacityModel sizing) {
        this.results = results;
        this.sizing = sizing;
    }

    /**
     * A row with its need and budget.
     *
     * @param factor budget divided by need; NaN if one of the two is unknown
     */
    record Answer(Row row, CapacityEstimate need, Budget budget, double factor, String limit) {
        boolean isKnown() {
            return !Double.isNaN(factor);
        }
    }

    List<Answer> all() {
        List<Answer> all = new ArrayList<>();
        for (Row row : sizing.rows()) {
            all.add(evaluate(row));
        }
        return all;
    }

    /** Returns the rows with a budget by ascending factor, those not measured last. */
    List<Answer> byFactor() {
        return all().stream()
                .filter(each -> each.budget() != null)
                .sorted(
                        Comparator.comparingDouble(
                                each -> each.isKnown() ? each.factor() : Double.MAX_VALUE))
                .toList();
    }

    private Answer evaluate(Row row) {
        Budget budget = sizing.budgets().get(row.budget());
        if (row.ref() == null) {
            return new Answer(
                    row,
                    CapacityEstimate.none(
                            row.why().isEmpty()
                                    ? CapacityEstimate.NOT_MEASURED
                                    : CapacityEstimate.NOT_MEASURED + ": " + row.why(),
                            null),
                    budget,
                    Double.NaN,
                    "");
        }
        CapacityEstimate need = sizing.need(results, row.ref());
        if (budget == null || !need.isKnown()) {
            return new Answer(row, need, budget, Double.NaN, "");
        }
        String unit = need.unit();
        CapacityEstimate converted =
                need.transform(
                        value -> Units.convert(value, unit, budget.unit()), budget.unit(), "");
        String counted = sizing.sizeUnit(row.ref().suite(), row.ref().scenario());
        return new Answer(
                row,
                converted,
                budget,
                converted.value() > 0
                        ? budget.value() / converted.value()
                        : Double.POSITIVE_INFINITY,
                limitText(converted, budget, counted));
    }

    private static String limitText(CapacityEstimate need, Budget budget, String counted) {
        if (need.fit() == null) {
            return "not reckoned: one size";
        }
        double size = need.fit().sizeAtValue(budget.value());
        if (Double.isNaN(size)) {
            return "does not grow";
        }
        if (size < need.fit().minSize()) {
            return "under " + need.fit().minSize() + " " + counted + ", the least that was run";
        }
        return "*reckoned* "
                + (need.fit().isSuperlinear() ? "at most " : "")
                + Units.number(size)
                + " "
                + counted;
    }

    String table() {
        StringBuilder table =
                new StringBuilder(
                        MarkdownTable.head(
                                "role",
                                "what",
                                "need at the size",
                                "from",
                                "each more",
                                "carried by",
                                "budget",
                                "factor left",
                                "breaks at"));
        for (Answer each : all()) {
            CapacityEstimate need = each.need();
            String text =
                    each.row().ref() == null && !each.row().text().isEmpty()
                            ? each.row().text()
                            : each.row().text().isEmpty()
                                    ? need.text()
                                    : each.row().text() + ": " + need.text();
            table.append(
                    MarkdownTable.row(
                            each.row().role(),
                            each.row().what(),
                            text,
                            need.series() == null ? "" : need.series() + " " + need.derivation(),
                            need.isKnown() ? MarkdownTable.fitCell(need.fit(), need.unit()) : "",
                            each.row().mechanism(),
                            budget(each),
                            factor(each),
                            each.limit()));
        }
        return table.toString();
    }

    String missing() {
        StringBuilder table =
                new StringBuilder(
                        MarkdownTable.head(
                                "order",
                                "role",
                                "what",
                                "need at the size",
                                "budget",
                                "factor left",
                                "breaks at",
                                "carried by"));
        int order = 0;
        for (Answer each : byFactor()) {
            table.append(
                    MarkdownTable.row(
                            each.isKnown() ? String.valueOf(++order) : "",
                            each.row().role(),
                            each.row().what(),
                            each.need().text(),
                            budget(each),
                            factor(each),
                            each.limit(),
                            each.row().mechanism()));
        }
        return table.toString();
    }

    static String factor(Answer each) {
        if (!each.isKnown()) {
            return each.budget() == null ? "" : CapacityEstimate.NOT_MEASURED;
        }
        String text =
                Double.isInfinite(each.factor()) ? "needs nothing" : Units.number(each.factor());
        return each.factor() < 1 ? "**" + text + "**" : text;
    }

    private static String budget(Answer each) {
        return each.budget() == null
                ? "none stated"
                : Units.with(each.budget().value(), each.budget().unit())
                        + " ("
                        + each.budget().source()
                        + ")";
    }
}
