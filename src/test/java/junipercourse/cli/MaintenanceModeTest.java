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
 * Engines taken out by hand, with two processes beside each other, after both are killed, and files
 * lost.
 */
class MaintenanceModeTest {
    private static final String DOWN = "POST /ops/engines/down/s-00000001";
    private static final String UP = "POST /ops/engines/up/s-00000001";
    private static final int SOME = 30;
    @TempDir private Path folder;
    private ListeningSocketHolder held;
    private QueryStream stream;
    private StubEngines engines;

    @BeforeEach
    void start() throws IOException {
        held = new ListeningSocketHolder(folder);
        stream = new QueryStream(held.address());
        engines =
                new StubEngines(
                        3,
                        stream.detectDuplicates(
                                call ->
                                        call.startsWith("DELETE")
                                                ? SocketTestSupport.CANCELLED
                                                : SocketTestSupport.OK));
        held.writeConfig(engines.dispatcherConfig());
    }

    @AfterEach
    void end() throws IOException {
        stream.close();
        held.close();
        engines.close();
    }

    private static JsonObject stats(HttpAnswer a) {
        return Json.parse(a.body()).asObject();
    }

    private static void skips(InheritingProcess p, int engines) {
        p.awaitAnswer("GET /ops/stats", a -> stats(a).getInt("skipped_engines", -1) == engines);
    }

    /** Waits until it has served some more. */
    private static void serves(InheritingProcess p) throws IOException {
        int before = served(p.callAdmin("GET /ops/stats"));
        p.awaitAnswer("GET /ops/stats", a -> served(a) >= before + SOME / 3);
    }

    private static int served(HttpAnswer a) {
        JsonObject passed = stats(a).get("passed").asObject();
        return passed.getInt("check", 0) + passed.getInt("load", 0);
    }

    private long atTheFirst() {
        return engines.get(1).countCalls("POST");
    }

    private void isInUse() {
        long before = atTheFirst();
        SocketTestSupport.await(() -> atTheFirst() > before); // due 5 s after it is put back
    }

    /** Nothing goes to the first engine while each of the processes serves. */
    private void isOut(InheritingProcess... all) throws IOException {
        for (InheritingProcess p : all) {
            skips(p, 1);
        }
        stream.awaitServed(SOME); // what was written to it before is read by now
        long before = atTheFirst();
        for (InheritingProcess p : all) {
            serves(p);
        }
        stream.awaitServed(SOME);
        assertEquals(before, atTheFirst());
    }

    /** An order to one process is all processes', now and later, until one order back. */
    @Test
    void ordersHoldForBothProcessesAndOutliveThem() throws Exception {
        InheritingProcess old = held.start().awaitReady();
        stream.start();
        InheritingProcess next = held.start().awaitReady();
        isInUse();
        assertEquals(404, old.callAdmin("POST /ops/engines/down/s-0000ffff").status());
        assertEquals(404, old.callAdmin("POST /ops/engines/down/engine").status());
        assertEquals(404, old.callAdmin("POST /ops/engines/up/s-0000ffff").status());
        assertEquals(200, old.callAdmin(DOWN).status());
        assertEquals(200, old.callAdmin(DOWN).status(), "twice is once");
        isOut(old, next);
        assertEquals(200, next.callAdmin(UP).status());
        skips(old, 0);
        skips(next, 0);
        isInUse();
        assertEquals(200, next.callAdmin(DOWN).status());
        isOut(old, next);
        old.signal("KILL");
        next.signal("KILL");
        old.awaitExitCode();
        next.awaitExitCode();
        InheritingProcess afresh = held.start().awaitReady();
        isOut(afresh);
        assertEquals(200, afresh.callAdmin(UP).status());
        skips(afresh, 0);
        isInUse();
    }

    /**
     * What cannot be kept is told as a no, and what was out stays out; a strange file is named
     * only.
     */
    @Test
    void whatCannotBeKeptIsNotPromised() throws Exception {
        Path orders =
                Files.createDirectories(
                        held.tempFolder()
                                .resolve(
                                        "junipercourse-out-n1-127.0.0.1-"
                                                + held.address().getPort()));
        Files.writeString(orders.resolve("s-1.tmp"), "s-00000002");
        InheritingProcess p = held.start().awaitReady();
        stream.start();
        assertTrue(p.log().contains("s-1.tmp, which names no engine"), p.log());
        assertEquals(200, p.callAdmin(DOWN).status());
        isOut(p);
        Files.delete(orders.resolve("s-1.tmp"));
        Files.delete(orders.resolve("s-00000001"));
        skips(p, 0); // the file is the order
        assertEquals(200, p.callAdmin(DOWN).status());
        Path moved = folder.resolve("moved");
        Files.move(orders, moved);
        assertEquals(503, p.callAdmin("POST /ops/engines/down/s-00000002").status());
        assertEquals(503, p.callAdmin(UP).status());
        Files.createFile(orders);
        assertEquals(503, p.callAdmin("POST /ops/engines/down/s-00000002").status());
        assertEquals(503, p.callAdmin(UP).status());
        isOut(p);
        Files.delete(orders);
        Files.move(moved, orders);
        assertEquals(200, p.callAdmin(UP).status());
        skips(p, 0);
        isInUse();
        assertEquals(1, p.log().split("NotDirectoryException", -1).length - 1, p.log());
    }

    /**
     * Another customer's dispatcher of the same name in the same {@code $TMPDIR}: neither is the
     * other's.
     */
    @Test
    void aDispatcherAtAnotherAddressHasOrdersAndClaimsOfItsOwn() throws Exception {
        try (ListeningSocketHolder other = new ListeningSocketHolder(folder.resolve("other"))) {
            other.writeConfig(engines.dispatcherConfig());
            InheritingProcess one = held.start().awaitReady();
            assertEquals(200, one.callAdmin(DOWN).status());
            skips(one, 1);
            InheritingProcess two =
                    other.start("", Map.of("TMPDIR", held.tempFolder().toString())).awaitReady();
            assertEquals(
                    0,
                    stats(two.callAdmin("GET /ops/stats")).getInt("skipped_engines", -1),
                    two.log());
            assertEquals(200, two.callAdmin(UP).status());
            assertTrue(
                    Files.exists(
                            held.tempFolder()
                                    .resolve(
                                            "junipercourse-out-n1-127.0.0.1-"
                                                    + held.address().getPort()
                                                    + "/s-00000001")),
                    "the order to the first one stands");
            for (InheritingProcess p : List.of(one, two)) {
                assertFalse(p.log().contains("another process runs"), p.log());
            }
        }
    }

    /** Names and addresses that are not the same, but were or might be once a path has them. */
    @Test
    void noTwoDispatchersHaveOneFolder() {
        Set<Path> folders = new HashSet<>();
        List<String> names =
                List.of("n1", "n/1", "n_1", "n 1", "n+1", "n%2F1", "n1-127.0.0.1", "é", "_");
        List<String> addresses =
                List.of("127.0.0.1:7001", "127.0.0.1:7002", "127.0.0.2:7001", "[::1]:7001");
        for (String name : names) {
            for (String address : addresses) {
                Config c =
                        Config.parse(
                                SocketTestSupport.CONFIG,
                                Map.of("RELAY_NAME", name, "RELAY_LISTEN", address));
                folders.add(HandoverCoordinator.folder(c, "out"));
                folders.add(HandoverCoordinator.folder(c, "processes"));
            }
        }
        assertEquals(2 * names.size() * addresses.size(), folders.size(), folders::toString);
    }
}
