package junipercourse.pg;

/**
 * Splits a statement into words, quoted names, strings and single characters, skipping white space
 * and comments. It keeps the positions of the current token only.
 */
final class SqlTokenizer {
    /** What the current token is. */
    enum Kind {
        WORD,
        QUOTED_NAME,
        STRING,
        CHARACTER
    }

    private static final int MAX_ASCII = 127;

    private final String sql;
    private int position;
    private int tokenStart;
    private Kind kind;

    SqlTokenizer(String sql) {
        this.sql = sql;
    }

    /** Advances to the next token; false at the end of the statement. */
    boolean next() {
        skipBlanksAndComments();
        if (position >= sql.length()) {
            return false;
        }
        tokenStart = position;
        kind = scanToken(sql.charAt(position));
        return true;
    }

    /** The kind of the current token. */
    Kind kind() {
        return kind;
    }

    /** Index of the first character of the current token. */
    int start() {
        return tokenStart;
    }

    /** Index after the last character of the current token. */
    int end() {
        return position;
    }

    private void skipBlanksAndComments() {
        while (position < sql.length()) {
            char character = sql.charAt(position);
            if (Character.isWhitespace(character)) {
                position++;
            } else if (character == '-' && isFollowedBy('-')) {
                int end = sql.indexOf('\n', position);
                position = end < 0 ? sql.length() : end + 1;
            } else if (character == '/' && isFollowedBy('*')) {
                position = CommentScanner.endOfComment(sql, position);
            } else {
                return;
            }
        }
    }

    private boolean isFollowedBy(char character) {
        return position + 1 < sql.length() && sql.charAt(position + 1) == character;
    }

    private Kind scanToken(char first) {
        if (first == '\'') {
            skipQuoted('\'', isEscapeString());
            return Kind.STRING;
        }
        if (first == '"') {
            skipQuoted('"', false);
            return Kind.QUOTED_NAME;
        }
        if (first == '$' && skipDollarQuoted()) {
            return Kind.STRING;
        }
        if (!isWordPart(first)) {
            position++;
            return Kind.CHARACTER;
        }
        while (position < sql.length() && isWordPart(sql.charAt(position))) {
            position++;
        }
        return Kind.WORD;
    }

    /** Whether the string that starts here is written as {@code e'…'}. */
    private boolean isEscapeString() {
        return position > 0
                && Character.toLowerCase(sql.charAt(position - 1)) == 'e'
                && (position == 1 || !isWordPart(sql.charAt(position - 2)));
    }

    private void skipQuoted(char quote, boolean escapes) {
        position++;
        while (position < sql.length()) {
            char character = sql.charAt(position++);
            if (escapes && character == '\\') {
                position++;
            } else if (character == quote) {
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

    private static boolean isWordPart(char character) {
        boolean isAsciiLetter =
                character >= 'a' && character <= 'z' || character >= 'A' && character <= 'Z';
        boolean isAsciiDigit = character >= '0' && character <= '9';
        return isAsciiLetter
                || isAsciiDigit
                || character == '_'
                || character == '$'
                || character > MAX_ASCII && Character.isLetterOrDigit(character);
    }
}
