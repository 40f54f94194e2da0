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
import junipercourse.DispatcherProcess;
import junipercourse.QueryStream;
import junipercourse.ScriptedBus;
import junipercourse.SocketTestSupport;
import junipercourse.SocketTestSupport.Client;
import junipercourse.SocketTestSupport.StubEngine;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The whole process while the event bus is down or silent, under a limit of descriptors that is
 * enforced.
 */
class DiscoveryDownTest {
    /** The query with this number runs until it is given up; all others are answered at once. */
    private static final int HELD = 0xabc;

    private static final double SILENCE_S = 2.5;
    private static final double SLACK_S = 1.0;

    /** Well under the time for which a client without a word holds the last places. */
    private static final double CANCEL_S = 0.2;

    @TempDir private Path folder;
    private final List<Socket> idle = new ArrayList<>();
    private final List<Double> startedAtFirst = new CopyOnWriteArrayList<>();
    private StubEngine first;
    private StubEngine second;
    private ScriptedBus bus;
    private DispatcherProcess process;
    private InetSocketAddress front;

    @BeforeEach
    void open() throws IOException {
        first =
                new StubEngine(
                        call -> {
                            if (call.startsWith("POST")) {
                                startedAtFirst.add(ScriptedBus.nowSeconds());
                            }
                            return answer(call);
                        });
        second = new StubEngine(this::answer);
        bus = new ScriptedBus();
    }

    private String answer(String call) {
        if (call.startsWith("DELETE")) {
            return SocketTestSupport.CANCELLED;
        }
        if (!call.contains("%016x".formatted(HELD))) {
            return SocketTestSupport.OK;
        }
        SocketTestSupport.sleepMillis(call.startsWith("POST") ? 0 : 100);
        return SocketTestSupport.RUNNING;
    }

    @AfterEach
    void close() throws IOException {
        for (Socket s : idle) {
            s.close();
        }
        if (process != null) {
            process.close();
        }
        bus.close();
        first.close();
        second.close();
    }

    private void start(int limit) throws IOException {
        Files.writeString(
                folder.resolve("config.json"),
                SocketTestSupport.CONFIG
                        .replace("127.0.0.1:1\"", "127.0.0.1:" + bus.address().getPort() + "\"")
                        .replace("\"sockets\":1024", "\"sockets\":" + limit)
                        .replace("_per_s\":50.0", "_per_s\":5000.0"));
        process = new DispatcherProcess(folder, limit);
        front = process.address();
    }

    private static String query(int number) {
        return SocketTestSupport.query("check", number, 7000)
                .replace("00000000000000aa", "%016x".formatted(number));
    }

    /** Connects so many that say nothing. */
    private void fill(int clients) throws IOException {
        for (int i = 0; i < clients; i++) {
            idle.add(new Socket(front.getAddress(), front.getPort()));
        }
    }

    /**
     * A client that asks at once is taken and served as soon as one that says nothing has had its
     * time.
     */
    private void askUntilServed() throws IOException {
        String answer = "";
        int number = 0;
        for (double end = ScriptedBus.nowSeconds() + 2;
                !answer.equals(QueryStream.EXPECTED_ANSWER); ) {
            assertTrue(ScriptedBus.nowSeconds() < end, answer);
            try (Client c = new Client(front)) {
                c.write(Client.startupMessage(), Client.queryMessage(query(++number)));
                answer = c.readAnswer();
                answer = answer.isEmpty() ? c.readAnswer() : answer;
            }
        }
    }

    /**
     * Clients that say nothing come while discovery is down, first far more than may, then just the
     * third of the limit that they may open: the bus, an engine and a CancelRequest still get
     * theirs.
     */
    @ParameterizedTest
    @ValueSource(ints = {64, 96, 128})
    void idleClientsTakeNothingThatOthersNeed(int limit) throws Exception {
        int port = bus.address().getPort();
        bus.close();
        start(limit);
        int own = process.countDescriptors();
        int most = 0;
        try {
            for (int i = 0; i < 2; i++) {
                fill(limit);
                most = Math.max(most, process.countDescriptors());
                SocketTestSupport.sleepMillis(300);
                most = Math.max(most, process.countDescriptors());
            }
            bus = new ScriptedBus(port);
            Socket watch = bus.acceptSubscription();
            most = Math.max(most, process.countDescriptors());
            bus.sendFrames(watch, ScriptedBus.endpointFrame(true, 1, 1, first.address(), false));
            askUntilServed();
            for (Socket s : idle) {
                s.close();
            }
            SocketTestSupport.await(() -> process.countDescriptors() < own + 4);
            try (Client held = new Client(front).startSession()) {
                held.write(Client.queryMessage(query(HELD)));
                SocketTestSupport.await(() -> first.countCalls("GET") > 0);
                fill(limit / 3 - 2); // with the one that asked, and the CancelRequest
                double at = ScriptedBus.nowSeconds();
                held.cancel();
                SocketTestSupport.await(() -> first.countCalls("DELETE") == 1);
                double took = ScriptedBus.nowSeconds() - at;
                most = Math.max(most, process.countDescriptors());
                assertTrue(took < CANCEL_S, "a CancelRequest took " + took + " s");
            }
        } catch (IOException | AssertionError e) {
            throw new AssertionError(process.log(), e);
        }
        assertTrue(most <= limit, "held " + most);
        assertTrue(process.isAlive());
        assertFalse(process.log().contains("Too many open files"), process.log());
        assertFalse(process.log().contains("accept failed"), process.log());
    }

    /**
     * An engine that begins to drain while the watch is silent gets nothing new once the next watch
     * has told it, which it does in time.
     */
    @Test
    void aDrainThatIsPublishedDuringSilenceIsFollowed() throws Exception {
        start(1024);
        Socket watch = bus.acceptSubscription();
        bus.sendFrames(watch, ScriptedBus.endpointFrame(true, 1, 1, first.address(), false));
        try (Client c = new Client(front).startSession()) {
            bus.sendFrames(watch, ScriptedBus.endpointFrame(false, 2, 2, second.address(), false));
            AtomicReference<Double> toldAt = new AtomicReference<>(Double.POSITIVE_INFINITY);
            SocketTestSupport.startDaemon(
                    () -> {
                        Socket s = bus.acceptSubscription();
                        ScriptedBus.sendBytes(
                                s, ScriptedBus.endpointFrame(false, 3, 1, first.address(), true));
                        toldAt.set(ScriptedBus.nowSeconds());
                    });
            int number = 0;
            while (ScriptedBus.nowSeconds() < Math.min(toldAt.get() + 2, bus.lastFrameAt + 8)) {
                assertEquals(QueryStream.EXPECTED_ANSWER, c.query(query(++number)));
                SocketTestSupport.sleepMillis(10);
            }
            double told = toldAt.get();
            assertTrue(told - bus.lastFrameAt < SILENCE_S + SLACK_S, "told at " + told);
            assertTrue(
                    startedAtFirst.stream().filter(at -> at < told).count() > 10,
                    "not in use before");
            assertEquals(
                    0,
                    startedAtFirst.stream().filter(t -> t > told + 0.3).count(),
                    "sent to it later");
        }
    }
}
