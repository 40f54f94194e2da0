package junipercourse.product;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import javax.xml.XMLConstants;
import javax.xml.parsers.ParserConfigurationException;
import javax.xml.parsers.SAXParserFactory;
import javax.xml.validation.SchemaFactory;
import javax.xml.validation.ValidatorHandler;
import org.xml.sax.InputSource;
import org.xml.sax.SAXException;
import org.xml.sax.SAXParseException;
import org.xml.sax.XMLReader;

/**
 * Reads a product file with the JDK's XML parser and the schema in the jar. Rejects document types,
 * external entities and files of more than {@link #MAX_BYTES}. All errors are reported together,
 * and nothing of an invalid file is used.
 */
public final class ProductReader {
    /** Maximum size of a product file. */
    public static final int MAX_BYTES = 1 << 20;

    private static final String SCHEMA = "product.xsd";
    private static final String NO_DOCTYPE = "http://apache.org/xml/features/disallow-doctype-decl";
    private static final String LOCALE = "http://apache.org/xml/properties/locale";

    private ProductReader() {}

    /**
     * Reads and validates a product file.
     *
     * @throws InvalidProductFileException with all errors in the file
     */
    public static Product read(String file) throws InvalidProductFileException {
        byte[] bytes;
        try (InputStream input = Files.newInputStream(Path.of(file))) {
            bytes = input.readNBytes(MAX_BYTES + 1);
        } catch (IOException | InvalidPathException e) {
            throw new InvalidProductFileException(
                    List.of(file + ":1:1: document: cannot be read: " + e));
        }
        if (bytes.length > MAX_BYTES) {
            throw new InvalidProductFileException(
                    List.of(file + ":1:1: document: over " + MAX_BYTES + " bytes"));
        }
        return parse(file, bytes);
    }

    static Product parse(String file, byte[] bytes) throws InvalidProductFileException {
        SchemaErrorCollector errors = new SchemaErrorCollector(file);
        FleetConfigReader fleetReader = new FleetConfigReader(errors);
        try {
            ValidatorHandler validator = newValidator();
            validator.setErrorHandler(errors);
            validator.setContentHandler(fleetReader);
            errors.setContentHandler(validator);
            XMLReader reader = newReader();
            reader.setContentHandler(errors);
            reader.setErrorHandler(errors);
            reader.parse(new InputSource(new ByteArrayInputStream(bytes)));
        } catch (SAXParseException e) {
            if (errors.errors().isEmpty()) {
                throw new IllegalStateException(e); // the error handler records them all
            }
        } catch (SAXException | ParserConfigurationException | IOException e) {
            throw new InvalidProductFileException(
                    List.of(file + ":1:1: document: cannot be read: " + e));
        }
        if (!errors.errors().isEmpty()) {
            throw new InvalidProductFileException(errors.errors());
        }
        return new Product(fleetReader.fleet());
    }

    private static XMLReader newReader() throws SAXException, ParserConfigurationException {
        SAXParserFactory factory = SAXParserFactory.newDefaultNSInstance();
        factory.setFeature(XMLConstants.FEATURE_SECURE_PROCESSING, true);
        factory.setFeature(NO_DOCTYPE, true);
        XMLReader reader = factory.newSAXParser().getXMLReader();
        reader.setProperty(LOCALE, Locale.ENGLISH);
        return reader;
    }

    private static ValidatorHandler newValidator() throws SAXException {
        SchemaFactory factory = SchemaFactory.newDefaultInstance();
        factory.setProperty(XMLConstants.ACCESS_EXTERNAL_DTD, "");
        factory.setProperty(XMLConstants.ACCESS_EXTERNAL_SCHEMA, "");
        URL schema = ProductReader.class.getResource(SCHEMA);
        ValidatorHandler validator = factory.newSchema(schema).newValidatorHandler();
        validator.setProperty(LOCALE, Locale.ENGLISH); // SchemaErrorCollector parses the messages
        return validator;
    }
}
