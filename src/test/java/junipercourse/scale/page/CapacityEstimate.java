package junipercourse.scale.page;

import java.util.Map;
import java.util.function.DoubleUnaryOperator;
import junipercourse.scale.page.Measurements.Point;
import junipercourse.scale.page.Series.Statistic;

/**
 * What a role needs at the target size, and how the value was obtained.
 *
 * @param value NaN unless measured or extrapolated
 * @param why text of the cell if there is no number
 * @param derivation how the value was obtained: sizes, repeated runs, fitted line
 * @param fit line through all sizes; null if there is only one
 */
record CapacityEstimate(
        Origin origin,
        double value,
        String unit,
        String why,
        String derivation,
        Series series,
        LinearFit fit) {
    enum Origin {
        MEASURED,
        EXTRAPOLATED,
        NONE
    }

    static final String NOT_MEASURED = "not measured";

    static CapacityEstimate none(String why, Series series) {
        return new CapacityEstimate(Origin.NONE, Double.NaN, "", why, "", series, null);
    }

    /**
     * Returns the value measured at that size if it is valid; otherwise the value extrapolated by
     * the fitted line, or the reason why there is none.
     */
    static CapacityEstimate estimate(
            Measurements results, Series series, Statistic statistic, int size) {
        if (series == null) {
            return none(NOT_MEASURED, null);
        }
        Map<Integer, Point> points = results.points(series);
        LinearFit fit = results.fit(series, statistic);
        Point point = points.get(size);
        if (point != null && point.isValid()) {
            return new CapacityEstimate(
                    Origin.MEASURED,
                    point.value(statistic),
                    results.unit(series),
                    "",
                    "at " + size + ", " + MarkdownTable.repeats(point.validLines()),
                    series,
                    fit);
        }
        String why = point == null ? NOT_MEASURED : point.invalidText();
        if (fit == null) {
            String sizes =
                    points.values().stream()
                            .filter(Point::isValid)
                            .map(each -> String.valueOf(each.any().size()))
                            .findFirst()
                            .orElse(null);
            String lastReason =
                    point != null
                            ? why
                            : points.values().stream()
                                    .filter(each -> !each.isValid())
                                    .map(Point::invalidText)
                                    .reduce((a, b) -> b)
                                    .orElse(why);
            return none(
                    sizes == null
                            ? lastReason
                            : why + " (at " + sizes + " alone, so there is no slope)",
                    series);
        }
        if (fit.valueAt(size) < 0) {
            return none(why + " (the line is below zero there)", series);
        }
        String derivation =
                "from "
                        + fit.minSize()
                        + " to "
                        + fit.maxSize()
                        + " by the line, "
                        + MarkdownTable.repeats(
                                points.values().stream()
                                        .flatMap(each -> each.validLines().stream())
                                        .toList())
                        + (fit.isSuperlinear()
                                ? ", a lower bound: it grows faster than a line"
                                : "")
                        + (point == null ? "" : "; at " + size + " it " + point.invalidText());
        return new CapacityEstimate(
                Origin.EXTRAPOLATED,
                fit.valueAt(size),
                results.unit(series),
                "",
                derivation,
                series,
                fit);
    }

    boolean isKnown() {
        return origin != Origin.NONE;
    }

    /**
     * Returns this need with value and line converted: multiplied by a count, or in another unit.
     */
    CapacityEstimate transform(
            DoubleUnaryOperator conversion, String newUnit, String extraDerivation) {
        if (!isKnown()) {
            return this;
        }
        LinearFit convertedFit =
                fit == null
                        ? null
                        : new LinearFit(
                                conversion.applyAsDouble(fit.slope()),
                                conversion.applyAsDouble(fit.intercept()),
                                conversion.applyAsDouble(fit.residual()),
                                fit.exponent(),
                                fit.minSize(),
                                fit.maxSize(),
                                fit.sizeCount());
        return new CapacityEstimate(
                extraDerivation.isEmpty() ? origin : Origin.EXTRAPOLATED,
                conversion.applyAsDouble(value),
                newUnit,
                why,
                extraDerivation.isEmpty() ? derivation : derivation + ", " + extraDerivation,
                series,
                convertedFit);
    }

    /** Returns the text of the cell: a number, marked if extrapolated, or why there is none. */
    String text() {
        return switch (origin) {
            case NONE -> why;
            case MEASURED -> Units.with(value, unit);
            case EXTRAPOLATED -> "*reckoned* " + Units.with(value, unit);
        };
    }
}
