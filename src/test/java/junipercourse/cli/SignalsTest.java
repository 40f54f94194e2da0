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

/**
 * Signals that come where they are least awaited: before the start is over, twice, within each
 * other.
 */
class SignalsTest {
    private static final String IN_USE = " is in use; trying again";
    private static final String READ_AGAIN = "the configuration has been read again";
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
    void end() throws IOException {
        if (process != null) {
            process.close();
        }
        holder.close();
        engines.close();
    }

    private String at(int port) {
        return engines.dispatcherConfig().replace("127.0.0.1:0\"", "127.0.0.1:" + port + "\"");
    }

    /** Starts it at an address that is taken, so that it is held in the middle of its start. */
    private void startHeld() throws IOException {
        Files.writeString(config, at(holder.getLocalPort()));
        process = new DispatcherProcess(folder, 1024);
        logs(IN_USE);
    }

    private void logs(String text) {
        SocketTestSupport.await(
                () -> process.log().contains(text) || !process.isAlive(),
                ListeningSocketHolder.AWAIT_TIMEOUT_MILLIS);
        assertTrue(process.log().contains(text), process.log());
    }

    private long told(String text) {
        return process.log().lines().filter(line -> line.contains(text)).count();
    }

    /**
     * Nothing is owed to anybody yet: it ends at once, and never listens, also once the address is
     * free.
     */
    @Test
    void terminationBeforeItListensEndsItInGoodOrder() throws Exception {
        startHeld();
        long from = System.nanoTime();
        process.signal("TERM");
        holder.close();
        assertTrue(process.exitsWithin(20), process.log());
        assertTrue(process.log().contains("n1 ends: "), process.log());
        assertFalse(process.log().contains("listens on"), process.log());
        assertTrue(System.nanoTime() - from < 3_700_000_000L, "later than a SIGKILL may come");
    }

    /** The second one changes nothing, neither for who comes after it nor for when the end is. */
    @Test
    void terminationThatComesAgainChangesNothing() throws Exception {
        Files.writeString(config, engines.dispatcherConfig());
        process = new DispatcherProcess(folder, 1024);
        InetSocketAddress front = process.address();
        process.signal("TERM");
        logs("asked to end");
        process.signal("TERM");
        process.signal("TERM");
        assertEquals(
                QueryStream.EXPECTED_ANSWER,
                QueryStream.queryOnce(front, QueryStream.query("check")));
        assertTrue(process.exitsWithin(20), process.log());
        assertEquals(1, told("asked to end"), process.log());
        assertEquals(1, told("n1 ends: "), process.log());
        assertFalse(process.log().contains("ERROR"), process.log());
    }

    /** The reload is held in the middle of reading: its file is a pipe to which nobody writes. */
    @Test
    void terminationDuringAReloadDoesNotWaitForIt() throws Exception {
        Files.writeString(config, engines.dispatcherConfig());
        process = new DispatcherProcess(folder, 1024);
        InetSocketAddress front = process.address();
        Files.delete(config);
        assertEquals(0, new ProcessBuilder("mkfifo", config.toString()).start().waitFor());
        process.signal("HUP");
        SocketTestSupport.await(() -> readsThePipe(), ListeningSocketHolder.AWAIT_TIMEOUT_MILLIS);
        process.signal("TERM");
        logs("asked to end");
        assertEquals(
                QueryStream.EXPECTED_ANSWER,
                QueryStream.queryOnce(front, QueryStream.query("check")));
        assertTrue(process.exitsWithin(20), process.log());
        assertTrue(process.log().contains("n1 ends: "), process.log());
        assertFalse(process.log().contains(READ_AGAIN), process.log());
    }

    /** Whether a thread of it waits for a writer, by the system's word for where it waits. */
    private boolean readsThePipe() {
        try (var tasks = Files.list(Path.of("/proc/" + process.pid() + "/task"))) {
            return tasks.anyMatch(
                    t -> {
                        try {
                            return Files.readString(t.resolve("comm")).startsWith("SIGHUP")
                                    && Files.readString(t.resolve("stat"))
                                            .matches("(?s).*\\) S .*");
                        } catch (IOException e) {
                            return false; // a thread that has just ended
                        }
                    });
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket any = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return any.getLocalPort();
        }
    }

    /**
     * Of a file with other settings nothing is taken on but the list, before the start is over and
     * after.
     */
    @Test
    void aReloadNamesWhatItMayNotChangeAndLeavesIt() throws Exception {
        startHeld();
        Files.writeString(
                config,
                at(freePort())
                        .replace("\"n1\"", "\"n2\"")
                        .replace("\"check\"", "\"audit\"")
                        .replace("\"acme\"", "\"umbrella\"")
                        .replace("\"deadline_s\":7.5", "\"deadline_s\":0.1")
                        .replace("\"sockets\":1024", "\"sockets\":64"));
        process.signal("HUP");
        logs(READ_AGAIN);
        holder.close();
        assertEquals(holder.getLocalPort(), process.address().getPort(), process.log());
        assertEquals(
                QueryStream.EXPECTED_ANSWER,
                QueryStream.queryOnce(process.address(), QueryStream.query("check")));
        String unknown = QueryStream.queryOnce(process.address(), QueryStream.query("audit"));
        assertTrue(unknown.startsWith("E("), unknown);
        process.signal("HUP");
        SocketTestSupport.await(
                () -> told(READ_AGAIN) == 2, ListeningSocketHolder.AWAIT_TIMEOUT_MILLIS);
        for (String key : new String[] {"name", "listen", "limits", "settings"}) {
            assertEquals(
                    2,
                    told(key + " has changed; that takes effect at the next start"),
                    process.log());
        }
        assertEquals(
                QueryStream.EXPECTED_ANSWER,
                QueryStream.queryOnce(process.address(), QueryStream.query("check")));
        Files.writeString(config, at(holder.getLocalPort()));
        process.signal("HUP");
        SocketTestSupport.await(
                () -> told(READ_AGAIN) == 3, ListeningSocketHolder.AWAIT_TIMEOUT_MILLIS);
        assertEquals(
                2,
                told("settings has changed"),
                "what was taken back is no change: " + process.log());
        process.signal("TERM");
        logs("n1 ends: ");
    }
}
