package junipercourse.scale.page;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

/**
 * Writes the generated parts of {@code docs/CAPACITY.md} in place, outside the build: {@code mvn -o
 * -q -B -ntp test -Dtest=CapacityPage -Dcapacity.write=true}. Without the property it prints the
 * page. {@code -Dcapacity.results=FOLDER} prints the page with the results of another folder and
 * never writes it.
 */
class CapacityPage {
    static final Path PAGE = Path.of("docs/CAPACITY.md");
    static final Path RESULTS = Path.of("docs/capacity");
    static final Path ROLES = RESULTS.resolve("roles.json");

    static CapacityTables tables(Path results) throws IOException {
        CapacityModel sizing = CapacityModel.read(ROLES);
        return new CapacityTables(
                Measurements.read(results).excludeInvalid(sizing.voided()), sizing);
    }

    @Test
    void write() throws IOException {
        String results = System.getProperty("capacity.results", "");
        TemplatePage page = new TemplatePage(Files.readString(PAGE));
        if (Boolean.getBoolean("capacity.write") && results.isEmpty()) {
            Files.writeString(PAGE, page.generate(tables(RESULTS)));
        } else {
            System.out.println(
                    page.generate(tables(results.isEmpty() ? RESULTS : Path.of(results))));
        }
    }
}
