package junipercourse.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.eclipsesource.json.Json;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import junipercourse.Engines;
import junipercourse.InheritedSocket;
import junipercourse.InheritedSocket.Program;
import junipercourse.QueryStream;
import junipercourse.SocketTestSupport;
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
    private InheritedSocket held;
    private QueryStream stream;
    private Engines engines;

    @BeforeEach
    void start() throws IOException {
        held = new InheritedSocket(folder);
        stream = new QueryStream(held.address());
        engines = new Engines(3, stream.watched(MixedBuildReplacement::answer));
        held.configure(engines.config());
    }

    private static String answer(String call) {
        if (call.startsWith("DELETE")) {
            return SocketTestSupport.GIVEN_UP;
        }
        SocketTestSupport.pause(
                call.matches(".*[0-9ab]") ? FAST_ANSWER_MILLIS : SLOW_ANSWER_MILLIS);
        return SocketTestSupport.OK;
    }

    @AfterEach
    void end() throws IOException {
        stream.close();
        held.close();
        engines.close();
    }

    private Program startThisBuild() throws IOException {
        return held.start().ready();
    }

    private Program startOtherBuild() throws IOException {
        return held.start(OtherBuild.command(), Map.of()).ready();
    }

    @Test
    void replacementsBetweenTwoBuildsLoseNoQuery() throws Exception {
        Program old = startOtherBuild();
        stream.start();
        int lostBefore = 0;
        for (int i = 0; i < REPLACEMENTS; i++) {
            Program next = i % 2 == 0 ? startThisBuild() : startOtherBuild();
            stream.more(QUERIES);
            old.signal("TERM");
            assertEquals(128 + 15, old.exitCode(), old.log());
            assertFalse(old.log().contains("ERROR"), old.log());
            stream.more(QUERIES);
            int lost = stream.atTheDoor.size();
            assertTrue(lost - lostBefore <= FREE_AT_THE_DOOR, () -> "lost: " + stream.atTheDoor);
            lostBefore = lost;
            old = next;
        }
        stream.close();
        assertEquals(List.of(), stream.twice);
        assertEquals(
                List.of(),
                stream.unserved,
                () -> "engine calls: " + engines.calls(stream.unserved));
        System.out.println(
                REPLACEMENTS
                        + " replacements between two builds: "
                        + stream.served
                        + " served, "
                        + stream.sentOn
                        + " sent on, at the door "
                        + stream.atTheDoor.size());
    }

    private static void skipsEngines(int count, Program... programs) {
        for (Program program : programs) {
            program.told(
                    "GET /ops/stats",
                    answer ->
                            Json.parse(answer.body()).asObject().getInt("skipped_engines", -1)
                                    == count);
        }
    }

    /** An engine that one build puts into maintenance mode is in it for the other build too. */
    @Test
    void maintenanceMarkersOfOneBuildAreReadByTheOther() throws Exception {
        Program other = startOtherBuild();
        Program current = startThisBuild();
        stream.start();
        stream.more(QUERIES);
        assertEquals(200, other.call(DOWN).status());
        skipsEngines(1, other, current);
        assertEquals(200, current.call(UP).status());
        skipsEngines(0, other, current);
        assertEquals(200, current.call(DOWN).status());
        skipsEngines(1, other, current);
        other.signal("KILL");
        current.signal("KILL");
        other.exitCode();
        current.exitCode();
        Program otherAgain = startOtherBuild();
        Program currentAgain = startThisBuild();
        skipsEngines(1, otherAgain, currentAgain);
        assertEquals(200, otherAgain.call(UP).status());
        skipsEngines(0, otherAgain, currentAgain);
    }
}
