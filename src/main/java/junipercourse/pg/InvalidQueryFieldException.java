package junipercourse.pg;

/** Thrown for a query with an invalid field. The message names the field. */
final class InvalidQueryFieldException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidQueryFieldException(String field, String problem) {
        super(field + ": " + problem);
    }
}
