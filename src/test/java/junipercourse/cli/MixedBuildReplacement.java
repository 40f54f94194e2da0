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
 * another one:
 *
 * <pre>mvn test -Dtest=MixedBuildReplacement -Dother.jar=PATH</pre>
 */
class MixedBuildReplacement {
    private static final int REPLACEMENTS = 8;

    /** Queries of one replacement that may end at the door (DAYS). */
    private static final int FREE_AT_THE_DOOR = 2;

    private static final int QUERIES = 10;
    private static final int FAST_ANSWER_MILLIS = 20;
    private static final int SLOW_ANSWER_MILLIS = 250;
    private static final String DOWN = "POST /ops/engines/down/s-00000001";
    private static final String UP = "POST /ops/engines/up/s-00000001";
    @TempDir private Path folder;
    private ListeningSocketHolder held;
    private QueryStream stream;
    private StubEngines engines;

    @BeforeEach
    void start() throws IOException {
        held = new ListeningSocketHolder(folder);
        stream = new QueryStream(held.address());
        engines = new StubEngines(3, stream.detectDuplicates(MixedBuildReplacement::answer));
        held.writeConfig(engines.dispatcherConfig());
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
    void end() throws IOException {
        stream.close();
        held.close();
        engines.close();
    }

    private InheritingProcess startThisBuild() throws IOException {
        return held.start().awaitReady();
    }

    private InheritingProcess startOtherBuild() throws IOException {
        return held.start(OtherBuild.command(), Map.of()).awaitReady();
    }

    @Test
    void replacementsBetweenTwoBuildsLoseNoQuery() throws Exception {
        InheritingProcess old = startOtherBuild();
        stream.start();
        int lostBefore = 0;
        for (int i = 0; i < REPLACEMENTS; i++) {
            InheritingProcess next = i % 2 == 0 ? startThisBuild() : startOtherBuild();
            stream.awaitServed(QUERIES);
            old.signal("TERM");
            assertEquals(128 + 15, old.awaitExitCode(), old.log());
            assertFalse(old.log().contains("ERROR"), old.log());
            stream.awaitServed(QUERIES);
            int lost = stream.notAdmitted.size();
            assertTrue(lost - lostBefore <= FREE_AT_THE_DOOR, () -> "lost: " + stream.notAdmitted);
            lostBefore = lost;
            old = next;
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
                        + " sent on, at the door "
                        + stream.notAdmitted.size());
    }

    private static void skipsEngines(int count, InheritingProcess... programs) {
        for (InheritingProcess program : programs) {
            program.awaitAnswer(
                    "GET /ops/stats",
                    answer ->
                            Json.parse(answer.body()).asObject().getInt("skipped_engines", -1)
                                    == count);
        }
    }

    /** An engine that one build puts into maintenance mode is in it for the other build too. */
    @Test
    void maintenanceMarkersOfOneBuildAreReadByTheOther() throws Exception {
        InheritingProcess other = startOtherBuild();
        InheritingProcess current = startThisBuild();
        stream.start();
        stream.awaitServed(QUERIES);
        assertEquals(200, other.callAdmin(DOWN).status());
        skipsEngines(1, other, current);
        assertEquals(200, current.callAdmin(UP).status());
        skipsEngines(0, other, current);
        assertEquals(200, current.callAdmin(DOWN).status());
        skipsEngines(1, other, current);
        other.signal("KILL");
        current.signal("KILL");
        other.awaitExitCode();
        current.awaitExitCode();
        InheritingProcess otherAgain = startOtherBuild();
        InheritingProcess currentAgain = startThisBuild();
        skipsEngines(1, otherAgain, currentAgain);
        assertEquals(200, otherAgain.callAdmin(UP).status());
        skipsEngines(0, otherAgain, currentAgain);
    }
}
