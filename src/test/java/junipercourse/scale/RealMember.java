package junipercourse.scale;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;
import junipercourse.Client;
import junipercourse.DispatcherProcess;
import junipercourse.SocketTestSupport;
import junipercourse.multiprocess.FleetObservation;

/**
 * A full dispatcher process that is a member of the same fleet; it is observed with {@code SHOW
 * FLEET}.
 */
final class RealMember implements Closeable {
    private static final int MAX_DESCRIPTORS = 1024;
    private static final double PAGES_PER_MB = 256;
    private static final double TICKS_PER_SECOND = 100; // unit of the CPU times in /proc/PID/stat

    final int number;
    private final DispatcherProcess process;
    private Client client;

    /**
     * Starts the process, with the deploy file's command line if {@code packaged}, else from the
     * class path.
     */
    RealMember(int number, Path folder, String product, boolean packaged) throws IOException {
        this.number = number;
        Path memberFolder = Files.createDirectories(folder.resolve(HollowMember.name(number)));
        Path config =
                Files.writeString(memberFolder.resolve("config.json"), SocketTestSupport.CONFIG);
        Path productFile = Files.writeString(memberFolder.resolve("product.xml"), product);
        String shellPrefix =
                "export RELAY_NAME="
                        + HollowMember.name(number)
                        + " JUNIPER_PRODUCT='"
                        + productFile
                        + "'; ";
        process =
                packaged
                        ? DispatcherProcess.startDeployed(
                                memberFolder.resolve("log"), config, shellPrefix)
                        : new DispatcherProcess(memberFolder, MAX_DESCRIPTORS, config, shellPrefix);
    }

    /** A product file with only the fleet element and its default settings. */
    static String product(int number, String zone, List<String> seeds) {
        return "<product><fleet name='scale' listen='"
                + Network.address(number)
                + "' zone='"
                + zone
                + "'>"
                + seeds.stream()
                        .map(seed -> "<seed address='" + seed + "'/>")
                        .collect(Collectors.joining())
                + "</fleet></product>";
    }

    /** Queries the member's current view of the fleet. */
    FleetObservation observe() throws IOException {
        if (!process.isAlive()) {
            throw new IOException("has ended: " + process.log());
        }
        try {
            if (client == null) {
                client = new Client(process.address());
                client.startSession();
            }
            return FleetObservation.parse(
                    Network.nowSeconds(), number, 1, client.query("SHOW FLEET"));
        } catch (IOException e) {
            client = null; // the next observation reconnects
            throw e;
        }
    }

    /** CPU seconds so far. */
    double cpuSeconds() throws IOException {
        String[] stat =
                process.readProcFile("stat").split("\\) ")[1].split(" "); // from the third field on
        return (Long.parseLong(stat[11]) + Long.parseLong(stat[12])) / TICKS_PER_SECOND;
    }

    double residentMb() throws IOException {
        return Long.parseLong(process.readProcFile("statm").split(" ")[1]) / PAGES_PER_MB;
    }

    @Override
    public void close() {
        process.close();
    }
}
