package junipercourse.scale.page;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import junipercourse.scale.page.Measurements.Point;
import junipercourse.scale.page.Series.Statistic;

/** Formats the cells and rows of Markdown tables. */
final class MarkdownTable {
    private MarkdownTable() {}

    static String row(String... cells) {
        return row(Arrays.asList(cells));
    }

    static String row(List<String> cells) {
        return cells.stream().collect(Collectors.joining(" | ", "| ", " |")) + "\n";
    }

    static String head(List<String> cells) {
        return row(cells) + row(cells.stream().map(cell -> "---").toList());
    }

    static String head(String... cells) {
        return head(Arrays.asList(cells));
    }

    /** Returns the number of seeds, and the number of runs if a seed was run more than once. */
    static String repeats(List<ResultLine> lines) {
        long seeds = lines.stream().mapToLong(ResultLine::seed).distinct().count();
        int runs =
                lines.stream().collect(Collectors.groupingBy(ResultLine::size)).values().stream()
                        .mapToInt(List::size)
                        .max()
                        .orElse(0);
        String text = seeds + (seeds == 1 ? " seed" : " seeds");
        return runs > seeds ? runs + " runs of " + text : text;
    }

    /** Formats median and worst at one size, with the range of the repeated runs' medians. */
    static String point(Point point) {
        if (point == null) {
            return "";
        }
        if (!point.isValid()) {
            return point.invalidText();
        }
        double median = point.value(Statistic.MEDIAN);
        double worst = point.value(Statistic.WORST);
        StringBuilder cell = new StringBuilder(Units.number(median));
        if (point.validLines().size() > 1) {
            cell.append(" (")
                    .append(Units.number(point.min(Statistic.MEDIAN)))
                    .append(" to ")
                    .append(Units.number(point.max(Statistic.MEDIAN)))
                    .append(')');
        }
        if (worst != median) {
            cell.append(", worst ").append(Units.number(worst));
        }
        if (!point.invalidLines().isEmpty()) {
            cell.append("; ")
                    .append(point.invalidLines().size())
                    .append(" more ")
                    .append(point.invalidText());
        }
        return cell.toString();
    }

    static List<String> points(Map<Integer, Point> points, Iterable<Integer> sizes) {
        List<String> cells = new ArrayList<>();
        sizes.forEach(size -> cells.add(point(points.get(size))));
        return cells;
    }

    /**
     * Formats the cost of one more unit of size, the residual and the exponent of the power law.
     */
    static String fitCell(LinearFit fit, String unit) {
        if (fit == null) {
            return "none: one size or less";
        }
        return Units.with(fit.slope(), unit)
                + " each"
                + (Double.isNaN(fit.residual())
                        ? ", two points"
                        : ", ± " + Units.number(fit.residual()))
                + (Double.isNaN(fit.exponent())
                        ? ""
                        : ", exponent " + Units.number(fit.exponent()));
    }
}
