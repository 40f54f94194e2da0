package junipercourse.product;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.xml.sax.Attributes;
import org.xml.sax.ErrorHandler;
import org.xml.sax.Locator;
import org.xml.sax.SAXException;
import org.xml.sax.SAXParseException;
import org.xml.sax.helpers.XMLFilterImpl;

/**
 * Collects errors up to a limit. It filters the events before the schema's validator, so that it
 * can name the element of each error. The validator reports an invalid value twice: as a value of
 * its type, then as the attribute's value. Only the second is collected, with the expected format.
 */
final class SchemaErrorCollector extends XMLFilterImpl implements ErrorHandler {
    private static final int MAX_ERRORS = 50;
    private static final Pattern VALUE_ERROR =
            Pattern.compile(
                    "cvc-(pattern|datatype|minInclusive"
                            + "|maxInclusive|enumeration|length)[^:]*: .*",
                    Pattern.DOTALL);
    private static final Pattern ATTRIBUTE_ERROR =
            Pattern.compile(
                    "cvc-attribute\\.3: The value '(.*)' of attribute '(.*)' on element '.*' is not"
                            + " valid with respect to its type, '(.*)'\\.",
                    Pattern.DOTALL);
    private static final Map<String, String> EXPECTED_VALUES =
            Map.of(
                    "name", "1 to 40 visible ASCII characters",
                    "address", "a numeric address and a port, such as 127.0.0.1:7101",
                    "time", "a time with its unit (ms, s, min, h), such as 250ms",
                    "byte-rate", "a rate (B/s, KB/s, MB/s), such as 64KB/s",
                    "rate", "a rate such as 2000/s",
                    "ring", "a whole number from 8 to 8192",
                    "members", "a whole number from 2 to 1000");

    private final String file;
    private final List<String> errors = new ArrayList<>();
    private final Deque<String> openElements = new ArrayDeque<>();
    private Locator locator;

    SchemaErrorCollector(String file) {
        this.file = file;
    }

    @Override
    public void setDocumentLocator(Locator documentLocator) {
        locator = documentLocator;
        super.setDocumentLocator(documentLocator);
    }

    @Override
    public void startElement(String uri, String local, String name, Attributes attributes)
            throws SAXException {
        openElements.push(name);
        super.startElement(uri, local, name, attributes);
    }

    @Override
    public void endElement(String uri, String local, String name) throws SAXException {
        super.endElement(uri, local, name);
        openElements.pop();
    }

    /** Adds an error at the current position of the parser. */
    void add(String problem) {
        add(locator.getLineNumber(), locator.getColumnNumber(), problem);
    }

    private void add(int line, int column, String problem) {
        if (errors.size() < MAX_ERRORS) {
            errors.add(
                    file
                            + ":"
                            + line
                            + ":"
                            + column
                            + ": "
                            + (openElements.isEmpty() ? "document" : openElements.peek())
                            + ": "
                            + problem);
        } else if (errors.size() == MAX_ERRORS) {
            errors.add(file + ": there are more errors than these " + MAX_ERRORS);
        }
    }

    @Override
    public void error(SAXParseException e) {
        String message = e.getMessage();
        Matcher matcher = ATTRIBUTE_ERROR.matcher(message);
        if (matcher.matches()) {
            String expected = EXPECTED_VALUES.get(matcher.group(3));
            add(
                    e.getLineNumber(),
                    e.getColumnNumber(),
                    matcher.group(2)
                            + ": '"
                            + matcher.group(1)
                            + "' cannot be used; right would be "
                            + (expected == null ? matcher.group(3) : expected));
        } else if (!VALUE_ERROR.matcher(message).matches()) {
            add(e.getLineNumber(), e.getColumnNumber(), message.replaceFirst("^cvc-[^:]*: ", ""));
        }
    }

    @Override
    public void fatalError(SAXParseException e) throws SAXException {
        add(
                e.getLineNumber(),
                e.getColumnNumber(),
                "not well-formed XML, or not allowed: " + e.getMessage());
        throw e;
    }

    @Override
    public void warning(SAXParseException e) {
        error(e);
    }

    /** Returns all errors in file order. */
    List<String> errors() {
        return errors;
    }
}
