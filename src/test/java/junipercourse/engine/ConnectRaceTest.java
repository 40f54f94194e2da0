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
 * What happens to an attempt in the very turn of the loop in which its connection has come up,
 * before the loop has seen that: the turn is held until the engine has accepted.
 */
class ConnectRaceTest {
    private static final int PATIENCE_MS = 3000;
    private final Counters counters = new Counters();
    private final EventLoop loop =
            new EventLoop(() -> counters.increment(Count.INTERNAL_ERRORS), e -> {});
    private final DescriptorBudget.Share share =
            new DescriptorBudget(1024, 28).allocateShare("engines", 16, 4);
    private final EngineClient engines =
            new EngineClient(loop, SocketTestSupport.settings(), share, counters);
    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final List<AttemptCompletion> ends = new CopyOnWriteArrayList<>();

    ConnectRaceTest() throws Exception {
        server.setSoTimeout(PATIENCE_MS);
    }

    @AfterEach
    void close() throws Exception {
        loop.stop();
        server.close();
    }

    private void list(EngineStage stage) {
        EngineListing entry = new EngineListing(new EngineId(1), 0, 0, 0, stage, 1, 0);
        engines.updateEndpoints(
                EndpointUpdateKind.DELTA,
                List.of(
                        new EngineEndpoint(
                                entry, (InetSocketAddress) server.getLocalSocketAddress())));
    }

    private Backend.Attempt start() {
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
        return engines.startAttempt(new EngineId(1), query, now + 5, ends::add);
    }

    /** What the engine reads before the connection ends, or until it has a call. */
    private static String read(Socket s) throws Exception {
        s.setSoTimeout(PATIENCE_MS);
        byte[] got = new byte[4096];
        try {
            int n = s.getInputStream().read(got);
            return n < 0 ? "" : new String(got, 0, 4, StandardCharsets.ISO_8859_1);
        } catch (SocketException reset) {
            return "";
        }
    }

    @ParameterizedTest
    @CsvSource({
        "given up,NOT_SENT",
        "drained,NOT_SENT",
        "gone,NOT_SENT",
        "drained and given up,NOT_SENT",
        "nothing,OK",
        "held past the dial's time,"
    })
    void aConnectionThatComesUpInTheSameTurnCarriesNothingThatIsOver(
            String event, AttemptOutcome expected) throws Exception {
        AtomicReference<Socket> accepted = new AtomicReference<>();
        AtomicReference<Exception> failed = new AtomicReference<>();
        loop.execute(
                () -> {
                    list(EngineStage.READY);
                    Backend.Attempt attempt = start();
                    loop.execute(
                            () -> { // after the dial has begun
                                try {
                                    accepted.set(server.accept());
                                } catch (java.io.IOException e) {
                                    failed.set(e);
                                }
                                SocketTestSupport.sleepMillis(event.startsWith("held") ? 400 : 20);
                                if (event.startsWith("drained") || event.equals("gone")) {
                                    list(
                                            event.equals("gone")
                                                    ? EngineStage.GONE
                                                    : EngineStage.DRAINING);
                                }
                                if (event.endsWith("given up")) {
                                    attempt.abort(AttemptOutcome.CANCELLED);
                                }
                            });
                });
        SocketTestSupport.await(() -> accepted.get() != null || failed.get() != null);
        try (Socket s = accepted.get()) {
            String call = read(s);
            if (!call.isEmpty()) {
                s.getOutputStream()
                        .write(SocketTestSupport.OK.getBytes(StandardCharsets.ISO_8859_1));
            }
            SocketTestSupport.await(() -> !ends.isEmpty());
            AttemptOutcome outcome = ends.get(0).outcome();
            assertTrue(expected == null || expected == outcome, "ended as " + outcome);
            assertEquals(outcome == AttemptOutcome.OK ? "POST" : "", call, "ended as " + outcome);
        }
        SocketTestSupport.await(
                () -> share.available() == 16); // whoever closed it, its descriptor came back once
        assertEquals(1, ends.size());
        assertEquals(0, counters.get(Count.INTERNAL_ERRORS));
    }
}
