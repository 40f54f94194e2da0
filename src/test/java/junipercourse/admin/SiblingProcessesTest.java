package junipercourse.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HexFormat;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Claims read from the file of another running process, which holds the lock of process 0. */
class SiblingProcessesTest {
    private static final int OWN_CLAIM = 300;

    @TempDir private Path folder;
    private Path siblingFile;
    private Process sibling;

    @BeforeEach
    void startSibling() throws IOException {
        siblingFile = Files.createFile(folder.resolve("process-0"));
        sibling =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-cp",
                                System.getProperty("java.class.path"),
                                ClaimFileHolder.class.getName(),
                                siblingFile.toString())
                        .redirectError(ProcessBuilder.Redirect.INHERIT)
                        .start();
        assertEquals(1, sibling.getInputStream().read(), "the sibling holds the lock");
    }

    @AfterEach
    void stopSibling() throws IOException, InterruptedException {
        sibling.getOutputStream().close();
        sibling.waitFor();
    }

    @ParameterizedTest
    @CsvSource({"'', 0", "00000000, 0", "00000190, 400"})
    void readableClaimIsCounted(String claimHex, int expected) throws IOException {
        Files.write(siblingFile, HexFormat.of().parseHex(claimHex));
        try (SiblingProcesses processes = new SiblingProcesses(folder)) {
            assertEquals(expected, processes.claim(others -> OWN_CLAIM));
        }
    }

    /** Guards against counting a sibling whose claim is unreadable as one without descriptors. */
    @ParameterizedTest
    @ValueSource(strings = {"01", "000190", "ffffffff", "0000019000"})
    void ownClaimStaysAsItIsWhenTheClaimOfASiblingIsUnreadable(String claimHex) throws IOException {
        try (SiblingProcesses processes = new SiblingProcesses(folder)) {
            processes.claim(others -> OWN_CLAIM);
            Files.write(siblingFile, HexFormat.of().parseHex(claimHex));
            AtomicInteger computations = new AtomicInteger();
            assertThrows(
                    IOException.class,
                    () -> processes.claim(others -> computations.incrementAndGet()));
            assertEquals(0, computations.get(), "no claim is computed from an unreadable one");
        }
        assertEquals(OWN_CLAIM, HexFormat.fromHexDigits(hexOf(folder.resolve("process-1"))));
    }

    /** A damaged file of a process that has ended claims nothing. */
    @Test
    void unreadableClaimOfAnEndedProcessIsIgnored() throws IOException, InterruptedException {
        Files.write(siblingFile, new byte[] {1});
        stopSibling();
        Files.write(folder.resolve("process-3"), new byte[] {1});
        try (SiblingProcesses processes = new SiblingProcesses(folder)) {
            assertEquals(-1, processes.claim(others -> OWN_CLAIM));
        }
    }

    private static String hexOf(Path file) throws IOException {
        return HexFormat.of().formatHex(Files.readAllBytes(file));
    }
}
