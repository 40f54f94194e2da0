package junipercourse.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import junipercourse.Client;
import junipercourse.DispatcherProcess;
import junipercourse.QueryStream;
import junipercourse.ScriptedBus;
import junipercourse.SocketTestSupport;
import junipercourse.StubEngine;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Runs the whole process while the event bus is down or silent, under an enforced descriptor limit.
 */
class DiscoveryDownTest {
    /** The query with this number runs until it is cancelled; all others are answered at once. */
    private static final int HELD_QUERY = 0xabc;

    private static final double SILENCE_SECONDS = 2.5;
    private static final double SLACK_SECONDS = 1.0;

    /** Well below the time for which a silent client may hold the last descriptors. */
    private static final double MAX_CANCEL_SECONDS = 0.2;

    @TempDir private Path folder;
    private final List<Socket> idleSockets = new ArrayList<>();
    private final List<Double> startTimesAtFirst = new CopyOnWriteArrayList<>();
    private StubEngine firstEngine;
    private StubEngine secondEngine;
    private ScriptedBus bus;
    private DispatcherProcess process;
    private InetSocketAddress frontAddress;

    @BeforeEach
    void open() throws IOException {
        firstEngine =
                new StubEngine(
                        call -> {
                            if (call.startsWith("POST")) {
                                startTimesAtFirst.add(ScriptedBus.nowSeconds());
                            }
                            return answer(call);
                        });
        secondEngine = new StubEngine(this::answer);
        bus = new ScriptedBus();
    }

    private String answer(String call) {
        if (call.startsWith("DELETE")) {
            return SocketTestSupport.CANCELLED;
        }
        if (!call.contains("%016x".formatted(HELD_QUERY))) {
            return SocketTestSupport.OK;
        }
        SocketTestSupport.sleepMillis(call.startsWith("POST") ? 0 : 100);
        return SocketTestSupport.RUNNING;
    }

    @AfterEach
    void close() throws IOException {
        for (Socket socket : idleSockets) {
            socket.close();
        }
        if (process != null) {
            process.close();
        }
        bus.close();
        firstEngine.close();
        secondEngine.close();
    }

    private void start(int limit) throws IOException {
        Files.writeString(
                folder.resolve("config.json"),
                SocketTestSupport.CONFIG
                        .replace("127.0.0.1:1\"", "127.0.0.1:" + bus.address().getPort() + "\"")
                        .replace("\"sockets\":1024", "\"sockets\":" + limit)
                        .replace("_per_s\":50.0", "_per_s\":5000.0"));
        process = new DispatcherProcess(folder, limit);
        frontAddress = process.address();
    }

    private static String query(int number) {
        return SocketTestSupport.query("check", number, 7000)
                .replace("00000000000000aa", "%016x".formatted(number));
    }

    /** Connects clients that send nothing. */
    private void connectIdleClients(int count) throws IOException {
        for (int i = 0; i < count; i++) {
            idleSockets.add(new Socket(frontAddress.getAddress(), frontAddress.getPort()));
        }
    }

    /** A client that sends its query at once is served as soon as a silent one has timed out. */
    private void queryUntilServed() throws IOException {
        String answer = "";
        int number = 0;
        for (double deadline = ScriptedBus.nowSeconds() + 2;
                !answer.equals(QueryStream.EXPECTED_ANSWER); ) {
            assertTrue(ScriptedBus.nowSeconds() < deadline, answer);
            try (Client client = new Client(frontAddress)) {
                client.write(Client.startupMessage(), Client.queryMessage(query(++number)));
                answer = client.readAnswer();
                answer = answer.isEmpty() ? client.readAnswer() : answer;
            }
        }
    }

    /**
     * Idle clients connect while discovery is down, first far more than allowed, then just the
     * third of the limit: the event bus, an engine and a CancelRequest still get descriptors.
     */
    @ParameterizedTest
    @ValueSource(ints = {64, 96, 128})
    void idleClientsLeaveDescriptorsForOthers(int limit) throws Exception {
        int port = bus.address().getPort();
        bus.close();
        start(limit);
        int atRest = process.countDescriptors();
        int maxDescriptors = 0;
        try {
            for (int i = 0; i < 2; i++) {
                connectIdleClients(limit);
                maxDescriptors = Math.max(maxDescriptors, process.countDescriptors());
                SocketTestSupport.sleepMillis(300);
                maxDescriptors = Math.max(maxDescriptors, process.countDescriptors());
            }
            bus = new ScriptedBus(port);
            Socket watch = bus.acceptSubscription();
            maxDescriptors = Math.max(maxDescriptors, process.countDescriptors());
            bus.sendFrames(
                    watch, ScriptedBus.endpointFrame(true, 1, 1, firstEngine.address(), false));
            queryUntilServed();
            for (Socket socket : idleSockets) {
                socket.close();
            }
            SocketTestSupport.await(() -> process.countDescriptors() < atRest + 4);
            try (Client heldClient = new Client(frontAddress).startSession()) {
                heldClient.write(Client.queryMessage(query(HELD_QUERY)));
                SocketTestSupport.await(() -> firstEngine.countCalls("GET") > 0);
                connectIdleClients(limit / 3 - 2); // beside the held client and the CancelRequest
                double cancelTime = ScriptedBus.nowSeconds();
                heldClient.cancel();
                SocketTestSupport.await(() -> firstEngine.countCalls("DELETE") == 1);
                double elapsedSeconds = ScriptedBus.nowSeconds() - cancelTime;
                maxDescriptors = Math.max(maxDescriptors, process.countDescriptors());
                assertTrue(
                        elapsedSeconds < MAX_CANCEL_SECONDS,
                        "a CancelRequest took " + elapsedSeconds + " s");
            }
        } catch (IOException | AssertionError e) {
            throw new AssertionError(process.log(), e);
        }
        assertTrue(maxDescriptors <= limit, "descriptors in use: " + maxDescriptors);
        assertTrue(process.isAlive());
        assertFalse(process.log().contains("Too many open files"), process.log());
        assertFalse(process.log().contains("accept failed"), process.log());
    }

    /**
     * An engine that starts to drain while the watch is silent gets no new queries once the next
     * watch reports it, and the next watch opens in time.
     */
    @Test
    void drainPublishedDuringSilenceIsApplied() throws Exception {
        start(1024);
        Socket watch = bus.acceptSubscription();
        bus.sendFrames(watch, ScriptedBus.endpointFrame(true, 1, 1, firstEngine.address(), false));
        try (Client client = new Client(frontAddress).startSession()) {
            bus.sendFrames(
                    watch, ScriptedBus.endpointFrame(false, 2, 2, secondEngine.address(), false));
            AtomicReference<Double> drainSentAt = new AtomicReference<>(Double.POSITIVE_INFINITY);
            SocketTestSupport.startDaemon(
                    () -> {
                        Socket subscription = bus.acceptSubscription();
                        ScriptedBus.sendBytes(
                                subscription,
                                ScriptedBus.endpointFrame(
                                        false, 3, 1, firstEngine.address(), true));
                        drainSentAt.set(ScriptedBus.nowSeconds());
                    });
            int number = 0;
            while (ScriptedBus.nowSeconds()
                    < Math.min(drainSentAt.get() + 2, bus.lastFrameAt + 8)) {
                assertEquals(
                        QueryStream.EXPECTED_ANSWER,
                        client.query(query(++number)),
                        () -> process.log());
                SocketTestSupport.sleepMillis(10);
            }
            double drainTime = drainSentAt.get();
            assertTrue(
                    drainTime - bus.lastFrameAt < SILENCE_SECONDS + SLACK_SECONDS,
                    "drain sent at " + drainTime);
            assertTrue(
                    startTimesAtFirst.stream().filter(startTime -> startTime < drainTime).count()
                            > 10,
                    "engine not used before the drain");
            assertEquals(
                    0,
                    startTimesAtFirst.stream()
                            .filter(startTime -> startTime > drainTime + 0.3)
                            .count(),
                    "queries started after the drain");
        }
    }
}
