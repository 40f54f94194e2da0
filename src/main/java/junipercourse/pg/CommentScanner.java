package junipercourse.pg;

/** Where a statement's comments end. */
final class CommentScanner {
    private CommentScanner() {}

    /**
     * The place after the comment that opens here; comments nest. The end of the text if it stays
     * open.
     */
    static int endOfComment(String sql, int commentStart) {
        int depth = 0;
        for (int i = commentStart; i + 1 < sql.length(); i++) {
            if (sql.startsWith("/*", i)) {
                depth++;
                i++;
            } else if (sql.startsWith("*/", i)) {
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
