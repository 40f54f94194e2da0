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
import junipercourse.Client;
import junipercourse.DispatcherProcess;
import junipercourse.SocketTestSupport;
import junipercourse.StubEngine;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs the whole program as a separate process and sends it signals. */
class ProcessTest {
    private static final String INITIAL_EVENTS =
            """
            "offset":7,"batch":[{"offset":7,"topology":{"complete":true,"members":[{"id":"s-00000001",
            "host_port":"127.0.0.1:%d","locality":"east","flavor":"std","cell":0,"phase":"Ready",
            "size":12.0,"up_since_ms":0}]}}]\
            """;
    @TempDir private Path folder;
    private ServerSocket oldBus;
    private ServerSocket newBus;
    private StubEngine engine;
    private DispatcherProcess process;

    @BeforeEach
    void start() throws IOException {
        oldBus = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        newBus = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        engine =
                new StubEngine(
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
    void tearDown() throws Exception {
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
                                INITIAL_EVENTS.formatted(engine.address().getPort()))
                        .replace("\"listen\"", "\"" + listenKey + "\"");
        Files.writeString(folder.resolve("config.json"), text);
    }

    private static long readOffset(Socket socket) throws IOException {
        return new DataInputStream(socket.getInputStream()).readLong();
    }

    /**
     * SIGHUP would otherwise end a JVM. An invalid file is reported and changes nothing; a valid
     * one switches to its event bus.
     */
    @Test
    void sighupAppliesValidConfigAndRejectsInvalid() throws Exception {
        Socket oldSubscription = oldBus.accept();
        assertEquals(7, readOffset(oldSubscription));
        SocketTestSupport.await(() -> process.log().contains("listens on"));
        configure(newBus, "listens");
        process.signal("HUP");
        SocketTestSupport.await(() -> process.log().contains("fault: listen: missing"));
        configure(newBus, "listen");
        process.signal("HUP");
        assertEquals(7, readOffset(newBus.accept()));
        assertEquals(
                -1,
                oldSubscription.getInputStream().read(),
                "the old event bus connection is closed");
        assertTrue(process.isAlive(), process.log());
        process.signal("TERM");
        assertTrue(process.exitsWithin(5), process.log());
        assertTrue(process.log().contains("config_reloaded=1 config_rejected=1"), process.log());
    }

    /**
     * A process that is started while its predecessor holds the address waits for it and logs that.
     */
    @Test
    void startWaitsForAddressInUse() throws Exception {
        process.address();
        assertFalse(process.log().contains("in use"), process.log());
        Path config = folder.resolve("config.json");
        try (ServerSocket holder = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            String address = "127.0.0.1:" + holder.getLocalPort();
            Files.writeString(
                    config, Files.readString(config).replace("127.0.0.1:0\"", address + "\""));
            process.close();
            process = new DispatcherProcess(folder, 1024);
            SocketTestSupport.await(
                    () -> process.log().contains(address + " is in use; retrying for up to 25"));
        }
        InetSocketAddress frontAddress = process.address();
        process.signal(
                "TERM"); // it accepts clients for another 0.7 s, so that the next process starts
        // too early
        SocketTestSupport.await(() -> process.log().contains("shutdown requested"));
        Path nextFolder = Files.createDirectory(folder.resolve("next"));
        try (DispatcherProcess next = new DispatcherProcess(nextFolder, 1024, config, "")) {
            assertEquals(frontAddress.getPort(), next.address().getPort());
            try (Client client = new Client(frontAddress)) {
                assertEquals("I", client.startSession().query(" "));
            }
        }
    }

    /**
     * Under nohup a JVM never receives SIGHUP; that is logged at the start, not discovered at the
     * first reload.
     */
    @Test
    void sighupIgnoredAtStartIsLogged() throws Exception {
        process.address();
        assertFalse(process.log().contains("SIGHUP was ignored"), process.log());
        process.close();
        Path config = folder.resolve("config.json");
        process = new DispatcherProcess(folder, 1024, config, "trap '' HUP; ");
        process.address();
        assertTrue(process.log().contains("SIGHUP was ignored"), process.log());
    }

    /**
     * An address of another machine is no port in use: the start fails at once with exit code 1 and
     * names it.
     */
    @Test
    void startFailsAtOnceForForeignAddress() throws Exception {
        Path config = folder.resolve("config.json");
        Files.writeString(
                config, Files.readString(config).replace("127.0.0.1:0\"", "192.0.2.1:7001\""));
        process.close();
        process = new DispatcherProcess(folder, 1024);
        assertTrue(process.exitsWithin(10), process.log());
        assertTrue(process.log().contains("cannot listen on /192.0.2.1:7001"), process.log());
    }

    /**
     * After SIGTERM clients may still connect for a while, open queries are answered, and the
     * process exits in time.
     */
    @Test
    void sigtermAnswersOpenQueriesBeforeSigkill() throws Exception {
        InetSocketAddress frontAddress = process.address();
        try (Client openClient = new Client(frontAddress)) {
            openClient
                    .startSession()
                    .write(Client.queryMessage(SocketTestSupport.query("load", 1, 19_000)));
            SocketTestSupport.await(() -> engine.countCalls("POST") == 1);
            long startNanos = System.nanoTime();
            process.signal("TERM");
            SocketTestSupport.sleepMillis(300);
            try (Client lateClient = new Client(frontAddress)) {
                assertEquals(
                        "I",
                        lateClient.startSession().query(" "),
                        "a client that connects 0.3 s later is served");
            }
            assertEquals("E(53300 the dispatcher is shutting down)", openClient.readAnswer());
            assertTrue(process.exitsWithin(1), process.log());
            assertEquals(
                    0,
                    Math.max(0, (System.nanoTime() - startNanos) / 1_000_000 - 3700),
                    "ms too late");
        }
    }

    /**
     * The build records the class archive with this command and continues if it fails, so a failure
     * must show here.
     */
    @Test
    void rehearseServesItsQueriesAndExits() throws Exception {
        Path log = folder.resolve("warmup");
        ProcessBuilder builder =
                new ProcessBuilder(
                        System.getProperty("java.home") + "/bin/java",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "junipercourse.cli.Main",
                        "rehearse");
        builder.environment().put("RELAY_CONFIG", "deploy/sample.json");
        builder.environment().put("RELAY_LISTEN", "127.0.0.1:0");
        Process warmup = builder.redirectErrorStream(true).redirectOutput(log.toFile()).start();
        assertEquals(0, warmup.waitFor(), () -> "see " + log);
        assertTrue(Files.readString(log).contains("queries_served=2"), Files.readString(log));
    }
}
