package junipercourse;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Runs the CI scripts on generated test reports and a fake Maven, and checks what passes and what
 * fails.
 */
class KnownRedTest {
    /** Prints its arguments, copies the prepared reports, and exits with a given code. */
    private static final String FAKE_MAVEN =
            """
            #!/bin/bash
            echo "mvn $*"
            mkdir -p target/surefire-reports
            cp ready/* target/surefire-reports/ 2>/dev/null
            echo "[INFO] Tests run: 7"
            exit %d
            """;

    private static final String KNOWN_RED_LINE = "a.RedTest#red | a cause | issue 1\n";
    private static final String PASSED = "<testcase name=\"%s\" classname=\"%s\" time=\"0.1\"/>";
    private static final String NOT_PASSED =
            """
            <testcase name="%s" classname="%s" time="0.1">
              <%s message="&lt;b&gt;"><![CDATA[<testcase name="x" classname="y"><error/></testcase>]]></%3$s>
              <system-out><![CDATA[</testsuite> <failure ]]]]><![CDATA[> ]]></system-out>
            </testcase>\
            """;
    @TempDir private Path folder;

    @BeforeEach
    void copyScripts() throws IOException {
        Files.createDirectories(folder.resolve(".ci"));
        Files.createDirectories(folder.resolve("ready"));
        for (String script : new String[] {"run", "known-red"}) {
            Files.copy(Path.of(".ci", script), folder.resolve(".ci").resolve(script));
        }
        Files.writeString(
                folder.resolve("README.md"), "Run:\n\n    mvn -B verify\n\nor `mvn -q`.\n");
    }

    /** Writes a report for each class; an outcome reads {@code a.RedTest#red failed}. */
    private void writeReports(String outcomes) throws IOException {
        Map<String, StringBuilder> classes = new TreeMap<>();
        for (String outcome : outcomes.isEmpty() ? new String[0] : outcomes.split(", ")) {
            String[] words = outcome.split("[# ]", -1);
            classes.computeIfAbsent(words[0], c -> new StringBuilder())
                    .append(
                            switch (words[2]) {
                                case "passed" -> PASSED.formatted(words[1], words[0]);
                                case "failed" ->
                                        NOT_PASSED.formatted(words[1], words[0], "failure");
                                case "broken" -> NOT_PASSED.formatted(words[1], words[0], "error");
                                default -> NOT_PASSED.formatted(words[1], words[0], "skipped");
                            })
                    .append('\n');
        }
        for (Map.Entry<String, StringBuilder> outcome : classes.entrySet()) {
            Files.writeString(
                    folder.resolve("ready").resolve("TEST-" + outcome.getKey() + ".xml"),
                    "<?xml version=\"1.0\"?>\n<testsuite>\n"
                            + outcome.getValue()
                            + "</testsuite>\n");
        }
    }

    /**
     * Runs CI with a Maven that exits with the given code; returns the exit code and the output.
     */
    private String runCi(int mavenExitCode) throws IOException, InterruptedException {
        Path bin = Files.createDirectories(folder.resolve("bin"));
        Path program = Files.writeString(bin.resolve("mvn"), FAKE_MAVEN.formatted(mavenExitCode));
        assertTrue(program.toFile().setExecutable(true));
        ProcessBuilder builder =
                new ProcessBuilder(folder.resolve(".ci/run").toString())
                        .redirectErrorStream(true)
                        .redirectOutput(folder.resolve("printed").toFile());
        builder.environment()
                .merge("PATH", bin.toString(), (newFolder, oldPath) -> oldPath + ":" + newFolder);
        int exitCode = builder.start().waitFor();
        return exitCode + "\n" + Files.readString(folder.resolve("printed"));
    }

    private static Stream<Arguments> knownRedCases() {
        String threeMore = "a.RedTest#b | c | 1\na.RedTest#c | c | 1\na.RedTest#d | c | 1\n";
        String fourOutcomes =
                "a.RedTest#red failed, a.RedTest#b failed, a.RedTest#c passed, a.RedTest#d passed";
        String redFailed = "a.RedTest#red failed";
        String formError = "is not \"package.Class#method | cause | issue\"";
        return Stream.of(
                arguments(
                        KNOWN_RED_LINE,
                        redFailed + ", a.OtherTest#a passed",
                        0,
                        0,
                        "CI: known red: a.RedTest#red: FAILED"),
                arguments(
                        KNOWN_RED_LINE,
                        "a.RedTest#red broken",
                        0,
                        0,
                        "known red: a.RedTest#red: FAILED (red)"),
                arguments(
                        KNOWN_RED_LINE,
                        "a.RedTest#red passed",
                        0,
                        0,
                        "known red: a.RedTest#red: passed (red)"),
                arguments(
                        KNOWN_RED_LINE,
                        "a.RedTest#red(int)[1] passed, a.RedTest#red(int)[2] failed",
                        0,
                        0,
                        "known red: a.RedTest#red: FAILED (red(int)[2])"),
                arguments(KNOWN_RED_LINE.trim(), redFailed, 0, 0, "Tests run: 7"),
                arguments(
                        threeMore,
                        fourOutcomes.substring(redFailed.length() + 2),
                        0,
                        0,
                        "known red: a.RedTest#d: passed"),
                arguments("", "a.RedTest#red passed", 0, 0, "Tests run: 7"),
                arguments("", redFailed, 0, 1, "a.RedTest#red failed (red), and is not listed"),
                arguments(
                        KNOWN_RED_LINE + threeMore,
                        fourOutcomes,
                        0,
                        1,
                        "KNOWN-RED.txt has 4 lines; 3 at most"),
                arguments(
                        KNOWN_RED_LINE,
                        redFailed + ", a.RedTest#redder failed",
                        0,
                        1,
                        "a.RedTest#redder failed"),
                arguments(
                        KNOWN_RED_LINE,
                        redFailed + ", b.RedTest#red failed",
                        0,
                        1,
                        "b.RedTest#red failed"),
                arguments(
                        KNOWN_RED_LINE,
                        redFailed + ", a.RedTest$In#red failed",
                        0,
                        1,
                        "a.RedTest$In#red failed"),
                arguments(
                        KNOWN_RED_LINE,
                        redFailed + ", a.OtherTest#a broken",
                        0,
                        1,
                        "a.OtherTest#a failed (a)"),
                arguments(
                        KNOWN_RED_LINE,
                        redFailed + ", a.RedTest# broken",
                        0,
                        1,
                        "a.RedTest# failed ()"),
                arguments(
                        KNOWN_RED_LINE,
                        "a.RedTest#blue passed",
                        0,
                        1,
                        "a.RedTest#red is no test that ran"),
                arguments(
                        KNOWN_RED_LINE,
                        "a.RedTest#red skipped",
                        0,
                        1,
                        "a.RedTest#red is no test that ran"),
                arguments(
                        KNOWN_RED_LINE, "", 0, 1, "no reports of tests in target/surefire-reports"),
                arguments(
                        KNOWN_RED_LINE, redFailed, 1, 1, "known red: a.RedTest#red: FAILED (red)"),
                arguments(KNOWN_RED_LINE, "a.RedTest#red passed", 137, 137, "CI: failed"),
                arguments(
                        KNOWN_RED_LINE + KNOWN_RED_LINE,
                        redFailed,
                        0,
                        1,
                        "lists a.RedTest#red again"),
                arguments(KNOWN_RED_LINE + "\n", redFailed, 0, 1, "line 2 " + formError),
                arguments("# why\n" + KNOWN_RED_LINE, redFailed, 0, 1, "line 1 " + formError),
                arguments("a.RedTest | a cause | issue 1\n", redFailed, 0, 1, formError),
                arguments("a.RedTest#red | a cause\n", redFailed, 0, 1, formError),
                arguments("a.RedTest#red | a cause | \n", redFailed, 0, 1, formError),
                arguments("a.RedTest#red |  | issue 1\n", redFailed, 0, 1, formError),
                arguments("a.RedTest#* | a cause | issue 1\n", redFailed, 0, 1, formError));
    }

    @ParameterizedTest
    @MethodSource("knownRedCases")
    void onlyTheListedTestsMayFail(
            String knownRed,
            String outcomes,
            int mavenExitCode,
            int exitCode,
            String expectedOutput)
            throws Exception {
        Files.writeString(folder.resolve("KNOWN-RED.txt"), knownRed);
        writeReports(outcomes);
        String output = runCi(mavenExitCode);
        assertEquals(Integer.toString(exitCode), output.lines().findFirst().orElseThrow(), output);
        assertTrue(output.contains(expectedOutput), output);
    }

    /** Without the list CI runs just the README's command and exits with its code. */
    @Test
    void withoutAListTheExitCodeIsMavens() throws Exception {
        writeReports("a.RedTest#red failed");
        assertEquals("1\nmvn -B verify\n[INFO] Tests run: 7\n", runCi(1));
        assertEquals("0\nmvn -B verify\n[INFO] Tests run: 7\n", runCi(0));
        Files.writeString(folder.resolve("KNOWN-RED.txt"), KNOWN_RED_LINE);
        assertTrue(runCi(0).contains("\nmvn -B verify -Dmaven.test.failure.ignore=true\n"));
    }

    /** CI runs the README's command, so a README with none or two commands fails without a run. */
    @Test
    void failsUnlessTheReadmeHasExactlyOneTestCommand() throws Exception {
        for (String readme : new String[] {"Run it.\n", "    mvn verify\n    mvn test\n"}) {
            Files.writeString(folder.resolve("README.md"), readme);
            String output = runCi(0);
            assertTrue(output.startsWith("1\n") && output.contains("test commands"), output);
            assertFalse(output.contains("Tests run"), output);
        }
    }

    /** Neither reports of an earlier run nor a truncated report prove that a test ran. */
    @Test
    void onlyCompleteReportsOfThisRunCount() throws Exception {
        Files.writeString(folder.resolve("KNOWN-RED.txt"), KNOWN_RED_LINE);
        writeReports("a.RedTest#red failed");
        assertTrue(runCi(0).startsWith("0\n"));
        Path report = folder.resolve("ready/TEST-a.RedTest.xml");
        Files.writeString(report, Files.readString(report).replace("</testsuite>\n", ""));
        String truncated = runCi(0);
        assertTrue(
                truncated.startsWith("1\n")
                        && truncated.contains("TEST-a.RedTest.xml is not whole"),
                truncated);
        Files.delete(report);
        String stale = runCi(0);
        assertTrue(stale.startsWith("1\n") && stale.contains("no reports of tests"), stale);
    }
}
