package junipercourse.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import junipercourse.ListeningSocketHolder;
import junipercourse.ListeningSocketHolder.InheritingProcess;
import junipercourse.QueryStream;
import junipercourse.SocketTestSupport;
import junipercourse.SocketTestSupport.Client;
import junipercourse.StubEngines;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * The figures at the second address, to the count, against what scripted engines and clients have
 * seen.
 */
class AdminStatisticsTest {
    private static final List<String> CLASSES = List.of("check", "load");

    /** What becomes of a query, by its number's thousands. */
    private static final int FINE = 0;

    private static final int FAILS = 1;
    private static final int FINDS_NO_ROOM = 2;
    private static final int BREAKS_ONCE = 3;
    private static final int HELD = 4;
    private static final int EACH = 4;

    /** The second class's queries have numbers from here on. */
    private static final int LOADS = 500;

    @TempDir private Path folder;
    private final Set<String> broken = ConcurrentHashMap.newKeySet();
    private volatile boolean released;

    private String script(String call) {
        boolean post = call.startsWith("POST");
        String id = StubEngines.queryId(call);
        if (call.startsWith("DELETE")) {
            return SocketTestSupport.CANCELLED;
        }
        return switch (Integer.parseInt(id, 16) / 1000) {
            case FAILS -> SocketTestSupport.FAILED;
            case FINDS_NO_ROOM -> SocketTestSupport.AT_CAPACITY;
            case BREAKS_ONCE ->
                    broken.add(id) ? SocketTestSupport.CLOSE_CONNECTION : SocketTestSupport.OK;
            case HELD -> {
                SocketTestSupport.sleepMillis(post ? 0 : 100);
                yield released ? SocketTestSupport.OK : SocketTestSupport.RUNNING;
            }
            default -> SocketTestSupport.OK;
        };
    }

    private static JsonObject stats(InheritingProcess p) throws IOException {
        return Json.parse(p.callAdmin("GET /ops/stats").body()).asObject();
    }

    private static JsonObject byClass(long... counts) {
        return Json.object().add(CLASSES.get(0), counts[0]).add(CLASSES.get(1), counts[1]);
    }

    /** Waits for figures, which may lag, and shows those there are if they do not come. */
    private static void awaitFigures(JsonObject expected, InheritingProcess p) throws IOException {
        long end = System.nanoTime() + 5_000_000_000L;
        while (!stats(p).equals(expected) && System.nanoTime() < end) {
            SocketTestSupport.sleepMillis(20);
        }
        assertEquals(expected.toString(), stats(p).toString());
    }

    @Test
    void figuresAreWhatEnginesAndClientsSee() throws Exception {
        try (ListeningSocketHolder socket = new ListeningSocketHolder(folder);
                StubEngines engines = new StubEngines(3, this::script)) {
            socket.writeConfig(
                    engines.dispatcherConfig()
                            .replace("\"key_scope\":\"all\"", "\"key_scope\":\"zone\""));
            InheritingProcess p = socket.start().awaitReady();
            JsonObject none = byClass(0, 0);
            JsonObject expected =
                    Json.object()
                            .add("passed", none)
                            .add("dropped", none)
                            .add("bad_gateway", none)
                            .add("upstream_tries", none)
                            .add("in_progress", 0)
                            .add("known_engines", 3)
                            .add("skipped_engines", 0);
            awaitFigures(expected, p);
            assertEquals(200, p.callAdmin("POST /ops/engines/down/s-00000002").status());
            awaitFigures(expected.set("skipped_engines", 1), p);
            long[] passed = new long[2];
            List<Client> held = new ArrayList<>();
            for (int i = 0; i < EACH; i++) {
                Client c = new Client(socket.address()).startSession();
                c.write(Client.queryMessage(query(HELD, i % 2, i)));
                held.add(c);
                passed[i % 2]++;
            }
            SocketTestSupport.await(() -> engines.countAttempts("") == EACH);
            awaitFigures(
                    expected.set("in_progress", EACH).set("upstream_tries", tries(engines)), p);
            released = true;
            for (Client c : held) {
                assertEquals(QueryStream.EXPECTED_ANSWER, c.readAnswer());
                c.close();
            }
            awaitFigures(expected.set("in_progress", 0).set("passed", byClass(passed)), p);
            assertEquals(200, p.callAdmin("POST /ops/engines/up/s-00000002").status());
            awaitFigures(expected.set("skipped_engines", 0), p);
            engines.get(3).stopAccepting(); // nothing is written in an attempt at it
            long[] dropped = new long[2];
            long[] failed = new long[2];
            try (Client c = new Client(socket.address()).startSession()) {
                for (int i = 0; i < EACH * HELD; i++) {
                    String answer = c.query(query(i / 2 % HELD, i % 2, i));
                    long[] count =
                            answer.equals(QueryStream.EXPECTED_ANSWER)
                                    ? passed
                                    : answer.startsWith("E(53300 ") ? dropped : failed;
                    assertTrue(count != failed || answer.startsWith("E(58000 "), answer);
                    count[i % 2]++;
                }
            }
            assertTrue(
                    passed[0] * passed[1] * dropped[0] * dropped[1] * failed[1] > 0,
                    "not all was seen: " + byClass(passed) + byClass(dropped) + byClass(failed));
            expected.set("passed", byClass(passed))
                    .set("dropped", byClass(dropped))
                    .set("bad_gateway", byClass(failed))
                    .set("upstream_tries", tries(engines));
            awaitFigures(expected.set("skipped_engines", stats(p).get("skipped_engines")), p);
        }
    }

    private static String query(int fate, int queryClass, int number) {
        return SocketTestSupport.query(
                        CLASSES.get(queryClass),
                        fate * 1000 + queryClass * LOADS + number,
                        fate == FINDS_NO_ROOM ? 500 : 5000)
                .replace("00000000000000aa", "%016x".formatted(number));
    }

    /** What the engines have read whole, by the class that a query's number tells. */
    private static JsonObject tries(StubEngines engines) {
        long[] read = new long[2];
        for (int i = 1; i <= 3; i++) {
            for (String call : engines.get(i).calls) {
                if (call.startsWith("POST")) {
                    read[Integer.parseInt(StubEngines.queryId(call), 16) % 1000 / LOADS]++;
                }
            }
        }
        return byClass(read);
    }
}
