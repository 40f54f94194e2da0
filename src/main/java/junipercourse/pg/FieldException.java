package junipercourse.pg;

/** A query that cannot be taken as it is; the message names the field at fault. */
final class FieldException extends Exception {
    private static final long serialVersionUID = 1L;

    FieldException(String field, String fault) {
        super(field + ": " + fault);
    }
}
