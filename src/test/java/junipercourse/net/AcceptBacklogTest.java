package junipercourse.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.BufferedReader;
import java.io.StringReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledOnOs;
import org.junit.jupiter.api.condition.OS;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class AcceptBacklogTest {
    private static final String PROC_NET_TCP =
            """
              sl  local_address rem_address   st tx_queue rx_queue tr tm->when retrnsmt   uid  timeout inode
               0: 0100007F:1B59 00000000:0000 0A 00000000:0000002B 00:00000000 00000000     0        0 1 1
               1: 0100007F:1B5A 0100007F:9999 01 00000000:00000007 00:00000000 00000000     0        0 2 1
               2: 0000000000000000FFFF00000200007F:1B59 0000000000000000:0000 0A 00:05 00 0 0 0
            """;

    @ParameterizedTest
    @CsvSource({
        "127.0.0.1, 7001, 43",
        "127.0.0.2, 7001, 5",
        "127.0.0.1, 7002, -1",
        "127.0.0.3, 7001, -1"
    })
    void findsTheAcceptQueueOfListeningSocketsOnly(String host, int port, int waiting)
            throws Exception {
        BufferedReader table = new BufferedReader(new StringReader(PROC_NET_TCP));
        assertEquals(waiting, AcceptBacklog.findWaiting(table, new InetSocketAddress(host, port)));
    }

    @Test
    @EnabledOnOs(OS.LINUX)
    void countsConnectionsNotYetAccepted() throws Exception {
        if (!Files.isReadable(Path.of("/proc/net/tcp"))) {
            return;
        }
        try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            InetSocketAddress address = (InetSocketAddress) server.getLocalSocketAddress();
            assertEquals(0, AcceptBacklog.countWaiting(address));
            try (Socket first = new Socket(address.getAddress(), address.getPort());
                    Socket second = new Socket(address.getAddress(), address.getPort())) {
                assertEquals(2, AcceptBacklog.countWaiting(address), first + " " + second);
                server.accept().close();
                assertEquals(1, AcceptBacklog.countWaiting(address));
            }
        }
    }
}
