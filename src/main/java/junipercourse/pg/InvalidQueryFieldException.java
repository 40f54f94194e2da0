package junipercourse.pg;

/** A query that cannot be taken as it is; the message names the field at fault. */
final class InvalidQueryFieldException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidQueryFieldException(String field, String problem) {
        super(field + ": " + problem);
    }
}
