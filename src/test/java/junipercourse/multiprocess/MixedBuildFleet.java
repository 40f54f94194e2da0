package junipercourse.multiprocess;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A fleet of three dispatchers of two builds must behave like a fleet of one build. It is not part
 * of the build, since it needs the jar of another one:
 *
 * <pre>mvn test -Dtest=MixedBuildFleet -Dother.jar=PATH</pre>
 */
class MixedBuildFleet {
    private static final long SEED = 43;
    private static final int MEMBERS = 3;
    private static final int DATAGRAMS = 100;
    private static final int TERMINATION_SECONDS = 4;

    /** Reasons to drop a datagram that this build or the other one could not read. */
    private static final List<String> MALFORMED =
            List.of("damaged", "too_long", "other_fleet", "newer_format", "unreadable");

    @TempDir private Path folder;

    private static void start(DispatcherCluster cluster, int member, int membersOfThisBuild)
            throws IOException {
        cluster.start(member, member < membersOfThisBuild ? "" : OtherBuild.command());
    }

    private static Set<Integer> without(DispatcherCluster cluster, Integer member) {
        Set<Integer> others = new HashSet<>(cluster.all());
        others.remove(member);
        return others;
    }

    private static void dropsNoDatagramAsMalformed(DispatcherCluster cluster) {
        for (int member : cluster.all()) {
            for (String reason : MALFORMED) {
                assertEquals(
                        0, cluster.look(member).count("dropped." + reason), member + " " + reason);
            }
        }
    }

    private static void exchangesDatagrams(DispatcherCluster cluster) {
        long[] before =
                cluster.all().stream()
                        .mapToLong(member -> cluster.look(member).count("link.in"))
                        .toArray();
        cluster.until(
                "datagrams are exchanged",
                cluster.all(),
                look -> look.count("link.in") > before[look.observer()] + DATAGRAMS);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2})
    void agreesOnOneViewAndSeesMembersLeaveAndFail(int membersOfThisBuild) throws Exception {
        try (DispatcherCluster cluster = new DispatcherCluster(folder, MEMBERS, SEED)) {
            for (int member = 0; member < MEMBERS; member++) {
                start(cluster, member, membersOfThisBuild);
            }
            cluster.untilSettled("two builds agree on one view", cluster.all());
            exchangesDatagrams(cluster);
            dropsNoDatagramAsMalformed(cluster);
            for (int member = 0; member < MEMBERS; member++) {
                String name = DispatcherCluster.name(member);
                cluster.process(member).signal("TERM");
                cluster.until(
                        name + " has left",
                        without(cluster, member),
                        look -> look.sees(name, "left"));
                assertTrue(
                        cluster.process(member).exitsWithin(TERMINATION_SECONDS),
                        cluster.process(member).log());
                cluster.gone(member);
                start(cluster, member, membersOfThisBuild);
                cluster.untilSettled(name + " is back", cluster.all());
            }
            for (int member : List.of(0, MEMBERS - 1)) {
                String name = DispatcherCluster.name(member);
                cluster.kill(member);
                cluster.until(
                        name + " is unreachable",
                        without(cluster, member),
                        look -> look.sees(name, "unreachable"));
                start(cluster, member, membersOfThisBuild);
                cluster.untilSettled(name + " is back", cluster.all());
            }
            exchangesDatagrams(cluster);
            dropsNoDatagramAsMalformed(cluster);
            assertEquals(List.of(), cluster.unserved());
            assertEquals(List.of(), InvariantChecker.faults(cluster.history()));
        }
    }
}
