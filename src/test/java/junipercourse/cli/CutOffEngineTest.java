package junipercourse.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import junipercourse.Client;
import junipercourse.DispatcherProcess;
import junipercourse.ScriptedBus;
import junipercourse.SocketTestSupport;
import junipercourse.StubEngine;
import junipercourse.StubEngines;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against taking the answers of a new engine for those of the one that had its address
 * before and is cut off: that one still runs its queries.
 */
class CutOffEngineTest {
    /** PROTOCOL: an engine runs a query until it has not been asked for it in this time. */
    private static final double QUERY_EXPIRY_SECONDS = 2.0;

    private static final int QUERIES = 6;
    private static final long LONG_POLL_MILLIS = 250;
    private static final long POLLED_MILLIS = 500;
    private static final int TIMEOUT_MILLIS = 7000;

    private final Map<String, Long> lastAskedNanos = new ConcurrentHashMap<>();
    private final Map<String, Long> startedAgainNanos = new ConcurrentHashMap<>();
    private volatile boolean isCutOff;
    @TempDir private Path folder;

    private String answerOfOldEngine(String call) {
        if (call.startsWith("DELETE")) {
            return SocketTestSupport.CANCELLED;
        }
        lastAskedNanos.put(StubEngines.queryId(call), System.nanoTime());
        SocketTestSupport.sleepMillis(LONG_POLL_MILLIS);
        return isCutOff ? SocketTestSupport.NO_RESPONSE : SocketTestSupport.RUNNING;
    }

    /** It knows none of the queries that the other one runs. */
    private String answerOfNewEngine(String call) {
        if (call.startsWith("DELETE")) {
            return SocketTestSupport.CANCELLED;
        }
        if (call.startsWith("POST")) {
            startedAgainNanos.put(StubEngines.queryId(call), System.nanoTime());
            return SocketTestSupport.OK;
        }
        return SocketTestSupport.FAILED;
    }

    @Test
    void queryIsNotStartedAgainWhileTheCutOffEngineMayRunIt() throws Exception {
        try (ScriptedBus bus = new ScriptedBus();
                StubEngines first = new StubEngines(1, this::answerOfOldEngine)) {
            Path config = folder.resolve("config.json");
            Files.writeString(
                    config,
                    first.dispatcherConfig()
                            .replace(
                                    "127.0.0.1:1\"",
                                    "127.0.0.1:" + bus.address().getPort() + "\""));
            try (DispatcherProcess process =
                    DispatcherProcess.startWithDeployedOptions(folder.resolve("log"), config)) {
                Socket subscription = bus.acceptSubscription();
                CountDownLatch finished = new CountDownLatch(QUERIES);
                startQueries(process, finished);
                SocketTestSupport.await(() -> first.countAttempts("") >= QUERIES);
                SocketTestSupport.sleepMillis(POLLED_MILLIS);
                replaceEngine(first.get(1), bus, subscription, finished);
                assertTrue(startedAgainNanos.size() > 0, process.log());
            }
        }
        assertEquals(List.of(), startedTooEarly());
    }

    private static void startQueries(DispatcherProcess process, CountDownLatch finished)
            throws IOException {
        for (int i = 1; i <= QUERIES; i++) {
            String query = SocketTestSupport.query("check", i, TIMEOUT_MILLIS);
            Client client = new Client(process.address()).startSession();
            SocketTestSupport.startDaemon(
                    () -> {
                        client.query(query);
                        finished.countDown();
                    });
        }
    }

    /** Cuts off an engine, starts another one at its address and lists that one in its place. */
    private void replaceEngine(
            StubEngine engine, ScriptedBus bus, Socket subscription, CountDownLatch finished)
            throws IOException {
        isCutOff = true;
        engine.partitionUntil(new CountDownLatch(1));
        engine.stopAccepting();
        try (StubEngine second =
                StubEngine.startAt(engine.address().getPort(), this::answerOfNewEngine)) {
            bus.sendFrames(
                    subscription, ScriptedBus.endpointFrame(true, 2, 2, second.address(), false));
            SocketTestSupport.await(() -> finished.getCount() == 0, 2L * TIMEOUT_MILLIS);
        }
    }

    private List<String> startedTooEarly() {
        List<String> early = new ArrayList<>();
        startedAgainNanos.forEach(
                (id, nanos) -> {
                    double seconds = (nanos - lastAskedNanos.getOrDefault(id, 0L)) / 1e9;
                    if (seconds < QUERY_EXPIRY_SECONDS) {
                        early.add(id + " after " + seconds + " s");
                    }
                });
        return early;
    }
}
