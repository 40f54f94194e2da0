package junipercourse;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;
import static org.junit.jupiter.api.Assertions.assertEquals;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** The plan of the packages, held in the build: a change of the plan is a change of this test. */
@AnalyzeClasses(packages = "junipercourse", importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {
    private static final int LINES_MOST = 250;
    /**
     * Files that are over the bound still, and their lines today. They may shrink, and go from here, alone.
     */
    private static final Map<String, Integer> STILL_OVER = Map.of("Dispatcher.java", 1041, "Loop.java", 514,
        "Fetch.java", 451, "Gateway.java", 444, "Session.java", 342, "Wire.java", 286, "Link.java", 274);

    private static final String[] PURE = {"junipercourse.fleet.view..", "junipercourse.liveness..",
        "junipercourse.decision.."};

    @ArchTest
    static final ArchRule PURE_PACKAGES_DO_NO_IO = noClasses().that().resideInAnyPackage(PURE).should()
        .dependOnClassesThat().resideInAnyPackage("java.net..", "java.nio.channels..", "java.nio.file..",
            "java.util.concurrent..", "java.io..", "java.time..", "org.xnio..", "org.tinylog..",
            "junipercourse.net..");

    @ArchTest
    static final ArchRule PURE_PACKAGES_OWN_NO_THREADS = noClasses().that().resideInAnyPackage(PURE).should()
        .dependOnClassesThat().belongToAnyOf(Thread.class, java.util.Timer.class);

    @ArchTest
    static final ArchRule PURE_PACKAGES_READ_NO_CLOCK = noClasses().that().resideInAnyPackage(PURE).should()
        .callMethod(System.class, "currentTimeMillis").orShould().callMethod(System.class, "nanoTime");

    @ArchTest
    static final ArchRule DECISION_KNOWS_NOTHING_OF_OURS = noClasses().that()
        .resideInAPackage("junipercourse.decision..").should().dependOnClassesThat(
            com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAPackage("junipercourse..").and(
                com.tngtech.archunit.core.domain.JavaClass.Predicates
                    .resideOutsideOfPackage("junipercourse.decision.."))).allowEmptyShould(false);

    @ArchTest
    static final ArchRule ARROWS_RUN_ONE_WAY = slices().matching("junipercourse.(**)").should()
        .beFreeOfCycles();

    @Test
    void noFileGrowsPastTheBound() throws IOException {
        List<String> over = new ArrayList<>();
        Map<String, Integer> seen = new TreeMap<>();
        try (Stream<Path> files = Files.walk(Path.of("src/main"))) {
            for (Path file : files.filter(each -> each.toString().endsWith(".java")).sorted().toList()) {
                int lines = Files.readAllLines(file).size();
                String name = file.getFileName().toString();
                seen.put(name, lines);
                if (lines > STILL_OVER.getOrDefault(name, LINES_MOST)) {
                    over.add(file + " has " + lines + " lines");
                }
            }
        }
        STILL_OVER.keySet().stream().filter(name -> seen.getOrDefault(name, 0) <= LINES_MOST).sorted()
            .forEach(name -> over.add(name + " is within the bound: take it off the list"));
        assertEquals(List.of(), over);
    }
}
