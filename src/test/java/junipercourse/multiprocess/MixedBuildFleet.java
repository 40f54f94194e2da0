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

    private static Set<Integer> membersExcept(DispatcherCluster cluster, Integer member) {
        Set<Integer> others = new HashSet<>(cluster.allMembers());
        others.remove(member);
        return others;
    }

    private static void dropsNoDatagramAsMalformed(DispatcherCluster cluster) {
        for (int member : cluster.allMembers()) {
            for (String reason : MALFORMED) {
                assertEquals(
                        0,
                        cluster.latestObservation(member).count("dropped." + reason),
                        member + " " + reason);
            }
        }
    }

    private static void exchangesDatagrams(DispatcherCluster cluster) {
        long[] before =
                cluster.allMembers().stream()
                        .mapToLong(member -> cluster.latestObservation(member).count("link.in"))
                        .toArray();
        cluster.awaitAll(
                "datagrams are exchanged",
                cluster.allMembers(),
                observation ->
                        observation.count("link.in") > before[observation.observer()] + DATAGRAMS);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2})
    void agreesOnOneViewAndSeesMembersLeaveAndFail(int membersOfThisBuild) throws Exception {
        try (DispatcherCluster cluster = new DispatcherCluster(folder, MEMBERS, SEED)) {
            for (int member = 0; member < MEMBERS; member++) {
                start(cluster, member, membersOfThisBuild);
            }
            cluster.awaitConverged("two builds agree on one view", cluster.allMembers());
            exchangesDatagrams(cluster);
            dropsNoDatagramAsMalformed(cluster);
            for (int member = 0; member < MEMBERS; member++) {
                String name = DispatcherCluster.memberName(member);
                cluster.process(member).signal("TERM");
                cluster.awaitAll(
                        name + " has left",
                        membersExcept(cluster, member),
                        observation -> observation.reports(name, "left"));
                assertTrue(
                        cluster.process(member).exitsWithin(TERMINATION_SECONDS),
                        cluster.process(member).log());
                cluster.markStopped(member);
                start(cluster, member, membersOfThisBuild);
                cluster.awaitConverged(name + " is back", cluster.allMembers());
            }
            for (int member : List.of(0, MEMBERS - 1)) {
                String name = DispatcherCluster.memberName(member);
                cluster.kill(member);
                cluster.awaitAll(
                        name + " is unreachable",
                        membersExcept(cluster, member),
                        observation -> observation.reports(name, "unreachable"));
                start(cluster, member, membersOfThisBuild);
                cluster.awaitConverged(name + " is back", cluster.allMembers());
            }
            exchangesDatagrams(cluster);
            dropsNoDatagramAsMalformed(cluster);
            assertEquals(List.of(), cluster.failedQueries());
            assertEquals(List.of(), InvariantChecker.violations(cluster.history()));
        }
    }
}
