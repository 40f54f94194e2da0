package junipercourse.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import junipercourse.DispatcherProcess;
import junipercourse.SocketTestSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The whole program as a process of its own, under signals. */
class ProcessTest {
    private static final String KNOWN =
            """
            "offset":7,"batch":[{"offset":7,"topology":{"complete":true,"members":[{"id":"s-00000001",
            "host_port":"127.0.0.1:%d","locality":"east","flavor":"std","cell":0,"phase":"Ready",
            "size":12.0,"up_since_ms":0}]}}]\
            """;
    @TempDir private Path folder;
    private ServerSocket oldBus;
    private ServerSocket newBus;
    private SocketTestSupport.StubEngine engine;
    private DispatcherProcess process;

    @BeforeEach
    void start() throws IOException {
        oldBus = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        newBus = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        engine =
                new SocketTestSupport.StubEngine(
                        call -> {
                            SocketTestSupport.sleepMillis(100);
                            return call.startsWith("DELETE")
                                    ? SocketTestSupport.CANCELLED
                                    : SocketTestSupport.RUNNING;
                        });
        oldBus.setSoTimeout(10_000);
        newBus.setSoTimeout(5_000);
        configure(oldBus, "listen");
        process = new DispatcherProcess(folder, 1024);
    }

    @AfterEach
    void end() throws Exception {
        process.close();
        oldBus.close();
        engine.close();
        newBus.close();
    }

    private void configure(ServerSocket bus, String listenKey) throws IOException {
        String text =
                SocketTestSupport.CONFIG
                        .replace("127.0.0.1:1\"", "127.0.0.1:" + bus.getLocalPort() + "\"")
                        .replace(
                                "\"offset\":0,\"batch\":[]",
                                KNOWN.formatted(engine.address().getPort()))
                        .replace("\"listen\"", "\"" + listenKey + "\"");
        Files.writeString(folder.resolve("config.json"), text);
    }

    private static long offset(Socket s) throws IOException {
        return new DataInputStream(s.getInputStream()).readLong();
    }

    /**
     * SIGHUP would end a JVM. A bad file is named and changes nothing; a good one moves to its
     * event bus.
     */
    @Test
    void hangUpTakesOnTheNewConfigurationOrKeepsTheOldOne() throws Exception {
        Socket before = oldBus.accept();
        assertEquals(7, offset(before));
        SocketTestSupport.await(() -> process.log().contains("listens on"));
        configure(newBus, "listens");
        process.signal("HUP");
        SocketTestSupport.await(() -> process.log().contains("fault: listen: missing"));
        configure(newBus, "listen");
        process.signal("HUP");
        assertEquals(7, offset(newBus.accept()));
        assertEquals(-1, before.getInputStream().read(), "the old bus is left");
        assertTrue(process.isAlive(), process.log());
        process.signal("TERM");
        assertTrue(process.exitsWithin(5), process.log());
        assertTrue(process.log().contains("config_reloaded=1 config_rejected=1"), process.log());
    }

    /**
     * A successor that is started while its predecessor holds the address waits for it, and says
     * so.
     */
    @Test
    void anAddressInUseIsWaitedFor() throws Exception {
        process.address();
        assertFalse(process.log().contains("in use"), process.log());
        Path config = folder.resolve("config.json");
        try (ServerSocket holder = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            String taken = "127.0.0.1:" + holder.getLocalPort();
            Files.writeString(
                    config, Files.readString(config).replace("127.0.0.1:0\"", taken + "\""));
            process.close();
            process = new DispatcherProcess(folder, 1024);
            SocketTestSupport.await(
                    () -> process.log().contains(taken + " is in use; trying again for 25"));
        }
        InetSocketAddress front = process.address();
        process.signal(
                "TERM"); // it goes on taking clients for 0.7 s, so that the next comes too early
        SocketTestSupport.await(() -> process.log().contains("asked to end"));
        Path other = Files.createDirectory(folder.resolve("next"));
        try (DispatcherProcess next = new DispatcherProcess(other, 1024, config, "")) {
            assertEquals(front.getPort(), next.address().getPort());
            try (SocketTestSupport.Client client = new SocketTestSupport.Client(front)) {
                assertEquals("I", client.startSession().query(" "));
            }
        }
    }

    /**
     * Under nohup a JVM never hears of SIGHUP: that is told at the start, not found out when it
     * matters.
     */
    @Test
    void aHangUpThatWasIgnoredFromTheStartIsTold() throws Exception {
        process.address();
        assertFalse(process.log().contains("SIGHUP was ignored"), process.log());
        process.close();
        Path config = folder.resolve("config.json");
        process = new DispatcherProcess(folder, 1024, config, "trap '' HUP; ");
        process.address();
        assertTrue(process.log().contains("SIGHUP was ignored"), process.log());
    }

    /**
     * An address that is not this machine's is no port in use: it is named at once, with exit code
     * 1.
     */
    @Test
    void anAddressOfAnotherMachineIsNotWaitedFor() throws Exception {
        Path config = folder.resolve("config.json");
        Files.writeString(
                config, Files.readString(config).replace("127.0.0.1:0\"", "192.0.2.1:7001\""));
        process.close();
        process = new DispatcherProcess(folder, 1024);
        assertTrue(process.exitsWithin(10), process.log());
        assertTrue(process.log().contains("cannot listen on /192.0.2.1:7001"), process.log());
    }

    /**
     * SIGTERM: clients may still come for a while, what was taken is answered, and the end is in
     * time.
     */
    @Test
    void terminationAnswersAllBeforeItIsForced() throws Exception {
        InetSocketAddress front = process.address();
        try (SocketTestSupport.Client taken = new SocketTestSupport.Client(front)) {
            taken.startSession()
                    .write(
                            SocketTestSupport.Client.queryMessage(
                                    SocketTestSupport.query("load", 1, 19_000)));
            SocketTestSupport.await(() -> engine.countCalls("POST") == 1);
            long from = System.nanoTime();
            process.signal("TERM");
            SocketTestSupport.sleepMillis(300);
            try (SocketTestSupport.Client late = new SocketTestSupport.Client(front)) {
                assertEquals(
                        "I",
                        late.startSession().query(" "),
                        "a client that comes 0.3 s later is served");
            }
            assertEquals("E(53300 the dispatcher is shutting down)", taken.readAnswer());
            assertTrue(process.exitsWithin(1), process.log());
            assertEquals(
                    0, Math.max(0, (System.nanoTime() - from) / 1_000_000 - 3700), "ms too late");
        }
    }

    /** The build makes the class archive of it, and goes on where it fails: here that shows. */
    @Test
    void aRehearsalServesItsQueriesAndEnds() throws Exception {
        Path log = folder.resolve("rehearsal");
        ProcessBuilder builder =
                new ProcessBuilder(
                        System.getProperty("java.home") + "/bin/java",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "junipercourse.cli.Main",
                        "rehearse");
        builder.environment().put("RELAY_CONFIG", "deploy/sample.json");
        builder.environment().put("RELAY_LISTEN", "127.0.0.1:0");
        Process rehearsal = builder.redirectErrorStream(true).redirectOutput(log.toFile()).start();
        assertEquals(0, rehearsal.waitFor(), () -> "see " + log);
        assertTrue(Files.readString(log).contains("queries_served=2"), Files.readString(log));
    }
}
