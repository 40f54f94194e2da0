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
 * From a watch's last whole frame to a new one that has told what came meanwhile, in the time
 * stated.
 */
class SilentBusTest {
    private static final double SILENCE_S = 2.5;
    private static final double DIAL_S = 1.0;
    private static final double PAUSE_S = 0.5;

    /** For the sockets and the threads of the script; stalls of this process come on top. */
    private static final double SLACK_S = 0.6;

    private static final int PATIENCE_MS = 20_000;
    private static final int FIRST = 40; // bytes of a change, with its length
    private static final int LONG = 0x7000; // a length that no frame here fills

    /** What one connection does after it was asked. */
    private interface Fault {
        void on(ScriptedBus bus, Socket s) throws IOException;
    }

    private static final class Scenario {
        final ScriptedBus bus;
        final List<String> told = new CopyOnWriteArrayList<>();
        final List<Throwable> faults = new CopyOnWriteArrayList<>();
        volatile double newsAt;

        Scenario() throws IOException {
            bus = new ScriptedBus();
        }
    }

    private final Map<String, Fault> faults = new LinkedHashMap<>();
    private final Map<String, Double> cost = new LinkedHashMap<>();
    private EventLoop loop;

    @BeforeEach
    void open() throws IOException {
        loop = new EventLoop(() -> {}, e -> {});
        loop.execute(loop::startStallDetection);
        add("mute", SILENCE_S, (bus, s) -> ScriptedBus.awaitDisconnect(s));
        add("dribbles", SILENCE_S, (bus, s) -> dribble(s, "%08x%016x02".formatted(LONG, 2)));
        add(
                "half a length and mute",
                SILENCE_S,
                (bus, s) -> {
                    sendBytes(s, "0000");
                    ScriptedBus.awaitDisconnect(s);
                });
        add(
                "a cut frame and mute",
                SILENCE_S,
                (bus, s) -> {
                    sendBytes(s, DELTA_FRAME.formatted(2).substring(0, 2 * FIRST - 2));
                    ScriptedBus.awaitDisconnect(s);
                });
        add(
                "never comes up",
                DIAL_S,
                (bus, s) -> {
                    bus.stopAccepting();
                    bus.sendFrames(s, EMPTY_FRAME.formatted(1));
                    s.close();
                    SocketTestSupport.sleepMillis(700); // in the middle of the first dial
                    bus.resumeAccepting();
                });
        add("garbled", PAUSE_S, (bus, s) -> sendBytes(s, "ffffffff"));
        add("closes", PAUSE_S, (bus, s) -> s.close());
    }

    @AfterEach
    void close() {
        loop.stop();
    }

    private double slack() {
        return SLACK_S + loop.stallStatistics().totalStallSeconds();
    }

    private void add(String name, double seconds, Fault fault) {
        faults.put(name, fault);
        cost.put(name, seconds);
    }

    private static void dribble(Socket s, String start) throws IOException {
        sendBytes(s, start);
        try {
            for (int i = 0; i < PATIENCE_MS / 100; i++) {
                SocketTestSupport.sleepMillis(100);
                sendBytes(s, "00");
            }
        } catch (IOException e) {
            return; // it has been left
        }
        throw new AssertionError("a bus that only dribbles is never left");
    }

    private void play(Scenario p, String first, String second) throws IOException {
        p.bus.runScript(
                () -> {
                    Socket s = p.bus.acceptSubscription();
                    p.bus.sendFrames(s, FULL_FRAME.formatted(1) + EMPTY_FRAME.formatted(1));
                    faults.get(first).on(p.bus, s);
                    if (second != null) {
                        faults.get(second).on(p.bus, p.bus.acceptSubscription());
                    }
                    Socket last = p.bus.acceptSubscription();
                    sendBytes(last, DELTA_FRAME.formatted(2));
                },
                p.faults);
        EndpointWatcher client =
                p.bus.createWatcher(
                        loop,
                        (kind, members) -> {
                            ScriptedBus.recordingListener(p.told).onEndpointUpdate(kind, members);
                            p.newsAt = ScriptedBus.nowSeconds();
                        });
        loop.execute(client::start);
    }

    /** Each fault alone and after each other; all plays at once, each with a bus of its own. */
    @Test
    void whateverEndsAWatchTheNextOneTellsInTime() throws Exception {
        Map<String, Scenario> plays = new LinkedHashMap<>();
        Map<String, Double> bounds = new LinkedHashMap<>();
        try {
            for (String first : faults.keySet()) {
                plays.put(first, new Scenario());
                bounds.put(first, cost.get(first));
                play(plays.get(first), first, null);
                for (String second : faults.keySet()) {
                    String both = first + ", then " + second;
                    plays.put(both, new Scenario());
                    bounds.put(both, cost.get(first) + cost.get(second));
                    play(plays.get(both), first, second);
                }
            }
            List<String> wrong = new ArrayList<>();
            plays.forEach(
                    (name, p) -> {
                        try {
                            SocketTestSupport.await(
                                    () -> p.told.size() == 2 || !p.faults.isEmpty(), PATIENCE_MS);
                        } catch (AssertionError e) {
                            p.faults.add(e);
                        }
                        double took = p.newsAt - p.bus.lastFrameAt;
                        if (!p.faults.isEmpty()
                                || took > bounds.get(name) + slack()
                                || !p.told.equals(List.of("FULL 1", "DELTA 2"))) {
                            wrong.add(
                                    name
                                            + ": "
                                            + took
                                            + " s of "
                                            + bounds.get(name)
                                            + ", "
                                            + p.told
                                            + p.faults);
                        }
                    });
            assertEquals(List.of(), wrong);
        } finally {
            for (Scenario p : plays.values()) {
                p.bus.close();
            }
        }
    }

    /**
     * The longest that is stated, one of each: silence, a dial that hangs, a connection that is
     * mute.
     */
    @Test
    void silenceThenADialThatHangsThenAMuteWatch() throws Exception {
        Scenario p = new Scenario();
        try (ScriptedBus bus = p.bus) {
            bus.runScript(
                    () -> {
                        Socket s = bus.acceptSubscription();
                        bus.sendFrames(s, FULL_FRAME.formatted(1));
                        bus.stopAccepting();
                        ScriptedBus.awaitDisconnect(s);
                        SocketTestSupport.sleepMillis(700); // in the middle of the first dial
                        bus.resumeAccepting();
                        ScriptedBus.awaitDisconnect(bus.acceptSubscription());
                        sendBytes(bus.acceptSubscription(), DELTA_FRAME.formatted(2));
                    },
                    p.faults);
            EndpointWatcher client =
                    bus.createWatcher(
                            loop,
                            (kind, members) -> {
                                ScriptedBus.recordingListener(p.told)
                                        .onEndpointUpdate(kind, members);
                                p.newsAt = ScriptedBus.nowSeconds();
                            });
            loop.execute(client::start);
            SocketTestSupport.await(() -> p.told.size() == 2 || !p.faults.isEmpty(), PATIENCE_MS);
            assertEquals(List.of(), p.faults);
            double took = p.newsAt - bus.lastFrameAt;
            assertTrue(took < SILENCE_S + DIAL_S + SILENCE_S + slack(), took + " s");
        }
    }

    /**
     * A bus that is slow to speak, or in the middle of a long list, is not left each time before it
     * does.
     */
    @Test
    void aBusThatIsSlowToSpeakIsHeard() throws Exception {
        Scenario p = new Scenario();
        try (ScriptedBus bus = p.bus) {
            bus.runScript(
                    () -> {
                        while (p.told.isEmpty()) {
                            Socket s = bus.acceptSubscription();
                            SocketTestSupport.sleepMillis(3000);
                            sendBytes(s, FULL_FRAME.formatted(1));
                        }
                    },
                    p.faults);
            loop.execute(bus.createWatcher(loop, ScriptedBus.recordingListener(p.told))::start);
            SocketTestSupport.await(() -> !p.told.isEmpty(), PATIENCE_MS);
        }
    }

    /**
     * A stall of our own is not held against the bus, and hides its silence no longer than it
     * lasts.
     */
    @Test
    void aStallIsNoSilenceAndHidesNone() throws Exception {
        Scenario p = new Scenario();
        try (ScriptedBus bus = p.bus) {
            bus.runScript(
                    () -> {
                        Socket s = bus.acceptSubscription();
                        bus.sendFrames(s, FULL_FRAME.formatted(1));
                        while (p.told.isEmpty()) {
                            SocketTestSupport.sleepMillis(2);
                        }
                        loop.execute(() -> SocketTestSupport.sleepMillis(3000));
                        for (int i = 0; i < 3; i++) {
                            SocketTestSupport.sleepMillis(900);
                            bus.sendFrames(s, EMPTY_FRAME.formatted(1));
                        }
                        SocketTestSupport.sleepMillis(800);
                        bus.sendFrames(
                                s,
                                DELTA_FRAME.formatted(
                                        2)); // on the watch that was open all the time
                        loop.execute(
                                () ->
                                        SocketTestSupport.sleepMillis(
                                                1500)); // and is silent from now on
                        sendBytes(bus.acceptSubscription(), DELTA_FRAME.formatted(3));
                    },
                    p.faults);
            EndpointWatcher client =
                    bus.createWatcher(
                            loop,
                            (kind, members) -> {
                                ScriptedBus.recordingListener(p.told)
                                        .onEndpointUpdate(kind, members);
                                p.newsAt = ScriptedBus.nowSeconds();
                            });
            loop.execute(client::start);
            SocketTestSupport.await(() -> p.told.size() == 3 || !p.faults.isEmpty(), PATIENCE_MS);
            assertEquals(List.of(), p.faults);
            assertEquals(List.of("FULL 1", "DELTA 2", "DELTA 3"), p.told);
            assertEquals(List.of(0L, 2L), bus.requestedOffsets);
            assertTrue(loop.stallStatistics().totalStallSeconds() >= 4, "no stalls were seen");
            double took = p.newsAt - bus.lastFrameAt;
            assertTrue(took < SILENCE_S + slack() - 3, took + " s");
        }
    }
}
