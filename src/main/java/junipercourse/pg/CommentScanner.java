package junipercourse.pg;

/** Finds the ends of SQL comments. */
final class CommentScanner {
    private CommentScanner() {}

    /**
     * Returns the index after the comment that starts at {@code commentStart}, or the length of the
     * text if the comment is not closed. Comments nest.
     */
    static int endOfComment(String sql, int commentStart) {
        int depth = 0;
        for (int i = commentStart; i + 1 < sql.length(); i++) {
            char character = sql.charAt(i);
            if (character == '/' && sql.charAt(i + 1) == '*') {
                depth++;
                i++;
            } else if (character == '*' && sql.charAt(i + 1) == '/') {
                depth--;
                i++;
                if (depth == 0) {
                    return i + 1;
                }
            }
        }
        return sql.length();
    }
}
