package junipercourse.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.eclipsesource.json.Json;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import junipercourse.ListeningSocketHolder;
import junipercourse.ListeningSocketHolder.InheritingProcess;
import junipercourse.QueryStream;
import junipercourse.SocketTestSupport;
import junipercourse.StubEngines;
import junipercourse.multiprocess.OtherBuild;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * A process of one build replaces a process of another build on one listening socket, and each
 * reads the files that the other one wrote. It is not part of the build, since it needs the jar of
 * another build:
 *
 * <pre>mvn test -Dtest=MixedBuildReplacement -Dother.jar=PATH</pre>
 */
class MixedBuildReplacement {
    private static final int REPLACEMENTS = 8;

    /** Maximum of queries that one replacement may lose before they are admitted. */
    private static final int MAX_NOT_ADMITTED = 2;

    private static final int QUERIES = 10;
    private static final int FAST_ANSWER_MILLIS = 20;
    private static final int SLOW_ANSWER_MILLIS = 250;
    private static final String DOWN = "POST /ops/engines/down/s-00000001";
    private static final String UP = "POST /ops/engines/up/s-00000001";
    @TempDir private Path folder;
    private ListeningSocketHolder listener;
    private QueryStream stream;
    private StubEngines engines;

    @BeforeEach
    void start() throws IOException {
        listener = new ListeningSocketHolder(folder);
        stream = new QueryStream(listener.address());
        engines = new StubEngines(3, stream.detectDuplicates(MixedBuildReplacement::answer));
        listener.writeConfig(engines.dispatcherConfig());
    }

    private static String answer(String call) {
        if (call.startsWith("DELETE")) {
            return SocketTestSupport.CANCELLED;
        }
        SocketTestSupport.sleepMillis(
                call.matches(".*[0-9ab]") ? FAST_ANSWER_MILLIS : SLOW_ANSWER_MILLIS);
        return SocketTestSupport.OK;
    }

    @AfterEach
    void tearDown() throws IOException {
        stream.close();
        listener.close();
        engines.close();
    }

    private InheritingProcess startThisBuild() throws IOException {
        return listener.start().awaitReady();
    }

    private InheritingProcess startOtherBuild() throws IOException {
        return listener.start(OtherBuild.command(), Map.of()).awaitReady();
    }

    @Test
    void replacementsBetweenTwoBuildsLoseNoQuery() throws Exception {
        InheritingProcess oldProcess = startOtherBuild();
        stream.start();
        int lostBefore = 0;
        for (int i = 0; i < REPLACEMENTS; i++) {
            InheritingProcess newProcess = i % 2 == 0 ? startThisBuild() : startOtherBuild();
            stream.awaitServed(QUERIES);
            oldProcess.signal("TERM");
            assertEquals(128 + 15, oldProcess.awaitExitCode(), oldProcess.log());
            assertFalse(oldProcess.log().contains("ERROR"), oldProcess.log());
            stream.awaitServed(QUERIES);
            int lost = stream.notAdmitted.size();
            assertTrue(lost - lostBefore <= MAX_NOT_ADMITTED, () -> "lost: " + stream.notAdmitted);
            lostBefore = lost;
            oldProcess = newProcess;
        }
        stream.close();
        assertEquals(List.of(), stream.duplicateAttempts);
        assertEquals(
                List.of(),
                stream.unexpectedAnswers,
                () -> "engine calls: " + engines.callsFor(stream.unexpectedAnswers));
        System.out.println(
                REPLACEMENTS
                        + " replacements between two builds: "
                        + stream.served
                        + " served, "
                        + stream.redirected
                        + " redirected, not admitted "
                        + stream.notAdmitted.size());
    }

    private static void awaitSkippedEngines(int count, InheritingProcess... processes) {
        for (InheritingProcess process : processes) {
            process.awaitAnswer(
                    "GET /ops/stats",
                    answer ->
                            Json.parse(answer.body()).asObject().getInt("skipped_engines", -1)
                                    == count);
        }
    }

    /** An engine that one build puts into maintenance mode is in it for the other build too. */
    @Test
    void maintenanceMarkersOfOneBuildAreReadByTheOther() throws Exception {
        InheritingProcess otherBuild = startOtherBuild();
        InheritingProcess currentBuild = startThisBuild();
        stream.start();
        stream.awaitServed(QUERIES);
        assertEquals(200, otherBuild.callAdmin(DOWN).status());
        awaitSkippedEngines(1, otherBuild, currentBuild);
        assertEquals(200, currentBuild.callAdmin(UP).status());
        awaitSkippedEngines(0, otherBuild, currentBuild);
        assertEquals(200, currentBuild.callAdmin(DOWN).status());
        awaitSkippedEngines(1, otherBuild, currentBuild);
        otherBuild.signal("KILL");
        currentBuild.signal("KILL");
        otherBuild.awaitExitCode();
        currentBuild.awaitExitCode();
        InheritingProcess otherRestarted = startOtherBuild();
        InheritingProcess currentRestarted = startThisBuild();
        awaitSkippedEngines(1, otherRestarted, currentRestarted);
        assertEquals(200, otherRestarted.callAdmin(UP).status());
        awaitSkippedEngines(0, otherRestarted, currentRestarted);
    }
}
