package junipercourse.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
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
    private static final String KNOWN = """
            "offset":7,"batch":[{"offset":7,"topology":{"complete":true,"members":[{"id":"s-00000001",
            "host_port":"127.0.0.1:%d","locality":"east","flavor":"std","cell":0,"phase":"Ready",
            "size":12.0,"up_since_ms":0}]}}]""";
    @TempDir
    private Path folder;
    private ServerSocket oldBus;
    private ServerSocket newBus;
    private TestBench.StubEngine engine;
    private Process process;

    @BeforeEach
    void start() throws IOException {
        oldBus = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        newBus = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        engine = new TestBench.StubEngine(call -> {
            TestBench.pause(100);
            return call.startsWith("DELETE") ? TestBench.GIVEN_UP : TestBench.RUNNING;
        });
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
        engine.close();
        newBus.close();
    }

    private void configure(ServerSocket bus, String listenKey) throws IOException {
        String text = TestBench.CONFIG.replace("127.0.0.1:1\"", "127.0.0.1:" + bus.getLocalPort() + "\"")
                .replace("\"offset\":0,\"batch\":[]", KNOWN.formatted(engine.address().getPort()))
                .replace("\"listen\"", "\"" + listenKey + "\"");
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

    /** SIGTERM: clients may still come for a while, what was taken is answered, and the end is in time. */
    @Test
    void terminationAnswersAllBeforeItIsForced() throws Exception {
        TestBench.await(() -> log().contains("listens on"));
        int port = Integer.parseInt(log().split("listens on [^:]*:")[1].split("\\D")[0]);
        InetSocketAddress front = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
        try (TestBench.Client taken = new TestBench.Client(front)) {
            taken.start().write(TestBench.Client.message(TestBench.query("load", 1, 19_000)));
            TestBench.await(() -> engine.count("POST") == 1);
            long from = System.nanoTime();
            signal("TERM");
            TestBench.pause(300);
            try (TestBench.Client late = new TestBench.Client(front)) {
                assertEquals("I", late.start().ask(" "), "a client that comes 0.3 s later is served");
            }
            assertEquals("E(53300 the dispatcher is shutting down)", taken.answer());
            assertTrue(process.waitFor(1, TimeUnit.SECONDS), log());
            assertEquals(0, Math.max(0, (System.nanoTime() - from) / 1_000_000 - 3700), "ms too late");
        }
    }
}
