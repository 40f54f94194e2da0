package junipercourse.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import junipercourse.DispatcherProcess;
import junipercourse.ListeningSocketHolder;
import junipercourse.QueryStream;
import junipercourse.SocketTestSupport;
import junipercourse.StubEngines;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Sends signals at awkward times: during startup, twice, and while another signal is handled. */
class SignalsTest {
    private static final String IN_USE = " is in use; retrying";
    private static final String RELOADED = "configuration reloaded";
    @TempDir private Path folder;
    private StubEngines engines;
    private Path config;
    private ServerSocket holder;
    private DispatcherProcess process;

    @BeforeEach
    void start() throws IOException {
        engines =
                new StubEngines(
                        1,
                        call ->
                                call.startsWith("DELETE")
                                        ? SocketTestSupport.CANCELLED
                                        : SocketTestSupport.OK);
        config = folder.resolve("config.json");
        holder = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void tearDown() throws IOException {
        if (process != null) {
            process.close();
        }
        holder.close();
        engines.close();
    }

    private String configWithPort(int port) {
        return engines.dispatcherConfig().replace("127.0.0.1:0\"", "127.0.0.1:" + port + "\"");
    }

    /** Starts the process at an address in use, so that it stays in startup. */
    private void startWithPortInUse() throws IOException {
        Files.writeString(config, configWithPort(holder.getLocalPort()));
        process = new DispatcherProcess(folder, 1024);
        awaitLog(IN_USE);
    }

    private void awaitLog(String text) {
        SocketTestSupport.await(
                () -> process.log().contains(text) || !process.isAlive(),
                ListeningSocketHolder.AWAIT_TIMEOUT_MILLIS);
        assertTrue(process.log().contains(text), process.log());
    }

    private long countLogLines(String text) {
        return process.log().lines().filter(line -> line.contains(text)).count();
    }

    /**
     * No client is waiting yet: the process exits at once and never listens, even once the address
     * is free.
     */
    @Test
    void sigtermBeforeListeningExitsCleanly() throws Exception {
        startWithPortInUse();
        long startNanos = System.nanoTime();
        process.signal("TERM");
        holder.close();
        assertTrue(process.exitsWithin(20), process.log());
        assertTrue(process.log().contains("n1 ends: "), process.log());
        assertFalse(process.log().contains("listens on"), process.log());
        assertTrue(
                System.nanoTime() - startNanos < 3_700_000_000L,
                "exited later than SIGKILL may come");
    }

    /** A second SIGTERM changes neither which clients are served nor when the process exits. */
    @Test
    void repeatedSigtermHasNoEffect() throws Exception {
        Files.writeString(config, engines.dispatcherConfig());
        process = new DispatcherProcess(folder, 1024);
        InetSocketAddress frontAddress = process.address();
        process.signal("TERM");
        awaitLog("shutdown requested");
        process.signal("TERM");
        process.signal("TERM");
        assertEquals(
                QueryStream.EXPECTED_ANSWER,
                QueryStream.queryOnce(frontAddress, QueryStream.query("check")));
        assertTrue(process.exitsWithin(20), process.log());
        assertEquals(1, countLogLines("shutdown requested"), process.log());
        assertEquals(1, countLogLines("n1 ends: "), process.log());
        assertFalse(process.log().contains("ERROR"), process.log());
    }

    /** The reload blocks while reading: its file is a pipe without a writer. */
    @Test
    void sigtermDuringReloadDoesNotWaitForIt() throws Exception {
        Files.writeString(config, engines.dispatcherConfig());
        process = new DispatcherProcess(folder, 1024);
        InetSocketAddress frontAddress = process.address();
        Files.delete(config);
        assertEquals(0, new ProcessBuilder("mkfifo", config.toString()).start().waitFor());
        process.signal("HUP");
        SocketTestSupport.await(() -> isReadingPipe(), ListeningSocketHolder.AWAIT_TIMEOUT_MILLIS);
        process.signal("TERM");
        awaitLog("shutdown requested");
        assertEquals(
                QueryStream.EXPECTED_ANSWER,
                QueryStream.queryOnce(frontAddress, QueryStream.query("check")));
        assertTrue(process.exitsWithin(20), process.log());
        assertTrue(process.log().contains("n1 ends: "), process.log());
        assertFalse(process.log().contains(RELOADED), process.log());
    }

    /** Whether a signal thread of the process waits for a writer, by its state in /proc. */
    private boolean isReadingPipe() {
        try (var tasks = Files.list(Path.of("/proc/" + process.pid() + "/task"))) {
            return tasks.anyMatch(
                    task -> {
                        try {
                            return Files.readString(task.resolve("comm")).startsWith("SIGHUP")
                                    && Files.readString(task.resolve("stat"))
                                            .matches("(?s).*\\) S .*");
                        } catch (IOException e) {
                            return false; // the thread has just ended
                        }
                    });
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private static int findFreePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    /**
     * Of a changed file only the event bus and the endpoint list are applied, during startup and
     * after.
     */
    @Test
    void reloadReportsAndIgnoresRestartOnlyChanges() throws Exception {
        startWithPortInUse();
        Files.writeString(
                config,
                configWithPort(findFreePort())
                        .replace("\"n1\"", "\"n2\"")
                        .replace("\"check\"", "\"audit\"")
                        .replace("\"acme\"", "\"umbrella\"")
                        .replace("\"deadline_s\":7.5", "\"deadline_s\":0.1")
                        .replace("\"sockets\":1024", "\"sockets\":64"));
        process.signal("HUP");
        awaitLog(RELOADED);
        holder.close();
        assertEquals(holder.getLocalPort(), process.address().getPort(), process.log());
        assertEquals(
                QueryStream.EXPECTED_ANSWER,
                QueryStream.queryOnce(process.address(), QueryStream.query("check")));
        String unknown = QueryStream.queryOnce(process.address(), QueryStream.query("audit"));
        assertTrue(unknown.startsWith("E("), unknown);
        process.signal("HUP");
        SocketTestSupport.await(
                () -> countLogLines(RELOADED) == 2, ListeningSocketHolder.AWAIT_TIMEOUT_MILLIS);
        for (String key : new String[] {"name", "listen", "limits", "settings"}) {
            assertEquals(
                    2,
                    countLogLines(key + " has changed; the change takes effect at the next start"),
                    process.log());
        }
        assertEquals(
                QueryStream.EXPECTED_ANSWER,
                QueryStream.queryOnce(process.address(), QueryStream.query("check")));
        Files.writeString(config, configWithPort(holder.getLocalPort()));
        process.signal("HUP");
        SocketTestSupport.await(
                () -> countLogLines(RELOADED) == 3, ListeningSocketHolder.AWAIT_TIMEOUT_MILLIS);
        assertEquals(
                2,
                countLogLines("settings has changed"),
                "a reverted setting is no change: " + process.log());
        process.signal("TERM");
        awaitLog("n1 ends: ");
    }
}
