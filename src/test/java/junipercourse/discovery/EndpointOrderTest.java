package junipercourse.discovery;

import static junipercourse.ScriptedBus.DELTA_FRAME;
import static junipercourse.ScriptedBus.EMPTY_FRAME;
import static junipercourse.ScriptedBus.FULL_FRAME;
import static junipercourse.ScriptedBus.sendBytes;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.eclipsesource.json.Json;
import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import junipercourse.ScriptedBus;
import junipercourse.SocketTestSupport;
import junipercourse.core.Backend.EngineEndpoint;
import junipercourse.net.EventLoop;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * What is told of the engine list, in whichever order and pieces frames, moves and ends of watches
 * come.
 */
class EndpointOrderTest {
    private static final int FRAME = 40; // bytes of one record's frame, with its length
    private final List<String> told = new CopyOnWriteArrayList<>();
    private EventLoop loop;
    private ScriptedBus bus;
    private ScriptedBus other;

    @BeforeEach
    void open() throws IOException {
        loop = new EventLoop(() -> {}, e -> {});
        loop.execute(loop::startStallDetection);
        bus = new ScriptedBus();
        other = new ScriptedBus();
    }

    @AfterEach
    void close() throws IOException {
        loop.stop();
        bus.close();
        other.close();
    }

    private EndpointWatcher start() {
        EndpointWatcher client = bus.createWatcher(loop, ScriptedBus.recordingListener(told));
        loop.execute(client::start);
        return client;
    }

    private static String frame(String word) {
        String number = word.substring(1);
        return (word.startsWith("w")
                        ? FULL_FRAME
                        : word.startsWith("c") ? DELTA_FRAME : EMPTY_FRAME)
                .formatted(Integer.parseInt(number));
    }

    /**
     * Numbers are a dispatcher's own, from 1 at its start (PROTOCOL): one that goes back or comes
     * again is old news, whatever bus it comes from, and of two lists the newest wins. In one write
     * and in two.
     */
    @ParameterizedTest
    @CsvSource({
        "w2,w3,FULL 2;FULL 3,3",
        "w3,w2,FULL 3,3",
        "w2,w2,FULL 2,2",
        "c2,c2,DELTA 2,2",
        "c2,c3,DELTA 2;DELTA 3,3",
        "c3,c2,DELTA 3,3",
        "w3,c2,FULL 3,3",
        "c3,w2,DELTA 3,3",
        "c2,w3,DELTA 2;FULL 3,3",
        "w2,c3,FULL 2;DELTA 3,3",
        "n9,c2,DELTA 2,2",
        "c2,n1,DELTA 2,2"
    })
    void newsAreToldOnceAndTheNewestWins(String a, String b, String expected, long last)
            throws Exception {
        for (boolean apart : new boolean[] {false, true}) {
            told.clear();
            bus.requestedOffsets.clear();
            EndpointWatcher client = start();
            Socket s = bus.acceptSubscription();
            if (apart) {
                sendBytes(s, frame(a));
                SocketTestSupport.await(() -> a.startsWith("n") || !told.isEmpty());
                sendBytes(s, frame(b));
            } else {
                sendBytes(s, frame(a) + frame(b));
            }
            s.shutdownOutput();
            bus.acceptSubscription();
            assertEquals(List.of(expected.split(";")), told);
            assertEquals(List.of(0L, last), bus.requestedOffsets);
            loop.execute(() -> client.reconfigure(null, List.of()));
        }
    }

    /**
     * Cut anywhere, by a close or a reset, a frame is not told, and comes whole on the next watch.
     */
    @Test
    void aFrameCutAtAnyByteIsToldOnce() throws Exception {
        start();
        for (int cut = 0; cut < FRAME; cut++) {
            Socket s = bus.acceptSubscription();
            sendBytes(s, frame("w1") + frame("c2").substring(0, 2 * cut));
            SocketTestSupport.await(() -> !told.isEmpty());
            if (cut % 2 == 1) {
                s.setSoLinger(true, 0);
            }
            s.close();
        }
        Socket s = bus.acceptSubscription();
        sendBytes(s, frame("w1") + frame("c2"));
        SocketTestSupport.await(() -> told.size() == 2);
        assertEquals(List.of("FULL 1", "DELTA 2"), told);
        assertEquals(
                1,
                bus.requestedOffsets.stream().skip(1).distinct().count(),
                "asked " + bus.requestedOffsets);
    }

    /**
     * What is told under the same id is told as it stands: another address, a later start, a drain.
     */
    @Test
    void anEngineThatChangesUnderItsIdIsToldAsItIs() throws Exception {
        List<EngineEndpoint> members = new CopyOnWriteArrayList<>();
        loop.execute(bus.createWatcher(loop, (kind, all) -> members.addAll(all))::start);
        String id = "00000002";
        Socket s = bus.acceptSubscription();
        sendBytes(
                s,
                frame("w2")
                        + frame("c3")
                                .replace("00000003" + "0a01", id + "0a01")
                                .replace("0a0100091b59", "0a01000a1b59")
                        + frame("c4")
                                .replace("00000004" + "0a01", id + "0a01")
                                .replace("1388", "2710"));
        SocketTestSupport.await(() -> members.size() == 3);
        assertEquals(1, members.stream().map(m -> m.engine().id()).distinct().count());
        assertEquals(
                List.of("10.1.0.9", "10.1.0.10", "10.1.0.9"),
                members.stream().map(m -> m.address().getHostString()).toList());
        assertEquals(
                List.of(5.0, 5.0, 10.0),
                members.stream().map(m -> m.engine().startedAt()).toList());
    }

    /** SIGHUP moves the bus between two frames, with half of one read: each event is told once. */
    @ParameterizedTest
    @ValueSource(ints = {1, 4, 13, 39})
    void aBusThatMovesInTheMiddleOfAFrame(int cut) throws Exception {
        EndpointWatcher client = start();
        Socket s = bus.acceptSubscription();
        sendBytes(s, frame("w1") + frame("c2").substring(0, 2 * cut));
        SocketTestSupport.await(() -> told.size() == 1);
        loop.execute(() -> client.reconfigure(other.address(), List.of()));
        Socket next = other.acceptSubscription();
        try {
            sendBytes(s, frame("c2").substring(2 * cut) + frame("c3"));
        } catch (IOException e) {
            assertTrue(s.isConnected(), "it has been left by now");
        }
        sendBytes(next, frame("c2"));
        SocketTestSupport.await(() -> told.size() == 2);
        ScriptedBus.awaitDisconnect(s);
        assertEquals(List.of(1L), other.requestedOffsets);
        sendBytes(next, frame("c3"));
        SocketTestSupport.await(() -> told.size() == 3);
        assertEquals(List.of("FULL 1", "DELTA 2", "DELTA 3"), told);
    }

    /**
     * The move and a frame of the old bus meet in one turn of the loop, either of them queued
     * first.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aBusThatMovesInTheTurnInWhichAFrameComes(boolean moveFirst) throws Exception {
        EndpointWatcher client = start();
        Socket s = bus.acceptSubscription();
        sendBytes(s, frame("w1"));
        SocketTestSupport.await(() -> told.size() == 1);
        CountDownLatch held = new CountDownLatch(1);
        CountDownLatch go = new CountDownLatch(1);
        loop.execute(
                () -> {
                    held.countDown();
                    try {
                        go.await();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
        held.await();
        Runnable move = () -> client.reconfigure(other.address(), List.of());
        if (moveFirst) {
            loop.execute(move);
        }
        sendBytes(s, frame("c2"));
        if (!moveFirst) {
            loop.execute(move);
        }
        go.countDown();
        Socket next = other.acceptSubscription();
        long from = other.requestedOffsets.get(0);
        sendBytes(next, (from < 2 ? frame("c2") : "") + frame("c3"));
        SocketTestSupport.await(() -> told.contains("DELTA 3"));
        assertEquals(List.of("FULL 1", "DELTA 2", "DELTA 3"), told);
    }

    /** News that lead to a move at once: nothing more of the old watch counts, garbled or not. */
    @ParameterizedTest
    @ValueSource(strings = {"", "ffffffff"})
    void aBusThatIsLeftWhileItsNewsAreTaken(String rest) throws Exception {
        EndpointWatcher[] client = new EndpointWatcher[1];
        client[0] =
                bus.createWatcher(
                        loop,
                        (kind, members) -> {
                            ScriptedBus.recordingListener(told).onEndpointUpdate(kind, members);
                            client[0].reconfigure(other.address(), List.of());
                        });
        loop.execute(client[0]::start);
        Socket s = bus.acceptSubscription();
        sendBytes(s, frame("w1") + frame("c2") + rest);
        Socket next = other.acceptSubscription();
        assertEquals(List.of(1L), other.requestedOffsets);
        sendBytes(next, frame("c2"));
        SocketTestSupport.await(() -> told.size() == 2);
        ScriptedBus.awaitDisconnect(s);
        sendBytes(next, frame("c3"));
        SocketTestSupport.await(() -> told.size() == 3);
        assertEquals(List.of("FULL 1", "DELTA 2", "DELTA 3"), told);
        assertEquals(List.of(1L), other.requestedOffsets, "the watch on the new bus was left, too");
    }

    /**
     * A connection that comes up after its bus was left is closed unasked; the new bus alone is
     * heard.
     */
    @Test
    void aBusThatMovesWhileItIsDialled() throws Exception {
        EndpointWatcher client = bus.createWatcher(loop, ScriptedBus.recordingListener(told));
        loop.execute(
                () -> {
                    client.start();
                    SocketTestSupport.sleepMillis(
                            50); // it is up in the system by now, and not handed over
                    client.reconfigure(other.address(), List.of());
                });
        sendBytes(other.acceptSubscription(), frame("w1"));
        SocketTestSupport.await(() -> told.size() == 1);
        bus.awaitConnectionWithoutRequest();
        assertEquals(List.of("FULL 1"), told);
    }

    /**
     * Events of a new configuration that are old here are not told, be they whole lists; new ones
     * are.
     */
    @Test
    void knownEventsOfANewConfigurationAreToldIfTheyAreNew() throws Exception {
        EndpointWatcher client = start();
        Socket s = bus.acceptSubscription();
        sendBytes(s, frame("w5"));
        SocketTestSupport.await(() -> told.size() == 1);
        String event =
                """
                {"offset":%d,"topology":{"complete":%s,"members":[{"id":"s-%08x","host_port":"10.1.0.9:7001",
                "locality":"east","flavor":"std","cell":0,"phase":"Ready","size":4,"up_since_ms":0}]}}\
                """;
        String batch =
                event.formatted(4, true, 4)
                        + ","
                        + event.formatted(5, true, 5)
                        + ","
                        + event.formatted(6, false, 6)
                        + ","
                        + event.formatted(7, true, 7);
        List<InitialEventsReader.Event> known =
                client.readInitialEvents(
                        Json.parse("{\"offset\":7,\"batch\":[" + batch + "]}").asObject());
        loop.execute(() -> client.reconfigure(other.address(), known));
        other.acceptSubscription();
        assertEquals(List.of("FULL 5", "DELTA 6", "FULL 7"), told);
        assertEquals(List.of(7L), other.requestedOffsets);
    }
}
