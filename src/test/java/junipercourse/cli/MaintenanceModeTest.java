package junipercourse.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import junipercourse.ListeningSocketHolder;
import junipercourse.ListeningSocketHolder.HttpAnswer;
import junipercourse.ListeningSocketHolder.InheritingProcess;
import junipercourse.QueryStream;
import junipercourse.SocketTestSupport;
import junipercourse.StubEngines;
import junipercourse.config.Config;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Puts engines into maintenance mode with two processes side by side, after both are killed, and
 * with lost files.
 */
class MaintenanceModeTest {
    private static final String DOWN = "POST /ops/engines/down/s-00000001";
    private static final String UP = "POST /ops/engines/up/s-00000001";
    private static final int QUERIES = 30;
    @TempDir private Path folder;
    private ListeningSocketHolder listener;
    private QueryStream stream;
    private StubEngines engines;

    @BeforeEach
    void start() throws IOException {
        listener = new ListeningSocketHolder(folder);
        stream = new QueryStream(listener.address());
        engines =
                new StubEngines(
                        3,
                        stream.detectDuplicates(
                                call ->
                                        call.startsWith("DELETE")
                                                ? SocketTestSupport.CANCELLED
                                                : SocketTestSupport.OK));
        listener.writeConfig(engines.dispatcherConfig());
    }

    @AfterEach
    void tearDown() throws IOException {
        stream.close();
        listener.close();
        engines.close();
    }

    private static JsonObject parseStatistics(HttpAnswer answer) {
        return Json.parse(answer.body()).asObject();
    }

    private static void awaitSkippedEngines(InheritingProcess process, int count) {
        process.awaitAnswer(
                "GET /ops/stats",
                answer -> parseStatistics(answer).getInt("skipped_engines", -1) == count);
    }

    /** Waits until the process has served some more queries. */
    private static void awaitServed(InheritingProcess process) throws IOException {
        int countBefore = countServed(process.callAdmin("GET /ops/stats"));
        process.awaitAnswer(
                "GET /ops/stats", answer -> countServed(answer) >= countBefore + QUERIES / 3);
    }

    private static int countServed(HttpAnswer answer) {
        JsonObject passed = parseStatistics(answer).get("passed").asObject();
        return passed.getInt("check", 0) + passed.getInt("load", 0);
    }

    private long countAttemptsAtFirstEngine() {
        return engines.get(1).countCalls("POST");
    }

    private void awaitFirstEngineInUse() {
        long countBefore = countAttemptsAtFirstEngine();
        SocketTestSupport.await(
                () -> countAttemptsAtFirstEngine() > countBefore); // due 5 s after maintenance ends
    }

    /** Checks that no query reaches the first engine while each process serves. */
    private void checkFirstEngineIsSkipped(InheritingProcess... processes) throws IOException {
        for (InheritingProcess process : processes) {
            awaitSkippedEngines(process, 1);
        }
        stream.awaitServed(QUERIES); // queries sent to it before have been read by now
        long countBefore = countAttemptsAtFirstEngine();
        for (InheritingProcess process : processes) {
            awaitServed(process);
        }
        stream.awaitServed(QUERIES);
        assertEquals(countBefore, countAttemptsAtFirstEngine());
    }

    /**
     * Maintenance started at one process applies to all, now and after a restart, until one process
     * ends it.
     */
    @Test
    void maintenanceAppliesToAllProcessesAndSurvivesRestart() throws Exception {
        InheritingProcess oldProcess = listener.start().awaitReady();
        stream.start();
        InheritingProcess newProcess = listener.start().awaitReady();
        awaitFirstEngineInUse();
        assertEquals(404, oldProcess.callAdmin("POST /ops/engines/down/s-0000ffff").status());
        assertEquals(404, oldProcess.callAdmin("POST /ops/engines/down/engine").status());
        assertEquals(404, oldProcess.callAdmin("POST /ops/engines/up/s-0000ffff").status());
        assertEquals(200, oldProcess.callAdmin(DOWN).status());
        assertEquals(200, oldProcess.callAdmin(DOWN).status(), "the second call has no effect");
        checkFirstEngineIsSkipped(oldProcess, newProcess);
        assertEquals(200, newProcess.callAdmin(UP).status());
        awaitSkippedEngines(oldProcess, 0);
        awaitSkippedEngines(newProcess, 0);
        awaitFirstEngineInUse();
        assertEquals(200, newProcess.callAdmin(DOWN).status());
        checkFirstEngineIsSkipped(oldProcess, newProcess);
        oldProcess.signal("KILL");
        newProcess.signal("KILL");
        oldProcess.awaitExitCode();
        newProcess.awaitExitCode();
        InheritingProcess restarted = listener.start().awaitReady();
        checkFirstEngineIsSkipped(restarted);
        assertEquals(200, restarted.callAdmin(UP).status());
        awaitSkippedEngines(restarted, 0);
        awaitFirstEngineInUse();
    }

    /**
     * A marker that cannot be written or removed is answered with 503, and maintenance stays as it
     * was. A foreign file is only logged.
     */
    @Test
    void failedMarkerChangeReturns503AndKeepsMaintenance() throws Exception {
        Path markers =
                Files.createDirectories(
                        listener.tempFolder()
                                .resolve(
                                        "junipercourse-out-n1-127.0.0.1-"
                                                + listener.address().getPort()));
        Files.writeString(markers.resolve("s-1.tmp"), "s-00000002");
        InheritingProcess process = listener.start().awaitReady();
        stream.start();
        assertTrue(process.log().contains("s-1.tmp, which names no engine"), process.log());
        assertEquals(200, process.callAdmin(DOWN).status());
        checkFirstEngineIsSkipped(process);
        Files.delete(markers.resolve("s-1.tmp"));
        Files.delete(markers.resolve("s-00000001"));
        awaitSkippedEngines(process, 0); // the marker file decides
        assertEquals(200, process.callAdmin(DOWN).status());
        Path moved = folder.resolve("moved");
        Files.move(markers, moved);
        assertEquals(503, process.callAdmin("POST /ops/engines/down/s-00000002").status());
        assertEquals(503, process.callAdmin(UP).status());
        Files.createFile(markers);
        assertEquals(503, process.callAdmin("POST /ops/engines/down/s-00000002").status());
        assertEquals(503, process.callAdmin(UP).status());
        checkFirstEngineIsSkipped(process);
        Files.delete(markers);
        Files.move(moved, markers);
        assertEquals(200, process.callAdmin(UP).status());
        awaitSkippedEngines(process, 0);
        awaitFirstEngineInUse();
        assertEquals(1, process.log().split("NotDirectoryException", -1).length - 1, process.log());
    }

    /** Two dispatchers of the same name share {@code $TMPDIR}: neither reads the other's files. */
    @Test
    void dispatchersAtDifferentAddressesShareNoState() throws Exception {
        try (ListeningSocketHolder otherListener =
                new ListeningSocketHolder(folder.resolve("other"))) {
            otherListener.writeConfig(engines.dispatcherConfig());
            InheritingProcess firstProcess = listener.start().awaitReady();
            assertEquals(200, firstProcess.callAdmin(DOWN).status());
            awaitSkippedEngines(firstProcess, 1);
            InheritingProcess secondProcess =
                    otherListener
                            .start("", Map.of("TMPDIR", listener.tempFolder().toString()))
                            .awaitReady();
            assertEquals(
                    0,
                    parseStatistics(secondProcess.callAdmin("GET /ops/stats"))
                            .getInt("skipped_engines", -1),
                    secondProcess.log());
            assertEquals(200, secondProcess.callAdmin(UP).status());
            assertTrue(
                    Files.exists(
                            listener.tempFolder()
                                    .resolve(
                                            "junipercourse-out-n1-127.0.0.1-"
                                                    + listener.address().getPort()
                                                    + "/s-00000001")),
                    "the first dispatcher's marker was removed");
            for (InheritingProcess process : List.of(firstProcess, secondProcess)) {
                assertFalse(
                        process.log().contains("another process of this dispatcher runs"),
                        process.log());
            }
        }
    }

    /** Names and addresses that differ, but that a path might map to the same folder. */
    @Test
    void foldersDifferByNameAndAddress() {
        Set<Path> folders = new HashSet<>();
        List<String> names =
                List.of("n1", "n/1", "n_1", "n 1", "n+1", "n%2F1", "n1-127.0.0.1", "é", "_");
        List<String> addresses =
                List.of("127.0.0.1:7001", "127.0.0.1:7002", "127.0.0.2:7001", "[::1]:7001");
        for (String name : names) {
            for (String address : addresses) {
                Config config =
                        Config.parse(
                                SocketTestSupport.CONFIG,
                                Map.of("RELAY_NAME", name, "RELAY_LISTEN", address));
                folders.add(HandoverCoordinator.resolveFolder(config, "out"));
                folders.add(HandoverCoordinator.resolveFolder(config, "processes"));
            }
        }
        assertEquals(2 * names.size() * addresses.size(), folders.size(), folders::toString);
    }
}
