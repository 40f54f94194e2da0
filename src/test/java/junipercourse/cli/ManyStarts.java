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
import junipercourse.DispatcherProcess;
import junipercourse.SocketTestSupport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Many dispatchers of the deploy file's command line start at once. A long run, not part of the
 * build, of the packaged program: {@code mvn -q -B -ntp test -Dtest=ManyStarts -Dstarts=100}.
 * {@code -Dbus=refused} and {@code -Dbus=silent} start them with discovery down, {@code
 * -Dheld=SECONDS} beside an old process that holds the port for so long. Ready is who answers an
 * empty query; nine in ten have to be within 10 s. With {@code -Dfleet=on} they are one fleet,
 * without faults between them; {@code -Dhold=SECONDS} goes on for so long and tells what that cost.
 */
class ManyStarts {
    private static final Path CONFIG = Path.of("deploy/sample.json");
    private static final double TICKS_S = 100; // in which the system counts processor time
    private static final double PAGES_MB = 256;
    private static final double READY_S = 10;
    private static final int PATIENCE_S = 120;
    private static final int BACKLOG = 512;
    @TempDir private Path folder;

    @Test
    void allStartAtOnceWithTheClassArchive() throws Exception {
        int count = Integer.getInteger("starts", 100);
        List<DispatcherProcess> all = new ArrayList<>();
        try {
            String bus = System.getProperty("bus", "");
            double[] readyS = new double[count];
            CountDownLatch left = new CountDownLatch(count);
            try (ServerSocket discovery =
                    new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())) {
                // silent: connections come up, and nobody accepts them; refused: nobody listens at
                // that port
                String at = "127.0.0.1:" + (bus.equals("silent") ? discovery.getLocalPort() : 1);
                for (int i = 0; i < count; i++) {
                    Path config = config(i, bus.isEmpty() ? "" : at);
                    long begun = System.nanoTime();
                    DispatcherProcess p =
                            DispatcherProcess.startDeployed(
                                    folder.resolve("log" + i), config, product(i));
                    all.add(p);
                    int number = i;
                    SocketTestSupport.startDaemon(
                            () -> {
                                answers(p);
                                readyS[number] = (System.nanoTime() - begun) * 1e-9;
                                left.countDown();
                            });
                }
                assertTrue(
                        left.await(PATIENCE_S, TimeUnit.SECONDS),
                        () -> left.getCount() + " not ready");
            }
            double ninth = Arrays.stream(readyS).sorted().toArray()[(count * 9 + 9) / 10 - 1];
            print("seconds to the first answer", readyS);
            assertTrue(ninth < READY_S, "nine in ten took " + ninth + " s");
            print(
                    "processor seconds until then",
                    all.stream().mapToDouble(ManyStarts::processorS).toArray());
            print("resident MB", all.stream().mapToDouble(ManyStarts::residentMb).toArray());
            double[] before = all.stream().mapToDouble(ManyStarts::processorS).toArray();
            int hold = Integer.getInteger("hold", 0);
            SocketTestSupport.sleepMillis(hold * 1000L);
            if (hold > 0) {
                print(
                        "processor seconds in " + hold + " s after",
                        IntStream.range(0, count)
                                .mapToDouble(i -> processorS(all.get(i)) - before[i])
                                .toArray());
                print(
                        "resident MB then",
                        all.stream().mapToDouble(ManyStarts::residentMb).toArray());
            }
            long archived =
                    all.stream().filter(p -> told(p, "maps").contains("junipercourse.jsa")).count();
            assertEquals(count, archived, "with the class archive");
        } finally {
            all.forEach(DispatcherProcess::close);
        }
    }

    /** Waits until it listens and has answered an empty query as PostgreSQL does. */
    static void answers(DispatcherProcess p) throws IOException {
        try (SocketTestSupport.Client client = new SocketTestSupport.Client(p.address())) {
            assertEquals("I", client.startSession().query(" "));
        }
    }

    /**
     * The sample's, with a bus that is down if one is given, and at a port that is held if that is
     * asked.
     */
    private Path config(int i, String bus) throws IOException {
        JsonObject root = Json.parse(Files.readString(CONFIG)).asObject();
        if (!bus.isEmpty()) {
            root.set("bus", bus);
        }
        long heldMs = (long) (Double.parseDouble(System.getProperty("held", "0")) * 1000);
        if (heldMs > 0) {
            ServerSocket old = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
            root.set("listen", "127.0.0.1:" + old.getLocalPort());
            SocketTestSupport.startDaemon(
                    () -> {
                        SocketTestSupport.sleepMillis(heldMs);
                        old.close();
                    });
        }
        return Files.writeString(folder.resolve("config" + i + ".json"), root.toString());
    }

    private String product(int i) throws IOException {
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

    private static String told(DispatcherProcess p, String what) {
        try {
            return p.readProcFile(what);
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private static double processorS(DispatcherProcess p) {
        String[] stat = told(p, "stat").split("\\) ")[1].split(" "); // the third field and on
        return (Long.parseLong(stat[11]) + Long.parseLong(stat[12])) / TICKS_S;
    }

    private static double residentMb(DispatcherProcess p) {
        return Long.parseLong(told(p, "statm").split(" ")[1]) / PAGES_MB;
    }

    private static void print(String what, double... values) {
        Arrays.sort(values);
        System.out.printf(
                "%d starts, %s: median %.2f, 90th percentile %.2f, 99th %.2f, most %.2f%n",
                values.length,
                what,
                values[values.length / 2],
                values[(values.length * 9 + 9) / 10 - 1],
                values[values.length * 99 / 100],
                values[values.length - 1]);
    }
}
