package junipercourse.scale.page;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.function.UnaryOperator;
import java.util.regex.MatchResult;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The page's text with its markers. {@code <!-- table NAME -->} to {@code <!-- end -->} and {@code
 * <!--=NAME-->} to {@code <!--/-->} are generated; {@code <!-- stated SOURCE -->} to {@code <!--
 * end -->} encloses numbers that were stated, not measured.
 */
final class TemplatePage {
    /**
     * Allowed sources of stated numbers: the operators' letter, and defaults in code or settings.
     */
    private static final List<String> ALLOWED_SOURCES = List.of("letter", "settings");

    private static final Pattern TABLE =
            Pattern.compile("(?s)(<!-- table ([^>]*?) -->\\n)(.*?)(<!-- " + "end -->)");
    private static final Pattern STATED =
            Pattern.compile("(?s)<!-- stated ([^>]*?) -->(.*?)<!-- end -->");
    private static final Pattern INLINE = Pattern.compile("(<!--=([^>]*?)-->)([^<]*)(<!--/-->)");
    private static final Pattern MARKER = Pattern.compile("<!--.*?-->");
    private final String text;

    TemplatePage(String text) {
        this.text = text;
    }

    /**
     * Fills the markers from the results; fails if a marker's end is missing or its name is
     * unknown.
     */
    String generate(CapacityTables tables) {
        for (MatchResult found : TABLE.matcher(text).results().toList()) {
            if (MARKER.matcher(found.group(3)).find()) {
                throw new IllegalArgumentException(
                        "table " + found.group(2) + ": its end is missing");
            }
        }
        String withTables = replace(TABLE, text, found -> tables.table(found.group(2)));
        return replace(INLINE, withTables, found -> tables.inlineValue(found.group(2)));
    }

    private static String replace(
            Pattern pattern, String text, Function<MatchResult, String> value) {
        return pattern.matcher(text)
                .replaceAll(
                        found ->
                                Matcher.quoteReplacement(
                                        found.group(1) + value.apply(found) + found.group(4)));
    }

    /** Returns all differences between page and results and all misplaced markers and numbers. */
    List<String> faults(CapacityTables tables) {
        List<String> faults = new ArrayList<>();
        compare(TABLE, tables::table, "table ", faults);
        compare(INLINE, tables::inlineValue, "value ", faults);
        for (MatchResult found : STATED.matcher(text).results().toList()) {
            if (!ALLOWED_SOURCES.contains(found.group(1))) {
                faults.add("stated by " + found.group(1) + ", who is none of " + ALLOWED_SOURCES);
            }
            if (MARKER.matcher(found.group(2)).find()) {
                faults.add(
                        "stated by "
                                + found.group(1)
                                + ": a marker stands in it, or its end is missing");
            }
        }
        String prose = textOutsideMarkers();
        MARKER.matcher(prose)
                .results()
                .forEach(found -> faults.add("stray marker " + found.group()));
        TypedNumbers.find(prose)
                .forEach(number -> faults.add("typed number in the prose: " + number));
        return faults;
    }

    private void compare(
            Pattern pattern, UnaryOperator<String> value, String kind, List<String> faults) {
        for (MatchResult found : pattern.matcher(text).results().toList()) {
            try {
                if (!found.group(3).equals(value.apply(found.group(2)))) {
                    faults.add(kind + found.group(2) + " is not what the results give");
                }
            } catch (IllegalArgumentException e) {
                faults.add(kind + found.group(2) + ": " + e.getMessage());
            }
        }
    }

    /** Returns the text outside all markers. */
    private String textOutsideMarkers() {
        String remainingText = text;
        for (Pattern pattern : List.of(TABLE, STATED, INLINE)) {
            remainingText = pattern.matcher(remainingText).replaceAll(" ");
        }
        return remainingText;
    }
}
