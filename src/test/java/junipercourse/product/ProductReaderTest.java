package junipercourse.product;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.regex.Pattern;
import junipercourse.fleet.FleetConfig;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The product file: values with units, and errors with their positions. */
class ProductReaderTest {
    private static final String VALID =
            """
            <product>
              <fleet name="f" listen="127.0.0.1:7101" zone="east">
                <seed address="127.0.0.2:7101"/>
                <bounds peer-rate="1KB/s" ring="64" budget="8KB/s"/>
                <times probe-interval="250ms" forget-left="1.5min"/>
              </fleet>
            </product>
            """;

    private static Product read(String text) throws InvalidProductFileException {
        return ProductReader.parse("p.xml", text.getBytes(StandardCharsets.UTF_8));
    }

    private static List<String> errors(String text) {
        return assertThrows(InvalidProductFileException.class, () -> read(text)).errors();
    }

    @Test
    void unitsAreConvertedAndMissingValuesGetDefaults() throws Exception {
        FleetConfig fleet = read(VALID).fleet();
        assertEquals("127.0.0.1:7101", fleet.advertisedAddress());
        assertEquals(List.of("127.0.0.2:7101"), fleet.seeds());
        assertEquals(1024, fleet.rateLimits().peerBytesPerSecond());
        assertEquals(64, fleet.rateLimits().ringCapacity());
        assertEquals(8192, fleet.membership().bytesPerSecond());
        assertEquals(0.25, fleet.membership().probeInterval());
        assertEquals(90, fleet.membership().forgetLeft());
        assertEquals(null, read("<product/>").fleet());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "250ms | 250 | 5:55: times: probe-interval: '250' cannot be used; right would be a"
                        + " time with",
                "zone= | zoned= | 2:56: fleet: Attribute 'zoned' is not allowed to appear in"
                        + " element 'fleet'.",
                "name=\"f\" | name=\"\" | 2:54: fleet: name: '' cannot be used; right would be 1 to"
                        + " 40 visible",
                "budget=\"8KB/s\" | budget=\"2KB/s\" | 6:11: fleet: bytesASecond: 2048 is not"
                        + " within 3000",
                "ring=\"64\" | ring=\"4\" | 4:56: bounds: ring: '4' cannot be used; right would be"
                        + " a whole number",
                "127.0.0.2:7101 | 127.0.0.2:71011 | 3:38: seed: address: 127.0.0.2:71011: not a"
                        + " numeric address",
                "127.0.0.1:7101 | 0.0.0.0:7101 | 6:11: fleet: advertise: missing; others cannot"
                        + " send to 0.0.0.0:7101",
                "250ms | 0ms | 6:11: fleet: times: probe-interval: '0ms' is not above 0",
                "forget-left | suspicion-max=\"1s\" forget-left | 6:11: fleet: suspicionMax: 1.0 is"
                        + " not above",
                "<product> | <!DOCTYPE product SYSTEM \"x\"><product> | 1:10: document: not"
                        + " well-formed XML",
                "</product> | </produce> | 7:3: product: not well-formed XML"
            })
    void errorIsReportedWithPositionAndElement(
            String validText, String invalidText, String expectedError) {
        List<String> errors =
                errors(VALID.replaceFirst(Pattern.quote(validText.trim()), invalidText.trim()));
        assertEquals(1, errors.size(), errors::toString);
        assertTrue(errors.get(0).startsWith("p.xml:" + expectedError.trim()), errors::toString);
    }

    @Test
    void allErrorsAreReportedUpToLimit() {
        String threeErrors =
                VALID.replace("250ms", "x").replace("1KB/s", "y").replace("\"f\"", "\"\"");
        assertEquals(3, errors(threeErrors).size());
        String seeds = "<seed address='x'/>".repeat(90);
        assertEquals(51, errors(VALID.replace("<bounds", seeds + "<bounds")).size());
    }
}
