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
 * Checks the published endpoint updates for every order and fragmentation of frames, bus address
 * changes and connection losses.
 */
class EndpointOrderTest {
    private static final int FRAME_BYTES =
            40; // a frame with one record, including its length field
    private final List<String> updates = new CopyOnWriteArrayList<>();
    private EventLoop loop;
    private ScriptedBus bus;
    private ScriptedBus otherBus;

    @BeforeEach
    void open() throws IOException {
        loop = new EventLoop(() -> {}, e -> {});
        loop.execute(loop::startStallDetection);
        bus = new ScriptedBus();
        otherBus = new ScriptedBus();
    }

    @AfterEach
    void close() throws IOException {
        loop.stop();
        bus.close();
        otherBus.close();
    }

    private EndpointWatcher startWatcher() {
        EndpointWatcher watcher = bus.createWatcher(loop, ScriptedBus.recordingListener(updates));
        loop.execute(watcher::start);
        return watcher;
    }

    /** Formats {@code w2}, {@code c2} or {@code n2} as full, delta or empty frame of event 2. */
    private static String formatFrame(String shorthand) {
        String offset = shorthand.substring(1);
        return (shorthand.startsWith("w")
                        ? FULL_FRAME
                        : shorthand.startsWith("c") ? DELTA_FRAME : EMPTY_FRAME)
                .formatted(Integer.parseInt(offset));
    }

    /**
     * By the protocol, event numbers belong to a dispatcher and start at 1: a number that repeats
     * or goes back is an old event, whichever bus sends it, and the newest list applies. Frames
     * arrive in one write and in two.
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
    void publishesEachEventOnceWhenOffsetsRepeatOrGoBack(
            String first, String second, String expected, long lastOffset) throws Exception {
        for (boolean separateWrites : new boolean[] {false, true}) {
            updates.clear();
            bus.requestedOffsets.clear();
            EndpointWatcher watcher = startWatcher();
            Socket socket = bus.acceptSubscription();
            if (separateWrites) {
                sendBytes(socket, formatFrame(first));
                SocketTestSupport.await(() -> first.startsWith("n") || !updates.isEmpty());
                sendBytes(socket, formatFrame(second));
            } else {
                sendBytes(socket, formatFrame(first) + formatFrame(second));
            }
            socket.shutdownOutput();
            bus.acceptSubscription();
            assertEquals(List.of(expected.split(";")), updates);
            assertEquals(List.of(0L, lastOffset), bus.requestedOffsets);
            loop.execute(() -> watcher.reconfigure(null, List.of()));
        }
    }

    /**
     * A frame cut at any byte by a close or a reset must not be published; the next watch delivers
     * it in full.
     */
    @Test
    void publishesAFrameOnceWhenTheConnectionEndsAtAnyByte() throws Exception {
        startWatcher();
        for (int sentBytes = 0; sentBytes < FRAME_BYTES; sentBytes++) {
            Socket socket = bus.acceptSubscription();
            sendBytes(socket, formatFrame("w1") + formatFrame("c2").substring(0, 2 * sentBytes));
            SocketTestSupport.await(() -> !updates.isEmpty());
            if (sentBytes % 2 == 1) {
                socket.setSoLinger(true, 0);
            }
            socket.close();
        }
        Socket socket = bus.acceptSubscription();
        sendBytes(socket, formatFrame("w1") + formatFrame("c2"));
        SocketTestSupport.await(() -> updates.size() == 2);
        assertEquals(List.of("FULL 1", "DELTA 2"), updates);
        assertEquals(
                1,
                bus.requestedOffsets.stream().skip(1).distinct().count(),
                "requested " + bus.requestedOffsets);
    }

    /** An engine's new address or later start is published under its unchanged ID. */
    @Test
    void publishesCurrentPropertiesWhenAnEngineChangesUnderTheSameId() throws Exception {
        List<EngineEndpoint> endpoints = new CopyOnWriteArrayList<>();
        loop.execute(
                bus.createWatcher(loop, (kind, received) -> endpoints.addAll(received))::start);
        String id = "00000002";
        Socket socket = bus.acceptSubscription();
        sendBytes(
                socket,
                formatFrame("w2")
                        + formatFrame("c3")
                                .replace("00000003" + "0a01", id + "0a01")
                                .replace("0a0100091b59", "0a01000a1b59")
                        + formatFrame("c4")
                                .replace("00000004" + "0a01", id + "0a01")
                                .replace("1388", "2710"));
        SocketTestSupport.await(() -> endpoints.size() == 3);
        assertEquals(
                1, endpoints.stream().map(endpoint -> endpoint.engine().id()).distinct().count());
        assertEquals(
                List.of("10.1.0.9", "10.1.0.10", "10.1.0.9"),
                endpoints.stream().map(endpoint -> endpoint.address().getHostString()).toList());
        assertEquals(
                List.of(5.0, 5.0, 10.0),
                endpoints.stream().map(endpoint -> endpoint.engine().startedAt()).toList());
    }

    /** The bus address changes on SIGHUP after part of a frame was read. */
    @ParameterizedTest
    @ValueSource(ints = {1, 4, 13, 39})
    void publishesEachEventOnceWhenTheBusMovesWithinAFrame(int sentBytes) throws Exception {
        EndpointWatcher watcher = startWatcher();
        Socket socket = bus.acceptSubscription();
        sendBytes(socket, formatFrame("w1") + formatFrame("c2").substring(0, 2 * sentBytes));
        SocketTestSupport.await(() -> updates.size() == 1);
        loop.execute(() -> watcher.reconfigure(otherBus.address(), List.of()));
        Socket newSocket = otherBus.acceptSubscription();
        try {
            sendBytes(socket, formatFrame("c2").substring(2 * sentBytes) + formatFrame("c3"));
        } catch (IOException e) {
            assertTrue(socket.isConnected(), "the old connection is already closed");
        }
        sendBytes(newSocket, formatFrame("c2"));
        SocketTestSupport.await(() -> updates.size() == 2);
        ScriptedBus.awaitDisconnect(socket);
        assertEquals(List.of(1L), otherBus.requestedOffsets);
        sendBytes(newSocket, formatFrame("c3"));
        SocketTestSupport.await(() -> updates.size() == 3);
        assertEquals(List.of("FULL 1", "DELTA 2", "DELTA 3"), updates);
    }

    /**
     * The address change and a frame of the old bus are handled in one loop iteration, in either
     * order.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void publishesEachEventOnceWhenMoveAndFrameShareALoopIteration(boolean moveFirst)
            throws Exception {
        EndpointWatcher watcher = startWatcher();
        Socket socket = bus.acceptSubscription();
        sendBytes(socket, formatFrame("w1"));
        SocketTestSupport.await(() -> updates.size() == 1);
        CountDownLatch loopBlocked = new CountDownLatch(1);
        CountDownLatch resumeLoop = new CountDownLatch(1);
        loop.execute(
                () -> {
                    loopBlocked.countDown();
                    try {
                        resumeLoop.await();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
        loopBlocked.await();
        Runnable move = () -> watcher.reconfigure(otherBus.address(), List.of());
        if (moveFirst) {
            loop.execute(move);
        }
        sendBytes(socket, formatFrame("c2"));
        if (!moveFirst) {
            loop.execute(move);
        }
        resumeLoop.countDown();
        Socket newSocket = otherBus.acceptSubscription();
        long requestedOffset = otherBus.requestedOffsets.get(0);
        sendBytes(newSocket, (requestedOffset < 2 ? formatFrame("c2") : "") + formatFrame("c3"));
        SocketTestSupport.await(() -> updates.contains("DELTA 3"));
        assertEquals(List.of("FULL 1", "DELTA 2", "DELTA 3"), updates);
    }

    /**
     * The listener changes the bus address during an update: later bytes of the old watch,
     * malformed or not, must be ignored.
     */
    @ParameterizedTest
    @ValueSource(strings = {"", "ffffffff"})
    void ignoresRemainingBytesWhenTheListenerMovesTheBus(String trailingBytes) throws Exception {
        EndpointWatcher[] watcher = new EndpointWatcher[1];
        watcher[0] =
                bus.createWatcher(
                        loop,
                        (kind, endpoints) -> {
                            ScriptedBus.recordingListener(updates)
                                    .onEndpointUpdate(kind, endpoints);
                            watcher[0].reconfigure(otherBus.address(), List.of());
                        });
        loop.execute(watcher[0]::start);
        Socket socket = bus.acceptSubscription();
        sendBytes(socket, formatFrame("w1") + formatFrame("c2") + trailingBytes);
        Socket newSocket = otherBus.acceptSubscription();
        assertEquals(List.of(1L), otherBus.requestedOffsets);
        sendBytes(newSocket, formatFrame("c2"));
        SocketTestSupport.await(() -> updates.size() == 2);
        ScriptedBus.awaitDisconnect(socket);
        sendBytes(newSocket, formatFrame("c3"));
        SocketTestSupport.await(() -> updates.size() == 3);
        assertEquals(List.of("FULL 1", "DELTA 2", "DELTA 3"), updates);
        assertEquals(
                List.of(1L), otherBus.requestedOffsets, "the watch on the new bus was closed, too");
    }

    /**
     * A connection established after the bus address changed is closed without a request; only the
     * new bus is used.
     */
    @Test
    void closesTheOldConnectionWithoutARequestWhenTheBusMovesDuringADial() throws Exception {
        EndpointWatcher watcher = bus.createWatcher(loop, ScriptedBus.recordingListener(updates));
        loop.execute(
                () -> {
                    watcher.start();
                    SocketTestSupport.sleepMillis(
                            50); // established by the system, not yet passed to the watcher
                    watcher.reconfigure(otherBus.address(), List.of());
                });
        sendBytes(otherBus.acceptSubscription(), formatFrame("w1"));
        SocketTestSupport.await(() -> updates.size() == 1);
        bus.awaitConnectionWithoutRequest();
        assertEquals(List.of("FULL 1"), updates);
    }

    /** Events of a new configuration that are already known are skipped, even full lists. */
    @Test
    void publishesOnlyNewEventsWhenTheConfigurationIsReloaded() throws Exception {
        EndpointWatcher watcher = startWatcher();
        Socket socket = bus.acceptSubscription();
        sendBytes(socket, formatFrame("w5"));
        SocketTestSupport.await(() -> updates.size() == 1);
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
        List<InitialEventsReader.Event> events =
                watcher.readInitialEvents(
                        Json.parse("{\"offset\":7,\"batch\":[" + batch + "]}").asObject());
        loop.execute(() -> watcher.reconfigure(otherBus.address(), events));
        otherBus.acceptSubscription();
        assertEquals(List.of("FULL 5", "DELTA 6", "FULL 7"), updates);
        assertEquals(List.of(7L), otherBus.requestedOffsets);
    }
}
