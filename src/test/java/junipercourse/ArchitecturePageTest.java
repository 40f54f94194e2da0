package junipercourse;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Checks that docs/ARCHITECTURE.md names only types and packages that exist. */
class ArchitecturePageTest {
    private static final Path PAGE = Path.of("docs/ARCHITECTURE.md");
    private static final Path SOURCES = Path.of("src/main/java");
    private static final Path TESTS = Path.of("src/test/java");
    private static final Pattern QUOTED_TYPE = Pattern.compile("`([A-Z][a-z]\\w*)`");
    private static final Pattern PACKAGE_ROW = Pattern.compile("^\\| `([a-z]+(?:\\.[a-z]+)*)` \\|");
    private static final int MIN_TYPES = 80;

    private static Set<String> typesBelow(Path root) throws IOException {
        try (Stream<Path> files = Files.walk(root)) {
            return files.map(file -> file.getFileName().toString())
                    .filter(name -> name.endsWith(".java"))
                    .map(name -> name.substring(0, name.length() - ".java".length()))
                    .collect(Collectors.toCollection(TreeSet::new));
        }
    }

    @Test
    void namesOnlyTypesThatExist() throws IOException {
        Set<String> existing = typesBelow(SOURCES);
        existing.addAll(typesBelow(TESTS));
        Set<String> named =
                QUOTED_TYPE
                        .matcher(Files.readString(PAGE))
                        .results()
                        .map(match -> match.group(1))
                        .collect(Collectors.toCollection(TreeSet::new));
        assertTrue(named.size() >= MIN_TYPES, "the page names " + named.size() + " types");
        named.removeAll(existing);
        assertEquals(Set.of(), named, "types that do not exist");
    }

    @Test
    void listsOnlyPackagesThatExist() throws IOException {
        List<String> missing =
                Files.readAllLines(PAGE).stream()
                        .flatMap(line -> PACKAGE_ROW.matcher(line).results())
                        .map(match -> match.group(1))
                        .filter(name -> !isPackage(name))
                        .toList();
        assertEquals(List.of(), missing, "packages that do not exist");
    }

    private static boolean isPackage(String name) {
        Path folder = SOURCES.resolve("junipercourse").resolve(name.replace('.', '/'));
        return Files.isDirectory(folder);
    }
}
