package junipercourse.discovery;

import static junipercourse.ScriptedBus.DELTA_FRAME;
import static junipercourse.ScriptedBus.EMPTY_FRAME;
import static junipercourse.ScriptedBus.FULL_FRAME;
import static junipercourse.ScriptedBus.sendBytes;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import junipercourse.ScriptedBus;
import junipercourse.SocketTestSupport;
import junipercourse.net.EventLoop;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Checks the documented time from the last complete frame of a watch until a new watch has
 * delivered the events missed meanwhile.
 */
class SilentBusTest {
    private static final double SILENCE_TIMEOUT_SECONDS = 2.5;
    private static final double DIAL_TIMEOUT_SECONDS = 1.0;
    private static final double MAX_BACKOFF_SECONDS = 0.5;

    /** Time for the sockets and threads of the script; measured stalls are added to it. */
    private static final double SLACK_SECONDS = 0.6;

    private static final int TIMEOUT_MILLIS = 20_000;
    private static final int FRAME_BYTES = 40; // a delta frame, including its length field
    private static final int UNFILLED_FRAME_BYTES = 0x7000; // longer than any frame sent here

    /** Behavior of the bus on one connection after the subscription request. */
    private interface Fault {
        void run(ScriptedBus bus, Socket socket) throws IOException;
    }

    private static final class Scenario {
        final ScriptedBus bus;
        final List<String> updates = new CopyOnWriteArrayList<>();
        final List<Throwable> failures = new CopyOnWriteArrayList<>();
        volatile double lastUpdateSeconds;

        Scenario() throws IOException {
            bus = new ScriptedBus();
        }
    }

    private final Map<String, Fault> faultsByName = new LinkedHashMap<>();
    private final Map<String, Double> recoverySecondsByFault = new LinkedHashMap<>();
    private EventLoop loop;

    @BeforeEach
    void open() throws IOException {
        loop = new EventLoop(() -> {}, e -> {});
        loop.execute(loop::startStallDetection);
        addFault(
                "silent",
                SILENCE_TIMEOUT_SECONDS,
                (bus, socket) -> ScriptedBus.awaitDisconnect(socket));
        addFault(
                "single bytes",
                SILENCE_TIMEOUT_SECONDS,
                (bus, socket) ->
                        sendSlowly(socket, "%08x%016x02".formatted(UNFILLED_FRAME_BYTES, 2)));
        addFault(
                "half a length, then silent",
                SILENCE_TIMEOUT_SECONDS,
                (bus, socket) -> {
                    sendBytes(socket, "0000");
                    ScriptedBus.awaitDisconnect(socket);
                });
        addFault(
                "a truncated frame, then silent",
                SILENCE_TIMEOUT_SECONDS,
                (bus, socket) -> {
                    sendBytes(socket, DELTA_FRAME.formatted(2).substring(0, 2 * FRAME_BYTES - 2));
                    ScriptedBus.awaitDisconnect(socket);
                });
        addFault(
                "never established",
                DIAL_TIMEOUT_SECONDS,
                (bus, socket) -> {
                    bus.stopAccepting();
                    bus.sendFrames(socket, EMPTY_FRAME.formatted(1));
                    socket.close();
                    SocketTestSupport.sleepMillis(700); // in the middle of the first dial
                    bus.resumeAccepting();
                });
        addFault("malformed", MAX_BACKOFF_SECONDS, (bus, socket) -> sendBytes(socket, "ffffffff"));
        addFault("closes", MAX_BACKOFF_SECONDS, (bus, socket) -> socket.close());
    }

    @AfterEach
    void close() {
        loop.stop();
    }

    private double slackSeconds() {
        return SLACK_SECONDS + loop.stallStatistics().totalStallSeconds();
    }

    private void addFault(String name, double recoverySeconds, Fault fault) {
        faultsByName.put(name, fault);
        recoverySecondsByFault.put(name, recoverySeconds);
    }

    private static void sendSlowly(Socket socket, String firstBytes) throws IOException {
        sendBytes(socket, firstBytes);
        try {
            for (int i = 0; i < TIMEOUT_MILLIS / 100; i++) {
                SocketTestSupport.sleepMillis(100);
                sendBytes(socket, "00");
            }
        } catch (IOException e) {
            return; // the watcher has closed the connection
        }
        throw new AssertionError("the watcher keeps a connection that sends only single bytes");
    }

    private void runScenario(Scenario scenario, String firstFault, String secondFault)
            throws IOException {
        scenario.bus.runScript(
                () -> {
                    Socket socket = scenario.bus.acceptSubscription();
                    scenario.bus.sendFrames(
                            socket, FULL_FRAME.formatted(1) + EMPTY_FRAME.formatted(1));
                    faultsByName.get(firstFault).run(scenario.bus, socket);
                    if (secondFault != null) {
                        faultsByName
                                .get(secondFault)
                                .run(scenario.bus, scenario.bus.acceptSubscription());
                    }
                    Socket lastSocket = scenario.bus.acceptSubscription();
                    sendBytes(lastSocket, DELTA_FRAME.formatted(2));
                },
                scenario.failures);
        EndpointWatcher watcher =
                scenario.bus.createWatcher(
                        loop,
                        (kind, endpoints) -> {
                            ScriptedBus.recordingListener(scenario.updates)
                                    .onEndpointUpdate(kind, endpoints);
                            scenario.lastUpdateSeconds = ScriptedBus.nowSeconds();
                        });
        loop.execute(watcher::start);
    }

    /** Runs each fault alone and each pair of faults, all at once, each with its own bus. */
    @Test
    void receivesMissedEventsInTimeWhenOneOrTwoFaultsEndTheWatch() throws Exception {
        Map<String, Scenario> scenarios = new LinkedHashMap<>();
        Map<String, Double> maxSecondsByScenario = new LinkedHashMap<>();
        try {
            for (String first : faultsByName.keySet()) {
                scenarios.put(first, new Scenario());
                maxSecondsByScenario.put(first, recoverySecondsByFault.get(first));
                runScenario(scenarios.get(first), first, null);
                for (String second : faultsByName.keySet()) {
                    String pairName = first + ", then " + second;
                    scenarios.put(pairName, new Scenario());
                    maxSecondsByScenario.put(
                            pairName,
                            recoverySecondsByFault.get(first) + recoverySecondsByFault.get(second));
                    runScenario(scenarios.get(pairName), first, second);
                }
            }
            List<String> failures = new ArrayList<>();
            scenarios.forEach(
                    (name, scenario) -> {
                        try {
                            SocketTestSupport.await(
                                    () ->
                                            scenario.updates.size() == 2
                                                    || !scenario.failures.isEmpty(),
                                    TIMEOUT_MILLIS);
                        } catch (AssertionError e) {
                            scenario.failures.add(e);
                        }
                        double elapsedSeconds =
                                scenario.lastUpdateSeconds - scenario.bus.lastFrameAt;
                        if (!scenario.failures.isEmpty()
                                || elapsedSeconds > maxSecondsByScenario.get(name) + slackSeconds()
                                || !scenario.updates.equals(List.of("FULL 1", "DELTA 2"))) {
                            failures.add(
                                    name
                                            + ": "
                                            + elapsedSeconds
                                            + " s of "
                                            + maxSecondsByScenario.get(name)
                                            + ", "
                                            + scenario.updates
                                            + scenario.failures);
                        }
                    });
            assertEquals(List.of(), failures);
        } finally {
            for (Scenario scenario : scenarios.values()) {
                scenario.bus.close();
            }
        }
    }

    /** The longest documented sequence: silence, a dial that hangs, a connection without frames. */
    @Test
    void reconnectsInTimeWhenSilenceThenAHungDialThenASilentWatchOccur() throws Exception {
        Scenario scenario = new Scenario();
        try (ScriptedBus bus = scenario.bus) {
            bus.runScript(
                    () -> {
                        Socket socket = bus.acceptSubscription();
                        bus.sendFrames(socket, FULL_FRAME.formatted(1));
                        bus.stopAccepting();
                        ScriptedBus.awaitDisconnect(socket);
                        SocketTestSupport.sleepMillis(700); // in the middle of the first dial
                        bus.resumeAccepting();
                        ScriptedBus.awaitDisconnect(bus.acceptSubscription());
                        sendBytes(bus.acceptSubscription(), DELTA_FRAME.formatted(2));
                    },
                    scenario.failures);
            EndpointWatcher watcher =
                    bus.createWatcher(
                            loop,
                            (kind, endpoints) -> {
                                ScriptedBus.recordingListener(scenario.updates)
                                        .onEndpointUpdate(kind, endpoints);
                                scenario.lastUpdateSeconds = ScriptedBus.nowSeconds();
                            });
            loop.execute(watcher::start);
            SocketTestSupport.await(
                    () -> scenario.updates.size() == 2 || !scenario.failures.isEmpty(),
                    TIMEOUT_MILLIS);
            assertEquals(List.of(), scenario.failures);
            double elapsedSeconds = scenario.lastUpdateSeconds - bus.lastFrameAt;
            assertTrue(
                    elapsedSeconds
                            < SILENCE_TIMEOUT_SECONDS
                                    + DIAL_TIMEOUT_SECONDS
                                    + SILENCE_TIMEOUT_SECONDS
                                    + slackSeconds(),
                    elapsedSeconds + " s");
        }
    }

    /**
     * A bus that needs longer than the silence timeout for its first frame, such as a long list,
     * must be given more time, or the watcher would reconnect forever.
     */
    @Test
    void receivesTheListWhenTheBusIsSlowToSend() throws Exception {
        Scenario scenario = new Scenario();
        try (ScriptedBus bus = scenario.bus) {
            bus.runScript(
                    () -> {
                        while (scenario.updates.isEmpty()) {
                            Socket socket = bus.acceptSubscription();
                            SocketTestSupport.sleepMillis(3000);
                            sendBytes(socket, FULL_FRAME.formatted(1));
                        }
                    },
                    scenario.failures);
            loop.execute(
                    bus.createWatcher(loop, ScriptedBus.recordingListener(scenario.updates))
                            ::start);
            SocketTestSupport.await(() -> !scenario.updates.isEmpty(), TIMEOUT_MILLIS);
        }
    }

    /**
     * A stall of the event loop must not count as silence of the bus, and must not delay the
     * detection of real silence by more than its own length.
     */
    @Test
    void detectsSilenceInTimeWhenTheLoopStalls() throws Exception {
        Scenario scenario = new Scenario();
        try (ScriptedBus bus = scenario.bus) {
            bus.runScript(
                    () -> {
                        Socket socket = bus.acceptSubscription();
                        bus.sendFrames(socket, FULL_FRAME.formatted(1));
                        while (scenario.updates.isEmpty()) {
                            SocketTestSupport.sleepMillis(2);
                        }
                        loop.execute(() -> SocketTestSupport.sleepMillis(3000));
                        for (int i = 0; i < 3; i++) {
                            SocketTestSupport.sleepMillis(900);
                            bus.sendFrames(socket, EMPTY_FRAME.formatted(1));
                        }
                        SocketTestSupport.sleepMillis(800);
                        bus.sendFrames(
                                socket,
                                DELTA_FRAME.formatted(
                                        2)); // on the watch that stayed open during the stall
                        loop.execute(
                                () ->
                                        SocketTestSupport.sleepMillis(
                                                1500)); // the bus sends nothing from here on
                        sendBytes(bus.acceptSubscription(), DELTA_FRAME.formatted(3));
                    },
                    scenario.failures);
            EndpointWatcher watcher =
                    bus.createWatcher(
                            loop,
                            (kind, endpoints) -> {
                                ScriptedBus.recordingListener(scenario.updates)
                                        .onEndpointUpdate(kind, endpoints);
                                scenario.lastUpdateSeconds = ScriptedBus.nowSeconds();
                            });
            loop.execute(watcher::start);
            SocketTestSupport.await(
                    () -> scenario.updates.size() == 3 || !scenario.failures.isEmpty(),
                    TIMEOUT_MILLIS);
            assertEquals(List.of(), scenario.failures);
            assertEquals(List.of("FULL 1", "DELTA 2", "DELTA 3"), scenario.updates);
            assertEquals(List.of(0L, 2L), bus.requestedOffsets);
            assertTrue(loop.stallStatistics().totalStallSeconds() >= 4, "no stalls were detected");
            double elapsedSeconds = scenario.lastUpdateSeconds - bus.lastFrameAt;
            assertTrue(
                    elapsedSeconds < SILENCE_TIMEOUT_SECONDS + slackSeconds() - 3,
                    elapsedSeconds + " s");
        }
    }
}
