package junipercourse.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.HexFormat;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
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

    /**
     * Guards against a process that exits while it holds the lock for claims, which its siblings
     * then wait for until the process is gone.
     */
    @Test
    void claimsAreEndedAndTheirLockIsFreeWhenClaimsAreStopped() throws Exception {
        try (SiblingProcesses processes = new SiblingProcesses(folder)) {
            CountDownLatch isClaiming = new CountDownLatch(1);
            CountDownLatch mayFinish = new CountDownLatch(1);
            ExecutorService executor = Executors.newFixedThreadPool(2);
            try {
                Future<Integer> claim =
                        executor.submit(
                                () ->
                                        processes.claim(
                                                others -> {
                                                    isClaiming.countDown();
                                                    awaitLatch(mayFinish);
                                                    return OWN_CLAIM;
                                                }));
                isClaiming.await();
                Future<?> stop = executor.submit(processes::stopClaims);
                assertThrows(
                        TimeoutException.class,
                        () -> stop.get(100, TimeUnit.MILLISECONDS),
                        "stopped while the lock was held");
                mayFinish.countDown();
                claim.get(5, TimeUnit.SECONDS);
                stop.get(5, TimeUnit.SECONDS);
            } finally {
                mayFinish.countDown();
                executor.shutdownNow();
            }
            assertThrows(IOException.class, () -> processes.claim(others -> 0));
            try (FileChannel turn =
                            FileChannel.open(folder.resolve("turn"), StandardOpenOption.WRITE);
                    FileLock lock = turn.tryLock()) {
                assertTrue(lock.isValid(), "the lock for claims is free");
            }
        }
    }

    private static void awaitLatch(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static String hexOf(Path file) throws IOException {
        return HexFormat.of().formatHex(Files.readAllBytes(file));
    }
}
