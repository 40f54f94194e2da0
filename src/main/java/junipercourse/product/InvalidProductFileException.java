package junipercourse.product;

import java.util.List;

/**
 * A product file that cannot be used, with all that is wrong in it: {@code file:line:column:
 * element: what}.
 */
public final class InvalidProductFileException extends Exception {
    private static final long serialVersionUID = 1;
    private final transient List<String> errors;

    InvalidProductFileException(List<String> faults) {
        super(String.join("\n", faults));
        this.errors = List.copyOf(faults);
    }

    /** One line each, in the file's order. */
    public List<String> errors() {
        return errors;
    }
}
