package junipercourse.pg;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/**
 * Extracts a statement's table group: the number after the last underscore in the name of the
 * schema that it reads or writes, such as 17 in {@code sales_17.orders}. Comments, strings, the
 * schema {@code staging} and columns qualified with a table name are ignored.
 */
final class TableGroupExtractor {
    private static final Set<String> TABLE_KEYWORDS =
            Set.of("from", "join", "into", "update", "table", "using", "only", "copy", "truncate");

    private final String sql;
    private final List<String> tokens = new ArrayList<>();
    private int position;

    private TableGroupExtractor(String sql) {
        this.sql = sql;
    }

    /** Returns the group, or 0 if the statement names none. */
    static float extractGroup(String sql) {
        TableGroupExtractor extractor = new TableGroupExtractor(sql);
        extractor.tokenize();
        Float groupAfterKeyword = extractor.findGroup(true);
        Float group = groupAfterKeyword == null ? extractor.findGroup(false) : groupAfterKeyword;
        return group == null ? 0 : group;
    }

    private Float findGroup(boolean afterKeyword) {
        boolean inTableList = false; // a comma continues a table list
        for (int i = 0; i + 2 < tokens.size(); i++) {
            boolean qualified =
                    isIdentifier(i)
                            && tokens.get(i + 1).equals(".")
                            && isIdentifier(i + 2)
                            && (i == 0 || !tokens.get(i - 1).equals("."));
            String previousToken = i == 0 ? "" : tokens.get(i - 1);
            boolean isTablePosition =
                    TABLE_KEYWORDS.contains(previousToken.toLowerCase(Locale.ROOT))
                            || previousToken.equals(",") && inTableList;
            if (qualified && (isTablePosition || !afterKeyword)) {
                // the first of three parts is the database
                boolean hasDatabaseName =
                        i + 4 < tokens.size()
                                && tokens.get(i + 3).equals(".")
                                && isIdentifier(i + 4);
                Float group = groupNumber(unquote(tokens.get(hasDatabaseName ? i + 2 : i)));
                if (group != null) {
                    return group;
                }
            }
            String token = tokens.get(i).toLowerCase(Locale.ROOT);
            if (TABLE_KEYWORDS.contains(token)) {
                inTableList = true;
            } else if (Set.of("where", "select", "group", "order", "set", "on", "(")
                    .contains(token)) {
                inTableList = false;
            }
        }
        return null;
    }

    private static Float groupNumber(String schema) {
        int underscore = schema.lastIndexOf('_');
        String digits = schema.substring(underscore + 1);
        boolean isNumber =
                underscore >= 0
                        && !digits.isEmpty()
                        && digits.length() <= 9
                        && digits.chars().allMatch(c -> c >= '0' && c <= '9');
        return isNumber ? (Float) (float) Integer.parseInt(digits) : null;
    }

    private boolean isIdentifier(int i) {
        char c = tokens.get(i).charAt(0);
        return Character.isLetter(c) || c == '_' || c == '"';
    }

    private static String unquote(String token) {
        return token.startsWith("\"") ? token.substring(1, token.length() - 1) : token;
    }

    private void tokenize() {
        while (position < sql.length()) {
            char c = sql.charAt(position);
            if (Character.isWhitespace(c)) {
                position++;
            } else if (sql.startsWith("--", position)) {
                int end = sql.indexOf('\n', position);
                position = end < 0 ? sql.length() : end + 1;
            } else if (sql.startsWith("/*", position)) {
                position = CommentScanner.endOfComment(sql, position);
            } else if (c == '\'') {
                boolean escapes =
                        position > 0
                                && Character.toLowerCase(sql.charAt(position - 1)) == 'e'
                                && (position == 1 || !isWordPart(sql.charAt(position - 2)));
                skipString(escapes);
            } else if (c == '"') {
                int tokenStart = position;
                skipQuoted('"', false);
                tokens.add(sql.substring(tokenStart, position));
            } else if (c == '$' && skipDollarQuoted()) {
                tokens.add("'");
            } else if (isWordPart(c)) {
                int tokenStart = position;
                while (position < sql.length() && isWordPart(sql.charAt(position))) {
                    position++;
                }
                tokens.add(sql.substring(tokenStart, position));
            } else {
                tokens.add(String.valueOf(c));
                position++;
            }
        }
    }

    private void skipString(boolean escapes) {
        skipQuoted('\'', escapes);
        tokens.add("'");
    }

    private void skipQuoted(char quote, boolean escapes) {
        position++;
        while (position < sql.length()) {
            char c = sql.charAt(position++);
            if (escapes && c == '\\') {
                position++;
            } else if (c == quote) {
                if (position >= sql.length() || sql.charAt(position) != quote) {
                    return;
                }
                position++; // a doubled quote is part of the text
            }
        }
        position = sql.length();
    }

    /** Skips a text quoted as {@code $tag$…$tag$}. Returns false if none starts here. */
    private boolean skipDollarQuoted() {
        int i = position + 1;
        while (i < sql.length() && isWordPart(sql.charAt(i)) && sql.charAt(i) != '$') {
            i++;
        }
        boolean isParameter =
                Character.isDigit(sql.charAt(Math.min(position + 1, sql.length() - 1)));
        if (i >= sql.length() || sql.charAt(i) != '$' || isParameter) {
            return false;
        }
        String tag = sql.substring(position, i + 1);
        int end = sql.indexOf(tag, i + 1);
        position = end < 0 ? sql.length() : end + tag.length();
        return true;
    }

    private static boolean isWordPart(char c) {
        return Character.isLetterOrDigit(c) || c == '_' || c == '$';
    }
}
