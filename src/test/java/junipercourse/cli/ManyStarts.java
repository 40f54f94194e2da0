package junipercourse.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import junipercourse.DispatcherProcess;
import junipercourse.TestBench;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Many dispatchers of the deploy file's command line start at once. A long run, not part of the build, of the
 * packaged program: {@code mvn -q -B -ntp test -Dtest=ManyStarts -Dstarts=100}. With {@code -Dfleet=on} they
 * are one fleet, without faults between them; {@code -Dhold=SECONDS} goes on for so long and tells what that
 * cost.
 */
class ManyStarts {
    private static final Path CONFIG = Path.of("deploy/sample.json");
    private static final double TICKS_S = 100; // in which the system counts processor time
    private static final double PAGES_MB = 256;
    @TempDir
    private Path folder;

    @Test
    void allStartAtOnceWithTheClassArchive() throws Exception {
        int count = Integer.getInteger("starts", 100);
        List<DispatcherProcess> all = new ArrayList<>();
        try {
            long[] begun = new long[count];
            double[] readyS = new double[count];
            for (int i = 0; i < count; i++) {
                begun[i] = System.nanoTime();
                all.add(DispatcherProcess.deployed(folder.resolve("log" + i), CONFIG, product(i)));
            }
            for (int left = count; left > 0; TestBench.pause(10)) {
                for (int i = 0; i < count; i++) {
                    assertTrue(all.get(i).isAlive(), all.get(i)::log);
                    if (readyS[i] == 0 && all.get(i).log().contains("listens on")) {
                        readyS[i] = (System.nanoTime() - begun[i]) * 1e-9;
                        left--;
                    }
                }
            }
            print("seconds to \"listens on\"", readyS);
            print("processor seconds until then", all.stream().mapToDouble(ManyStarts::processorS).toArray());
            print("resident MB", all.stream().mapToDouble(ManyStarts::residentMb).toArray());
            double[] before = all.stream().mapToDouble(ManyStarts::processorS).toArray();
            int hold = Integer.getInteger("hold", 0);
            TestBench.pause(hold * 1000L);
            if (hold > 0) {
                print("processor seconds in " + hold + " s after", IntStream.range(0, count)
                        .mapToDouble(i -> processorS(all.get(i)) - before[i]).toArray());
                print("resident MB then", all.stream().mapToDouble(ManyStarts::residentMb).toArray());
            }
            long archived = all.stream().filter(p -> told(p, "maps").contains("junipercourse.jsa")).count();
            assertEquals(count, archived, "with the class archive");
        } finally {
            all.forEach(DispatcherProcess::close);
        }
    }

    private String product(int i) throws IOException {
        if (!"on".equals(System.getProperty("fleet"))) {
            return "";
        }
        Path file = folder.resolve("product" + i + ".xml");
        Files.writeString(file, "<product><fleet name='starts' listen='127.0.2." + (i + 1) + ":7101'>"
                + "<seed address='127.0.2.1:7101'/><seed address='127.0.2.2:7101'/></fleet></product>");
        return "export RELAY_NAME=n" + i + " JUNIPER_PRODUCT='" + file + "'; ";
    }

    private static String told(DispatcherProcess p, String what) {
        try {
            return p.told(what);
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
        System.out.printf("%d starts, %s: median %.2f, 99th percentile %.2f, most %.2f%n",
                values.length, what, values[values.length / 2], values[values.length * 99 / 100],
                values[values.length - 1]);
    }
}
