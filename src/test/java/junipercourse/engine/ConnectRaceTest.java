package junipercourse.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import junipercourse.SocketTestSupport;
import junipercourse.core.Backend;
import junipercourse.core.Backend.AttemptCompletion;
import junipercourse.core.Backend.EngineEndpoint;
import junipercourse.core.Counters;
import junipercourse.core.Counters.Count;
import junipercourse.core.Query;
import junipercourse.decision.api.AttemptOutcome;
import junipercourse.decision.api.EndpointUpdateKind;
import junipercourse.decision.api.EngineId;
import junipercourse.decision.api.EngineListing;
import junipercourse.decision.api.EngineStage;
import junipercourse.liveness.ArrivalInterval;
import junipercourse.net.DescriptorBudget;
import junipercourse.net.EventLoop;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Events of an attempt in the loop iteration in which its connection is established, before the
 * loop has noticed that: the test blocks the iteration until the engine has accepted.
 */
class ConnectRaceTest {
    private static final int TIMEOUT_MILLIS = 3000;
    private final Counters counters = new Counters();
    private final EventLoop loop =
            new EventLoop(() -> counters.increment(Count.INTERNAL_ERRORS), e -> {});
    private final DescriptorBudget.Share share =
            new DescriptorBudget(1024, 28).allocateShare("engines", 16, 4);
    private final EngineClient engineClient =
            new EngineClient(loop, SocketTestSupport.settings(), share, counters);
    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final List<AttemptCompletion> completions = new CopyOnWriteArrayList<>();

    ConnectRaceTest() throws Exception {
        server.setSoTimeout(TIMEOUT_MILLIS);
    }

    @AfterEach
    void close() throws Exception {
        loop.stop();
        server.close();
    }

    private void updateEngine(EngineStage stage) {
        EngineListing entry = new EngineListing(new EngineId(1), 0, 0, 0, stage, 1, 0);
        engineClient.updateEndpoints(
                EndpointUpdateKind.DELTA,
                List.of(
                        new EngineEndpoint(
                                entry, (InetSocketAddress) server.getLocalSocketAddress())));
    }

    private Backend.Attempt startAttempt() {
        double now = loop.now();
        Query query =
                new Query(
                        "0000000000000001",
                        "check",
                        0,
                        0,
                        now + 5,
                        null,
                        0,
                        0,
                        Double.NaN,
                        0,
                        false,
                        "SELECT 1".getBytes(StandardCharsets.UTF_8),
                        new ArrivalInterval(now, now));
        return engineClient.startAttempt(new EngineId(1), query, now + 5, completions::add);
    }

    /** The HTTP method of the first call; empty if the connection ends before one. */
    private static String readMethod(Socket socket) throws Exception {
        socket.setSoTimeout(TIMEOUT_MILLIS);
        byte[] buffer = new byte[4096];
        try {
            int length = socket.getInputStream().read(buffer);
            return length < 0 ? "" : new String(buffer, 0, 4, StandardCharsets.ISO_8859_1);
        } catch (SocketException reset) {
            return "";
        }
    }

    @ParameterizedTest
    @CsvSource({
        "aborted,NOT_SENT",
        "drained,NOT_SENT",
        "gone,NOT_SENT",
        "drained and aborted,NOT_SENT",
        "no event,OK",
        "blocked past the dial timeout,"
    })
    void connectionOpenedInSameIterationCarriesNoObsoleteRequest(
            String event, AttemptOutcome expected) throws Exception {
        AtomicReference<Socket> accepted = new AtomicReference<>();
        AtomicReference<Exception> failure = new AtomicReference<>();
        loop.execute(
                () -> {
                    updateEngine(EngineStage.READY);
                    Backend.Attempt attempt = startAttempt();
                    loop.execute(
                            () -> { // after the dial has begun
                                try {
                                    accepted.set(server.accept());
                                } catch (java.io.IOException e) {
                                    failure.set(e);
                                }
                                SocketTestSupport.sleepMillis(
                                        event.startsWith("blocked") ? 400 : 20);
                                if (event.startsWith("drained") || event.equals("gone")) {
                                    updateEngine(
                                            event.equals("gone")
                                                    ? EngineStage.GONE
                                                    : EngineStage.DRAINING);
                                }
                                if (event.endsWith("aborted")) {
                                    attempt.abort(AttemptOutcome.CANCELLED);
                                }
                            });
                });
        SocketTestSupport.await(() -> accepted.get() != null || failure.get() != null);
        try (Socket socket = accepted.get()) {
            String call = readMethod(socket);
            if (!call.isEmpty()) {
                socket.getOutputStream()
                        .write(SocketTestSupport.OK.getBytes(StandardCharsets.ISO_8859_1));
            }
            SocketTestSupport.await(() -> !completions.isEmpty());
            AttemptOutcome outcome = completions.get(0).outcome();
            assertTrue(expected == null || expected == outcome, "completed as " + outcome);
            assertEquals(
                    outcome == AttemptOutcome.OK ? "POST" : "", call, "completed as " + outcome);
        }
        SocketTestSupport.await(
                () -> share.available() == 16); // each descriptor is released exactly once
        assertEquals(1, completions.size());
        assertEquals(0, counters.get(Count.INTERNAL_ERRORS));
    }
}
