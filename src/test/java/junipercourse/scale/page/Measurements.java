package junipercourse.scale.page;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.stream.Stream;
import junipercourse.scale.page.Series.Statistic;

/** All measured results, the only source of the page's numbers. Only valid lines give numbers. */
final class Measurements {
    private final List<ResultLine> lines;
    private final Map<Series, TreeMap<Integer, Point>> series = new HashMap<>();

    /** Rejects a series with two units, since its numbers cannot be compared. */
    Measurements(List<ResultLine> lines) {
        this.lines = List.copyOf(lines);
        Map<Series, String> units = new HashMap<>();
        for (ResultLine line : lines) {
            String unit = units.putIfAbsent(Series.of(line), line.unit());
            if (unit != null && !unit.equals(line.unit())) {
                throw new IllegalArgumentException(
                        Series.of(line) + ": units '" + unit + "' and '" + line.unit() + "'");
            }
            series.computeIfAbsent(Series.of(line), none -> new TreeMap<>())
                    .computeIfAbsent(
                            line.size(), none -> new Point(new ArrayList<>(), new ArrayList<>()))
                    .add(line);
        }
    }

    /** Reads all {@code *.jsonl} files of a folder; an error names file and line. */
    static Measurements read(Path folder) throws IOException {
        List<ResultLine> all = new ArrayList<>();
        if (Files.isDirectory(folder)) {
            try (Stream<Path> files = Files.list(folder)) {
                for (Path file :
                        files.filter(each -> each.toString().endsWith(".jsonl"))
                                .sorted()
                                .toList()) {
                    List<String> texts = Files.readAllLines(file);
                    for (int i = 0; i < texts.size(); i++) {
                        add(all, texts.get(i), file + ":" + (i + 1));
                    }
                }
            }
        }
        return new Measurements(all);
    }

    private static void add(List<ResultLine> all, String text, String location) {
        try {
            if (!text.isBlank()) {
                all.add(ResultLine.read(text));
            }
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException(location + ": " + e.getMessage(), e);
        }
    }

    /**
     * Marks results as invalid that are no measurement: metrics that a tool's fault has falsified,
     * and runs of the calm scenario that began before the fleet had settled.
     */
    Measurements excludeInvalid(Map<String, String> voided) {
        List<ResultLine> checked = new ArrayList<>();
        for (ResultLine line : lines) {
            String voidReason =
                    voided.get(line.suite() + "/" + line.metric() + "/" + line.commit());
            boolean unsettled =
                    line.scenario().equals("calm")
                            && lines.stream()
                                    .anyMatch(
                                            other ->
                                                    other.metric().equals("unsettled")
                                                            && other.median() > 0
                                                            && other.scenario().equals("calm")
                                                            && other.size() == line.size()
                                                            && other.variant()
                                                                    .equals(line.variant())
                                                            && other.commit().equals(line.commit())
                                                            && other.seed() == line.seed());
            checked.add(
                    !line.isValid()
                            ? line
                            : voidReason != null
                                    ? line.asInvalid(voidReason)
                                    : unsettled
                                            ? line.asInvalid(
                                                    "the fleet had not settled when the play began")
                                            : line);
        }
        return new Measurements(checked);
    }

    List<ResultLine> lines() {
        return lines;
    }

    boolean hasResults(String suite) {
        return lines.stream().anyMatch(line -> line.suite().equals(suite));
    }

    boolean hasScenario(String suite, String play) {
        return lines.stream()
                .anyMatch(line -> line.suite().equals(suite) && line.scenario().equals(play));
    }

    boolean hasResults(String suite, String figure) {
        return lines.stream()
                .anyMatch(line -> line.suite().equals(suite) && line.metric().equals(figure));
    }

    /** Returns the distinct values of a field over a suite's lines, in the order of measurement. */
    Set<String> distinct(String suite, Function<ResultLine, String> field) {
        Set<String> all = new LinkedHashSet<>();
        lines.stream()
                .filter(line -> line.suite().equals(suite))
                .forEach(line -> all.add(field.apply(line)));
        return all;
    }

    /** Returns the distinct series of a suite in the order of the results. */
    List<Series> series(String suite) {
        Set<Series> all = new LinkedHashSet<>();
        lines.stream()
                .filter(line -> line.suite().equals(suite))
                .forEach(line -> all.add(Series.of(line)));
        return all.stream().toList();
    }

    /** Returns the sizes that a suite was run at, including those of invalid lines. */
    SortedSet<Integer> sizes(String suite) {
        SortedSet<Integer> all = new TreeSet<>();
        lines.stream()
                .filter(line -> line.suite().equals(suite))
                .forEach(line -> all.add(line.size()));
        return all;
    }

    /** Returns the points of a series by size; empty if it was not measured. */
    Map<Integer, Point> points(Series key) {
        return series.getOrDefault(key, new TreeMap<>());
    }

    /** Returns the series of the first variant that has results; null if none has. */
    Series firstMeasured(List<String> variants, String suite, String play, String figure) {
        return variants.stream()
                .map(variant -> new Series(suite, play, figure, variant))
                .filter(series::containsKey)
                .findFirst()
                .orElse(null);
    }

    /** Returns why no line of a scenario is valid; empty if one is, or if there are no lines. */
    String noValidResultText(String suite, String play) {
        List<ResultLine> left =
                lines.stream()
                        .filter(line -> line.suite().equals(suite) && line.scenario().equals(play))
                        .toList();
        return left.isEmpty() || left.stream().anyMatch(ResultLine::isValid)
                ? ""
                : new Point(List.of(), left).invalidText();
    }

    String unit(Series key) {
        return points(key).values().iterator().next().any().unit();
    }

    /** Fits a line to all valid lines of a series; null with fewer than two sizes. */
    LinearFit fit(Series key, Statistic statistic) {
        List<double[]> all = new ArrayList<>();
        points(key)
                .forEach(
                        (size, point) ->
                                point.validLines()
                                        .forEach(
                                                line ->
                                                        all.add(
                                                                new double[] {
                                                                    size, statistic.of(line)
                                                                })));
        return LinearFit.fitPoints(all);
    }

    /** The results of a series at one size: the valid and the invalid repeated runs. */
    record Point(List<ResultLine> validLines, List<ResultLine> invalidLines) {
        private void add(ResultLine line) {
            (line.isValid() ? validLines : invalidLines).add(line);
        }

        ResultLine any() {
            return validLines.isEmpty() ? invalidLines.get(0) : validLines.get(0);
        }

        boolean isValid() {
            return !validLines.isEmpty();
        }

        /**
         * Returns the median of the repeated runs' medians, or the maximum of their worst values.
         */
        double value(Statistic statistic) {
            if (!isValid()) {
                throw new IllegalStateException(
                        Series.of(any()) + " at " + any().size() + " " + invalidText());
            }
            double[] all = validLines.stream().mapToDouble(statistic::of).sorted().toArray();
            if (statistic == Statistic.WORST) {
                return all[all.length - 1];
            }
            int middle = all.length / 2;
            return all.length % 2 == 1 ? all[middle] : (all[middle - 1] + all[middle]) / 2;
        }

        double min(Statistic statistic) {
            return validLines.stream().mapToDouble(statistic::of).min().orElse(Double.NaN);
        }

        double max(Statistic statistic) {
            return validLines.stream().mapToDouble(statistic::of).max().orElse(Double.NaN);
        }

        String invalidText() {
            return "did not count: "
                    + invalidLines.stream()
                            .map(ResultLine::invalidReason)
                            .distinct()
                            .sorted(Comparator.naturalOrder())
                            .reduce((a, b) -> a + "; " + b)
                            .orElse("")
                            .replace('|', '/')
                            .replaceAll("\\v+", " ")
                            .replace("<", "&lt;")
                            .replace(">", "&gt;");
        }
    }
}
