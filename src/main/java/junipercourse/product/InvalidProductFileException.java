package junipercourse.product;

import java.util.List;

/**
 * A product file that cannot be used, with all that is wrong in it: {@code file:line:column:
 * element: what}.
 */
public final class InvalidProductFileException extends Exception {
    private static final long serialVersionUID = 1;
    private final transient List<String> errors;

    InvalidProductFileException(List<String> errors) {
        super(String.join("\n", errors));
        this.errors = List.copyOf(errors);
    }

    /** One line each, in the file's order. */
    public List<String> errors() {
        return errors;
    }
}
