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
    private static final String CHANGE =
            "0000002400000000000000%02x0200c41f7a0a0100091b59010000000200000fa0"
                    + "0000000000001388";

    /**
     * After a break, garbled bytes or silence it asks for what follows the last event that it has.
     */
    @Test
    void goesOnFromTheLastEventWhateverEndsTheConnection() throws Exception {
        List<Long> asked = new CopyOnWriteArrayList<>();
        List<String> told = new CopyOnWriteArrayList<>();
        EventLoop loop = new EventLoop(() -> {}, e -> {});
        try (ServerSocket bus = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            SocketTestSupport.startDaemon(
                    () -> {
                        for (String then : new String[] {"", "ffffffff", "00000000", "silence"}) {
                            Socket s = bus.accept();
                            asked.add(new DataInputStream(s.getInputStream()).readLong());
                            String bytes = CHANGE.formatted(41 + asked.size());
                            // the event that it has already may come again and is told once
                            String twice = bytes + bytes + (then.equals("silence") ? "" : then);
                            s.getOutputStream().write(HexFormat.of().parseHex(twice));
                            if (then.isEmpty()) {
                                s.close();
                            }
                        }
                        asked.add(new DataInputStream(bus.accept().getInputStream()).readLong());
                    });
            EndpointWatcher client =
                    new EndpointWatcher(
                            loop,
                            (InetSocketAddress) bus.getLocalSocketAddress(),
                            Json.parse("{\"offset\":41,\"batch\":[]}").asObject(),
                            List.of("east"),
                            List.of("std"),
                            (kind, members) -> told.add(kind + " " + members.size()),
                            new Counters());
            loop.execute(client::start);
            SocketTestSupport.await(() -> asked.size() == 5);
        } finally {
            loop.stop();
        }
        assertEquals(List.of(41L, 42L, 43L, 44L, 45L), asked);
        assertEquals(List.of("DELTA 1", "DELTA 1", "DELTA 1", "DELTA 1"), told);
    }
}
