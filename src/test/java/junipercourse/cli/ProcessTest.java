package junipercourse.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import junipercourse.TestBench;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The whole program as a process of its own, under signals. */
class ProcessTest {
    @TempDir
    private Path folder;
    private ServerSocket oldBus;
    private ServerSocket newBus;
    private Process process;

    @BeforeEach
    void start() throws IOException {
        oldBus = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        newBus = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        oldBus.setSoTimeout(10_000);
        newBus.setSoTimeout(5_000);
        configure(oldBus, "listen");
        ProcessBuilder builder = new ProcessBuilder(System.getProperty("java.home") + "/bin/java", "-Xmx48m",
                "-cp", System.getProperty("java.class.path"), "junipercourse.cli.Main", "serve");
        builder.environment().put("RELAY_CONFIG", folder.resolve("config.json").toString());
        builder.redirectErrorStream(true).redirectOutput(folder.resolve("log").toFile());
        process = builder.start();
    }

    @AfterEach
    void end() throws Exception {
        process.destroyForcibly().waitFor();
        oldBus.close();
        newBus.close();
    }

    private void configure(ServerSocket bus, String listenKey) throws IOException {
        String text = TestBench.CONFIG.replace("127.0.0.1:1\"", "127.0.0.1:" + bus.getLocalPort() + "\"")
                .replace("\"offset\":0", "\"offset\":7").replace("\"listen\"", "\"" + listenKey + "\"");
        Files.writeString(folder.resolve("config.json"), text);
    }

    private void signal(String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    private String log() {
        try {
            return Files.readString(folder.resolve("log"));
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private static long offset(Socket s) throws IOException {
        return new DataInputStream(s.getInputStream()).readLong();
    }

    /** SIGHUP would end a JVM. A bad file is named and changes nothing; a good one moves to its event bus. */
    @Test
    void hangUpTakesOnTheNewConfigurationOrKeepsTheOldOne() throws Exception {
        Socket before = oldBus.accept();
        assertEquals(7, offset(before));
        TestBench.await(() -> log().contains("listens on"));
        configure(newBus, "listens");
        signal("HUP");
        TestBench.await(() -> log().contains("fault: listen: missing"));
        configure(newBus, "listen");
        signal("HUP");
        assertEquals(7, offset(newBus.accept()));
        assertEquals(-1, before.getInputStream().read(), "the old bus is left");
        assertTrue(process.isAlive(), log());
        signal("TERM");
        assertTrue(process.waitFor(5, TimeUnit.SECONDS), log());
        assertTrue(log().contains("config_reloaded=1 config_rejected=1"), log());
    }
}
