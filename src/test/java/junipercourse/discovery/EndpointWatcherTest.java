package junipercourse.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.eclipsesource.json.Json;
import java.io.DataInputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import junipercourse.SocketTestSupport;
import junipercourse.core.Counters;
import junipercourse.net.EventLoop;
import org.junit.jupiter.api.Test;

class EndpointWatcherTest {
    private static final String DELTA_FRAME =
            "0000002400000000000000%02x0200c41f7a0a0100091b59010000000200000fa0"
                    + "0000000000001388";

    /**
     * After a close, malformed bytes or silence the watcher requests what follows its last event.
     */
    @Test
    void resumesFromTheLastEventWhenTheConnectionEnds() throws Exception {
        List<Long> requestedOffsets = new CopyOnWriteArrayList<>();
        List<String> updates = new CopyOnWriteArrayList<>();
        EventLoop loop = new EventLoop(() -> {}, e -> {});
        try (ServerSocket bus = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            SocketTestSupport.startDaemon(
                    () -> {
                        for (String termination :
                                new String[] {"", "ffffffff", "00000000", "silence"}) {
                            Socket socket = bus.accept();
                            requestedOffsets.add(
                                    new DataInputStream(socket.getInputStream()).readLong());
                            String eventFrame = DELTA_FRAME.formatted(41 + requestedOffsets.size());
                            // a repeated event is published once
                            String bytes =
                                    eventFrame
                                            + eventFrame
                                            + (termination.equals("silence") ? "" : termination);
                            socket.getOutputStream().write(HexFormat.of().parseHex(bytes));
                            if (termination.isEmpty()) {
                                socket.close();
                            }
                        }
                        requestedOffsets.add(
                                new DataInputStream(bus.accept().getInputStream()).readLong());
                    });
            EndpointWatcher watcher =
                    new EndpointWatcher(
                            loop,
                            (InetSocketAddress) bus.getLocalSocketAddress(),
                            Json.parse("{\"offset\":41,\"batch\":[]}").asObject(),
                            List.of("east"),
                            List.of("std"),
                            (kind, endpoints) -> updates.add(kind + " " + endpoints.size()),
                            new Counters());
            loop.execute(watcher::start);
            SocketTestSupport.await(() -> requestedOffsets.size() == 5);
        } finally {
            loop.stop();
        }
        assertEquals(List.of(41L, 42L, 43L, 44L, 45L), requestedOffsets);
        assertEquals(List.of("DELTA 1", "DELTA 1", "DELTA 1", "DELTA 1"), updates);
    }
}
