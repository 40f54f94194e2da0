package junipercourse.cli;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import junipercourse.DispatcherProcess;
import junipercourse.SocketTestSupport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * A few starts at once while discovery is down; {@link ManyStarts} has many, of the packaged
 * program.
 */
class ConcurrentStartTest {
    /** Of nine in ten restarted processes (STANDING); here of all. */
    private static final double READY_S = 10;

    @TempDir private Path folder;

    /** Two have a bus that refuses connections, two one that takes them and never says a word. */
    @Test
    void whoStartsWhileDiscoveryIsDownIsReadyInTime() throws Exception {
        List<DispatcherProcess> all = new ArrayList<>();
        try (ServerSocket silent = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            String[] buses = {"127.0.0.1:1", "127.0.0.1:" + silent.getLocalPort()};
            long begun = System.nanoTime();
            for (int i = 0; i < 2 * buses.length; i++) {
                all.add(start(i, buses[i / 2]));
            }
            for (DispatcherProcess p : all) {
                ManyStarts.answers(p);
            }
            double took = (System.nanoTime() - begun) * 1e-9;
            assertTrue(took < READY_S, "ready after " + took + " s");
        } finally {
            all.forEach(DispatcherProcess::close);
        }
    }

    private DispatcherProcess start(int i, String bus) throws IOException {
        Path own = Files.createDirectory(folder.resolve("process" + i));
        Files.writeString(
                own.resolve("config.json"),
                SocketTestSupport.CONFIG.replace("127.0.0.1:1\"", bus + "\""));
        return new DispatcherProcess(own, 1024);
    }
}
