package junipercourse.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import junipercourse.Client;
import junipercourse.DispatcherProcess;
import junipercourse.SocketTestSupport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Starts many dispatchers of the packaged program at once, with the deploy file's command line. A
 * long run, not part of the build: {@code mvn -q -B -ntp test -Dtest=ManyStarts -Dstarts=100}.
 * {@code -Dbus=refused} and {@code -Dbus=silent} start them with discovery down, {@code
 * -Dheld=SECONDS} beside an old process that holds the port for so long. A dispatcher is ready once
 * it answers an empty query; nine in ten must be within 10 s. {@code -Dfleet=on} makes them one
 * fleet, without faults between them; {@code -Dhold=SECONDS} keeps them running for so long and
 * prints the cost.
 */
class ManyStarts {
    private static final Path CONFIG = Path.of("deploy/sample.json");
    private static final double TICKS_PER_SECOND = 100; // unit of processor time in /proc
    private static final double PAGES_PER_MEGABYTE = 256;
    private static final double MAX_READY_SECONDS = 10;
    private static final int START_TIMEOUT_SECONDS = 120;
    private static final int BACKLOG = 512;
    @TempDir private Path folder;

    @Test
    void simultaneousStartsAreReadyInTime() throws Exception {
        int count = Integer.getInteger("starts", 100);
        List<DispatcherProcess> processes = new ArrayList<>();
        try {
            String bus = System.getProperty("bus", "");
            double[] readySeconds = new double[count];
            CountDownLatch remaining = new CountDownLatch(count);
            try (ServerSocket discovery =
                    new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())) {
                // silent: connections are never accepted; refused: nobody listens at that port
                String busAddress =
                        "127.0.0.1:" + (bus.equals("silent") ? discovery.getLocalPort() : 1);
                for (int i = 0; i < count; i++) {
                    Path config = writeConfig(i, bus.isEmpty() ? "" : busAddress);
                    long startNanos = System.nanoTime();
                    DispatcherProcess process =
                            DispatcherProcess.startDeployed(
                                    folder.resolve("log" + i), config, writeProductFile(i));
                    processes.add(process);
                    int number = i;
                    SocketTestSupport.startDaemon(
                            () -> {
                                awaitEmptyQueryAnswer(process);
                                readySeconds[number] = (System.nanoTime() - startNanos) * 1e-9;
                                remaining.countDown();
                            });
                }
                assertTrue(
                        remaining.await(START_TIMEOUT_SECONDS, TimeUnit.SECONDS),
                        () -> remaining.getCount() + " not ready");
            }
            double ninetiethPercentile =
                    Arrays.stream(readySeconds).sorted().toArray()[(count * 9 + 9) / 10 - 1];
            printDistribution("seconds to the first answer", readySeconds);
            assertTrue(
                    ninetiethPercentile < MAX_READY_SECONDS,
                    "nine in ten took " + ninetiethPercentile + " s");
            printDistribution(
                    "processor seconds until then",
                    processes.stream().mapToDouble(ManyStarts::processorSeconds).toArray());
            printDistribution(
                    "resident MB",
                    processes.stream().mapToDouble(ManyStarts::residentMegabytes).toArray());
            double[] secondsBefore =
                    processes.stream().mapToDouble(ManyStarts::processorSeconds).toArray();
            int holdSeconds = Integer.getInteger("hold", 0);
            SocketTestSupport.sleepMillis(holdSeconds * 1000L);
            if (holdSeconds > 0) {
                printDistribution(
                        "processor seconds in " + holdSeconds + " s after",
                        IntStream.range(0, count)
                                .mapToDouble(
                                        i -> processorSeconds(processes.get(i)) - secondsBefore[i])
                                .toArray());
                printDistribution(
                        "resident MB then",
                        processes.stream().mapToDouble(ManyStarts::residentMegabytes).toArray());
            }
            long archived =
                    processes.stream()
                            .filter(
                                    process ->
                                            readProcFile(process, "maps")
                                                    .contains("junipercourse.jsa"))
                            .count();
            assertEquals(count, archived, "processes with the class archive");
        } finally {
            processes.forEach(DispatcherProcess::close);
        }
    }

    /** Waits until the process listens and has answered an empty query as PostgreSQL does. */
    static void awaitEmptyQueryAnswer(DispatcherProcess process) throws IOException {
        try (Client client = new Client(process.address())) {
            assertEquals("I", client.startSession().query(" "));
        }
    }

    /**
     * Writes the sample configuration, with the given event bus if any, and with a port that is
     * held if requested.
     */
    private Path writeConfig(int i, String bus) throws IOException {
        JsonObject root = Json.parse(Files.readString(CONFIG)).asObject();
        if (!bus.isEmpty()) {
            root.set("bus", bus);
        }
        long heldMillis = (long) (Double.parseDouble(System.getProperty("held", "0")) * 1000);
        if (heldMillis > 0) {
            ServerSocket predecessor = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
            root.set("listen", "127.0.0.1:" + predecessor.getLocalPort());
            SocketTestSupport.startDaemon(
                    () -> {
                        SocketTestSupport.sleepMillis(heldMillis);
                        predecessor.close();
                    });
        }
        return Files.writeString(folder.resolve("config" + i + ".json"), root.toString());
    }

    private String writeProductFile(int i) throws IOException {
        if (!"on".equals(System.getProperty("fleet"))) {
            return "";
        }
        Path file = folder.resolve("product" + i + ".xml");
        Files.writeString(
                file,
                "<product><fleet name='starts' listen='127.0.2."
                        + (i + 1)
                        + ":7101'><seed address='127.0.2.1:7101'/><seed"
                        + " address='127.0.2.2:7101'/></fleet></product>");
        return "export RELAY_NAME=n" + i + " JUNIPER_PRODUCT='" + file + "'; ";
    }

    private static String readProcFile(DispatcherProcess process, String name) {
        try {
            return process.readProcFile(name);
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private static double processorSeconds(DispatcherProcess process) {
        String[] stat =
                readProcFile(process, "stat").split("\\) ")[1].split(" "); // from the third field
        return (Long.parseLong(stat[11]) + Long.parseLong(stat[12])) / TICKS_PER_SECOND;
    }

    private static double residentMegabytes(DispatcherProcess process) {
        return Long.parseLong(readProcFile(process, "statm").split(" ")[1]) / PAGES_PER_MEGABYTE;
    }

    private static void printDistribution(String metric, double... values) {
        Arrays.sort(values);
        System.out.printf(
                "%d starts, %s: median %.2f, 90th percentile %.2f, 99th %.2f, maximum %.2f%n",
                values.length,
                metric,
                values[values.length / 2],
                values[(values.length * 9 + 9) / 10 - 1],
                values[values.length * 99 / 100],
                values[values.length - 1]);
    }
}
