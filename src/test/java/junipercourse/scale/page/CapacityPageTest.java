package junipercourse.scale.page;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** Checks that the committed page matches the committed results and has no other number. */
class CapacityPageTest {
    private static final Path MAIN_SOURCES = Path.of("src/main/java/junipercourse");
    private static final Pattern NAME = Pattern.compile("`([^`]*)`");

    @Test
    void pageMatchesTheMeasuredResults() throws IOException {
        assertEquals(
                List.of(),
                new TemplatePage(Files.readString(CapacityPage.PAGE))
                        .faults(CapacityPage.tables(CapacityPage.RESULTS)));
    }

    /** Guards against a renamed class that the page still names as a mechanism. */
    @Test
    void everyMechanismNamesAnExistingPackageOrClass() throws IOException {
        List<String> missing =
                CapacityModel.read(CapacityPage.ROLES).rows().stream()
                        .flatMap(
                                row ->
                                        NAME.matcher(row.mechanism())
                                                .results()
                                                .map(found -> found.group(1)))
                        .filter(
                                name ->
                                        !Files.exists(MAIN_SOURCES.resolve(name.replace('.', '/')))
                                                && !Files.exists(
                                                        MAIN_SOURCES.resolve(
                                                                name.replace('.', '/') + ".java")))
                        .distinct()
                        .toList();
        assertEquals(List.of(), missing);
    }
}
