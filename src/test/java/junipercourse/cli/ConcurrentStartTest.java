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
 * Starts a few processes at once while discovery is down; {@link ManyStarts} starts many of the
 * packaged program.
 */
class ConcurrentStartTest {
    /** Required of nine in ten restarted processes; checked here for all. */
    private static final double MAX_READY_SECONDS = 10;

    @TempDir private Path folder;

    /**
     * Two have an event bus that refuses connections, two one that accepts them and sends nothing.
     */
    @Test
    void startsDuringDiscoveryOutageAreReadyInTime() throws Exception {
        List<DispatcherProcess> processes = new ArrayList<>();
        try (ServerSocket silent = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            String[] buses = {"127.0.0.1:1", "127.0.0.1:" + silent.getLocalPort()};
            long startNanos = System.nanoTime();
            for (int i = 0; i < 2 * buses.length; i++) {
                processes.add(start(i, buses[i / 2]));
            }
            for (DispatcherProcess process : processes) {
                ManyStarts.awaitEmptyQueryAnswer(process);
            }
            double elapsedSeconds = (System.nanoTime() - startNanos) * 1e-9;
            assertTrue(elapsedSeconds < MAX_READY_SECONDS, "ready after " + elapsedSeconds + " s");
        } finally {
            processes.forEach(DispatcherProcess::close);
        }
    }

    private DispatcherProcess start(int i, String bus) throws IOException {
        Path processFolder = Files.createDirectory(folder.resolve("process" + i));
        Files.writeString(
                processFolder.resolve("config.json"),
                SocketTestSupport.CONFIG.replace("127.0.0.1:1\"", bus + "\""));
        return new DispatcherProcess(processFolder, 1024);
    }
}
