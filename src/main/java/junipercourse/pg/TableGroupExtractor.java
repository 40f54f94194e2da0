package junipercourse.pg;

import java.util.Locale;
import java.util.Set;

/**
 * Extracts a statement's table group: the number after the last underscore in the name of the
 * schema that it reads or writes, such as 17 in {@code sales_17.orders}. Comments, strings, the
 * schema {@code staging} and columns qualified with a table name are ignored.
 *
 * <p>One pass over the statement, with a window of a few tokens: its time is linear in the text,
 * and it creates objects for possible keywords and schemas only.
 */
final class TableGroupExtractor {
    private static final Set<String> TABLE_KEYWORDS =
            Set.of("from", "join", "into", "update", "table", "using", "only", "copy", "truncate");
    private static final Set<String> LIST_END_KEYWORDS =
            Set.of("where", "select", "group", "order", "set", "on");
    private static final int MIN_KEYWORD_LENGTH = 2;
    private static final int MAX_KEYWORD_LENGTH = 8;

    /** Of a group's number, which fits an {@code int} then. */
    private static final int MAX_DIGITS = 9;

    /** Tokens after the first one of a name: two dots and two more parts. */
    private static final int LOOKAHEAD = 4;

    /** At least the lookahead, the current token and the one before; a power of two. */
    private static final int WINDOW = 8;

    private final String sql;
    private final SqlTokenizer tokenizer;
    private final int[] starts = new int[WINDOW];
    private final int[] ends = new int[WINDOW];
    private final SqlTokenizer.Kind[] kinds = new SqlTokenizer.Kind[WINDOW];
    private int tokenCount;
    private boolean inTableList; // a comma continues a table list
    private boolean isTablePosition; // the next name is that of a table
    private Float groupOfTable;
    private Float groupElsewhere;

    private TableGroupExtractor(String sql) {
        this.sql = sql;
        this.tokenizer = new SqlTokenizer(sql);
    }

    /** Returns the group, or 0 if the statement names none. */
    static float extractGroup(String sql) {
        TableGroupExtractor extractor = new TableGroupExtractor(sql);
        extractor.scan();
        Float group =
                extractor.groupOfTable == null ? extractor.groupElsewhere : extractor.groupOfTable;
        return group == null ? 0 : group;
    }

    private void scan() {
        boolean hasMore = true;
        for (int index = 0; groupOfTable == null; index++) {
            while (hasMore && tokenCount <= index + LOOKAHEAD) {
                hasMore = readToken();
            }
            if (index >= tokenCount) {
                return;
            }
            examineName(index);
            updateTablePosition(index);
        }
    }

    private boolean readToken() {
        if (!tokenizer.next()) {
            return false;
        }
        int slot = tokenCount % WINDOW;
        starts[slot] = tokenizer.start();
        ends[slot] = tokenizer.end();
        kinds[slot] = tokenizer.kind();
        tokenCount++;
        return true;
    }

    /** Looks for a group where a qualified name starts. */
    private void examineName(int index) {
        boolean isQualified =
                isIdentifier(index)
                        && isCharacter(index + 1, '.')
                        && isIdentifier(index + 2)
                        && (index == 0 || !isCharacter(index - 1, '.'));
        if (!isQualified || !isTablePosition && groupElsewhere != null) {
            return;
        }
        // the first of three parts is the database
        boolean hasDatabaseName = isCharacter(index + 3, '.') && isIdentifier(index + 4);
        Float group = groupNumber(hasDatabaseName ? index + 2 : index);
        if (isTablePosition) {
            groupOfTable = group;
        }
        if (groupElsewhere == null) {
            groupElsewhere = group;
        }
    }

    private void updateTablePosition(int index) {
        String keyword = keywordAt(index);
        boolean isTableKeyword = keyword != null && TABLE_KEYWORDS.contains(keyword);
        isTablePosition = isTableKeyword || isCharacter(index, ',') && inTableList;
        if (isTableKeyword) {
            inTableList = true;
        } else if (isCharacter(index, '(')
                || keyword != null && LIST_END_KEYWORDS.contains(keyword)) {
            inTableList = false;
        }
    }

    /** Returns a word that may be a keyword in lower case, or null. */
    private String keywordAt(int index) {
        int slot = index % WINDOW;
        int length = ends[slot] - starts[slot];
        boolean mayBeKeyword =
                kinds[slot] == SqlTokenizer.Kind.WORD
                        && length >= MIN_KEYWORD_LENGTH
                        && length <= MAX_KEYWORD_LENGTH;
        return mayBeKeyword
                ? sql.substring(starts[slot], ends[slot]).toLowerCase(Locale.ROOT)
                : null;
    }

    private boolean isCharacter(int index, char character) {
        int slot = index % WINDOW;
        return index < tokenCount
                && kinds[slot] == SqlTokenizer.Kind.CHARACTER
                && sql.charAt(starts[slot]) == character;
    }

    private boolean isIdentifier(int index) {
        if (index >= tokenCount) {
            return false;
        }
        int slot = index % WINDOW;
        char first = sql.charAt(starts[slot]);
        return kinds[slot] == SqlTokenizer.Kind.QUOTED_NAME
                || kinds[slot] == SqlTokenizer.Kind.WORD
                        && (Character.isLetter(first) || first == '_');
    }

    /** Returns the number at the end of a schema's name, or null if there is none. */
    private Float groupNumber(int index) {
        int slot = index % WINDOW;
        boolean isQuoted = kinds[slot] == SqlTokenizer.Kind.QUOTED_NAME;
        int end = ends[slot] - (isQuoted ? 1 : 0);
        int digitsStart = end;
        while (digitsStart > starts[slot] && isDigit(sql.charAt(digitsStart - 1))) {
            digitsStart--;
        }
        int digits = end - digitsStart;
        boolean isNumber =
                digits > 0
                        && digits <= MAX_DIGITS
                        && digitsStart > starts[slot]
                        && sql.charAt(digitsStart - 1) == '_';
        return isNumber ? (Float) (float) Integer.parseInt(sql, digitsStart, end, 10) : null;
    }

    private static boolean isDigit(char character) {
        return character >= '0' && character <= '9';
    }
}
