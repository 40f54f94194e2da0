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
import junipercourse.Client;
import junipercourse.ListeningSocketHolder;
import junipercourse.ListeningSocketHolder.InheritingProcess;
import junipercourse.QueryStream;
import junipercourse.SocketTestSupport;
import junipercourse.StubEngines;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Compares the statistics at the second address, exactly, with what scripted engines and clients
 * counted.
 */
class AdminStatisticsTest {
    private static final List<String> CLASSES = List.of("check", "load");

    /** The outcome of a query, by the thousands of its number. */
    private static final int SUCCEEDS = 0;

    private static final int FAILS = 1;
    private static final int AT_CAPACITY = 2;
    private static final int BREAKS_ONCE = 3;
    private static final int HELD = 4;
    private static final int QUERIES_PER_OUTCOME = 4;

    /** Numbers of the second class's queries start here. */
    private static final int SECOND_CLASS_OFFSET = 500;

    @TempDir private Path folder;
    private final Set<String> brokenOnce = ConcurrentHashMap.newKeySet();
    private volatile boolean released;

    private String answer(String call) {
        boolean isPost = call.startsWith("POST");
        String id = StubEngines.queryId(call);
        if (call.startsWith("DELETE")) {
            return SocketTestSupport.CANCELLED;
        }
        return switch (Integer.parseInt(id, 16) / 1000) {
            case FAILS -> SocketTestSupport.FAILED;
            case AT_CAPACITY -> SocketTestSupport.AT_CAPACITY;
            case BREAKS_ONCE ->
                    brokenOnce.add(id) ? SocketTestSupport.CLOSE_CONNECTION : SocketTestSupport.OK;
            case HELD -> {
                SocketTestSupport.sleepMillis(isPost ? 0 : 100);
                yield released ? SocketTestSupport.OK : SocketTestSupport.RUNNING;
            }
            default -> SocketTestSupport.OK;
        };
    }

    private static JsonObject readStatistics(InheritingProcess process) throws IOException {
        return Json.parse(process.callAdmin("GET /ops/stats").body()).asObject();
    }

    private static JsonObject countsByClass(long... counts) {
        return Json.object().add(CLASSES.get(0), counts[0]).add(CLASSES.get(1), counts[1]);
    }

    /**
     * Waits for the statistics, which may lag, and shows the actual ones if they do not match in
     * time.
     */
    private static void awaitStatistics(JsonObject expected, InheritingProcess process)
            throws IOException {
        long deadlineNanos = System.nanoTime() + 5_000_000_000L;
        while (!readStatistics(process).equals(expected) && System.nanoTime() < deadlineNanos) {
            SocketTestSupport.sleepMillis(20);
        }
        assertEquals(expected.toString(), readStatistics(process).toString());
    }

    @Test
    void statisticsMatchEnginesAndClients() throws Exception {
        try (ListeningSocketHolder listener = new ListeningSocketHolder(folder);
                StubEngines engines = new StubEngines(3, this::answer)) {
            listener.writeConfig(
                    engines.dispatcherConfig()
                            .replace("\"key_scope\":\"all\"", "\"key_scope\":\"zone\""));
            InheritingProcess process = listener.start().awaitReady();
            JsonObject zeroCounts = countsByClass(0, 0);
            JsonObject expected =
                    Json.object()
                            .add("passed", zeroCounts)
                            .add("dropped", zeroCounts)
                            .add("bad_gateway", zeroCounts)
                            .add("upstream_tries", zeroCounts)
                            .add("in_progress", 0)
                            .add("known_engines", 3)
                            .add("skipped_engines", 0);
            awaitStatistics(expected, process);
            assertEquals(200, process.callAdmin("POST /ops/engines/down/s-00000002").status());
            awaitStatistics(expected.set("skipped_engines", 1), process);
            long[] passed = new long[2];
            List<Client> heldClients = new ArrayList<>();
            for (int i = 0; i < QUERIES_PER_OUTCOME; i++) {
                Client client = new Client(listener.address()).startSession();
                client.write(Client.queryMessage(query(HELD, i % 2, i)));
                heldClients.add(client);
                passed[i % 2]++;
            }
            SocketTestSupport.await(() -> engines.countAttempts("") == QUERIES_PER_OUTCOME);
            awaitStatistics(
                    expected.set("in_progress", QUERIES_PER_OUTCOME)
                            .set("upstream_tries", countAttempts(engines)),
                    process);
            released = true;
            for (Client client : heldClients) {
                assertEquals(QueryStream.EXPECTED_ANSWER, client.readAnswer());
                client.close();
            }
            awaitStatistics(
                    expected.set("in_progress", 0).set("passed", countsByClass(passed)), process);
            assertEquals(200, process.callAdmin("POST /ops/engines/up/s-00000002").status());
            awaitStatistics(expected.set("skipped_engines", 0), process);
            engines.get(3).stopAccepting(); // an attempt at it writes nothing
            long[] dropped = new long[2];
            long[] failed = new long[2];
            try (Client client = new Client(listener.address()).startSession()) {
                for (int i = 0; i < QUERIES_PER_OUTCOME * HELD; i++) {
                    String answer = client.query(query(i / 2 % HELD, i % 2, i));
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
                    "not every outcome occurred: "
                            + countsByClass(passed)
                            + countsByClass(dropped)
                            + countsByClass(failed));
            expected.set("passed", countsByClass(passed))
                    .set("dropped", countsByClass(dropped))
                    .set("bad_gateway", countsByClass(failed))
                    .set("upstream_tries", countAttempts(engines));
            awaitStatistics(
                    expected.set("skipped_engines", readStatistics(process).get("skipped_engines")),
                    process);
        }
    }

    private static String query(int outcome, int queryClass, int number) {
        return SocketTestSupport.query(
                        CLASSES.get(queryClass),
                        outcome * 1000 + queryClass * SECOND_CLASS_OFFSET + number,
                        outcome == AT_CAPACITY ? 500 : 5000)
                .replace("00000000000000aa", "%016x".formatted(number));
    }

    /** The attempts that engines have read completely, by the class in the query's number. */
    private static JsonObject countAttempts(StubEngines engines) {
        long[] attempts = new long[2];
        for (int i = 1; i <= 3; i++) {
            for (String call : engines.get(i).calls) {
                if (call.startsWith("POST")) {
                    attempts[
                            Integer.parseInt(StubEngines.queryId(call), 16)
                                    % 1000
                                    / SECOND_CLASS_OFFSET]++;
                }
            }
        }
        return countsByClass(attempts);
    }
}
