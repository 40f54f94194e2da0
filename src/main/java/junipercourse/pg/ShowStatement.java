package junipercourse.pg;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Recognizes {@code SHOW name}, with which operators query a status table. */
final class ShowStatement {
    /** Possessive, so that matching never backtracks and takes time linear in the text. */
    private static final Pattern SHOW_STATEMENT =
            Pattern.compile("\\s*+show\\s++([a-z_]++)\\s*+;?+\\s*+", Pattern.CASE_INSENSITIVE);

    private ShowStatement() {}

    /** Returns the name in the statement, in the case it was written, or null for another text. */
    static String tableName(String text) {
        Matcher matcher = SHOW_STATEMENT.matcher(text);
        return matcher.matches() ? matcher.group(1) : null;
    }
}
