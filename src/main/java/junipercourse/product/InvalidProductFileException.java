package junipercourse.product;

import java.util.List;

/**
 * Thrown for an invalid product file, with all of its errors: {@code file:line:column: element:
 * problem}.
 */
public final class InvalidProductFileException extends Exception {
    private static final long serialVersionUID = 1;
    private final transient List<String> errors;

    InvalidProductFileException(List<String> errors) {
        super(String.join("\n", errors));
        this.errors = List.copyOf(errors);
    }

    /** Returns the errors in file order, one line each. */
    public List<String> errors() {
        return errors;
    }
}
