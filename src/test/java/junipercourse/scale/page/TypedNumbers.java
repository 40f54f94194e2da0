package junipercourse.scale.page;

import java.util.List;
import java.util.regex.Pattern;

/** Finds hand-typed numbers, which come from no result and no named source. */
final class TypedNumbers {
    /**
     * Text whose digits are no quantity: code, links, comments, numbers of list items and issues.
     */
    private static final Pattern TEXT_WITHOUT_QUANTITIES =
            Pattern.compile(
                    "(?s)<!--.*?-->|`[A-Za-z./-][^`\\n]*`|\\]\\([^)]*\\)"
                            + "|(?m:^ {4}.*$)|(?i:issues? \\d+)|(?m:^\\s*\\d+\\. )");

    private static final Pattern NUMBER =
            Pattern.compile("(?<![A-Za-z_])\\d[\\d.,]*(?:\\s?[^\\s|]+)?");

    private TypedNumbers() {}

    static List<String> find(String text) {
        return NUMBER.matcher(TEXT_WITHOUT_QUANTITIES.matcher(text).replaceAll(" " + ""))
                .results()
                .map(found -> found.group().strip())
                .toList();
    }
}
