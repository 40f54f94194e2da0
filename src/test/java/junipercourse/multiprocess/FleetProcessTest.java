package junipercourse.multiprocess;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.CodedOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.zip.CRC32C;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Five dispatcher processes with network and process faults. The cluster converges again after each
 * test.
 */
class FleetProcessTest {
    private static final long SEED = Long.getLong("rig.seed", 28);
    @TempDir private static Path folder;
    private static DispatcherCluster cluster;
    private double startSeconds;
    private int[] answeredBefore;

    @BeforeAll
    static void startAllAtOnce() throws IOException {
        cluster = new DispatcherCluster(folder, 5, SEED);
        for (int i = 0; i < cluster.memberCount; i++) {
            cluster.start(i);
        }
        cluster.awaitConverged("five members started at once converge", cluster.allMembers());
    }

    @BeforeEach
    void recordStart() {
        startSeconds = DispatcherCluster.nowSeconds();
        answeredBefore = cluster.allMembers().stream().mapToInt(cluster::answeredQueries).toArray();
    }

    /**
     * After each test, all members converge, each has answered queries during the test, and the
     * history violates no invariant.
     */
    @AfterEach
    void verifyRecovery() {
        cluster.proxy.setAllFaults(FaultInjectingProxy.Fault.NONE);
        cluster.awaitConverged("all members converge again", cluster.allMembers());
        for (int i = 0; i < cluster.memberCount; i++) {
            int member = i;
            cluster.awaitAll(
                    "n" + i + " answers queries",
                    Set.of(i),
                    observation -> cluster.answeredQueries(member) > answeredBefore[member]);
        }
        assertEquals(List.of(), cluster.failedQueries(), "seed " + SEED);
        assertEquals(List.of(), InvariantChecker.violations(cluster.history()), "seed " + SEED);
    }

    @AfterAll
    static void closeCluster() throws IOException {
        cluster.close();
    }

    private static Set<Integer> membersExcept(Integer member) {
        Set<Integer> others = new HashSet<>(cluster.allMembers());
        others.remove(member);
        return others;
    }

    private void assertNeverUnreachable(Set<Integer> observers, Set<String> members) {
        assertEquals(
                List.of(),
                InvariantChecker.observationsWithStatus(
                        cluster.history(), startSeconds, observers, members, "unreachable"),
                "seed " + SEED);
    }

    /**
     * A killed member is unreachable, not left, since silence does not prove that it ended. Its
     * successor has a higher incarnation.
     */
    @Test
    void killedMemberIsUnreachableAndReturnsWithHigherIncarnation() throws Exception {
        long oldIncarnation = cluster.latestObservation(4).self();
        cluster.kill(4);
        cluster.awaitAll(
                "the killed member is unreachable",
                membersExcept(4),
                observation -> observation.reports("n4", "unreachable"));
        cluster.start(4);
        cluster.awaitConverged("the member has returned", cluster.allMembers());
        cluster.awaitAll(
                "a higher incarnation is seen",
                cluster.allMembers(),
                observation -> observation.members().get("n4").incarnation() > oldIncarnation);
        assertNeverUnreachable(membersExcept(4), cluster.namesExcept(4));
    }

    @Test
    void memberThatShutsDownGracefullyHasLeft() throws Exception {
        cluster.process(3).signal("TERM");
        cluster.awaitAll(
                "n3 has left", membersExcept(3), observation -> observation.reports("n3", "left"));
        assertTrue(cluster.process(3).exitsWithin(4), cluster.process(3).log());
        cluster.markStopped(3);
        cluster.start(3);
        cluster.awaitConverged("the member has returned", cluster.allMembers());
        assertEquals(
                List.of(),
                InvariantChecker.observationsWithStatus(
                        cluster.history(),
                        startSeconds,
                        membersExcept(3),
                        Set.of("n3"),
                        "unreachable"));
    }

    @Test
    void partitionedSidesConvergeAndMergeAfterwards() {
        Set<Integer> minority = Set.of(0, 1);
        Set<Integer> majority = Set.of(2, 3, 4);
        cluster.proxy.partition(List.copyOf(minority), List.copyOf(majority));
        cluster.awaitAll(
                "the minority sees the partition",
                minority,
                observation ->
                        observation.reports("n2", "unreachable")
                                && observation.reports("n3", "unreachable")
                                && observation.reports("n4", "unreachable"));
        cluster.awaitAll(
                "the majority sees the partition",
                majority,
                observation ->
                        observation.reports("n0", "unreachable")
                                && observation.reports("n1", "unreachable"));
        cluster.awaitConverged("the minority converges", minority);
        cluster.awaitConverged("the majority converges", majority);
        cluster.proxy.setAllFaults(FaultInjectingProxy.Fault.NONE);
        cluster.awaitConverged("both sides converge after the partition", cluster.allMembers());
        assertNeverUnreachable(minority, Set.of("n0", "n1"));
        assertNeverUnreachable(majority, Set.of("n2", "n3", "n4"));
    }

    /** A process that was stopped must not take its own stall for silence of the others. */
    @Test
    void stoppedMemberReportsNobodyUnreachableAfterwards() throws Exception {
        long incarnation = cluster.latestObservation(2).self();
        long stallsBefore = cluster.latestObservation(2).count("view.stalls");
        cluster.process(2).signal("STOP");
        cluster.awaitAll(
                "the stopped member is unreachable",
                membersExcept(2),
                observation -> observation.reports("n2", "unreachable"));
        cluster.awaitAll(
                "the member is stopped for 3 s",
                membersExcept(2),
                observation -> observation.atSeconds() > startSeconds + 3);
        cluster.process(2).signal("CONT");
        cluster.awaitConverged("all members converge after the stall", cluster.allMembers());
        cluster.awaitAll(
                "the stall is counted",
                Set.of(2),
                observation -> observation.count("view.stalls") > stallsBefore);
        assertEquals(
                incarnation, cluster.latestObservation(2).self(), "the incarnation stays the same");
        assertNeverUnreachable(cluster.allMembers(), cluster.namesExcept(2));
    }

    /**
     * Waits until each member has sent this many more datagrams, which measures time in protocol
     * activity.
     */
    private void awaitDatagramsSent(String description, int count) {
        long[] sentBefore =
                cluster.allMembers().stream()
                        .mapToLong(i -> cluster.latestObservation(i).count("link.out"))
                        .toArray();
        cluster.awaitAll(
                description,
                cluster.allMembers(),
                observation ->
                        observation.count("link.out") > sentBefore[observation.observer()] + count);
    }

    @Test
    void oneWayCutsMakeNobodyUnreachable() {
        cluster.proxy.setFault(0, 1, FaultInjectingProxy.Fault.CUT);
        cluster.proxy.setFault(3, 2, FaultInjectingProxy.Fault.CUT);
        awaitDatagramsSent("datagrams are sent while two links are cut in one direction", 150);
        assertNeverUnreachable(cluster.allMembers(), cluster.namesExcept());
    }

    @Test
    void lossAndReorderingMakeNobodyUnreachable() {
        cluster.proxy.setAllFaults(FaultInjectingProxy.Fault.UNRELIABLE);
        awaitDatagramsSent("datagrams are sent with 30% lost, 10% duplicated, all reordered", 300);
        assertNeverUnreachable(cluster.allMembers(), cluster.namesExcept());
    }

    /** Returns a datagram of this fleet and version with a valid checksum and no message. */
    private static byte[] datagram(String fleet, int major) throws IOException {
        byte[] body = new byte[fleet.length() + 4];
        CodedOutputStream out = CodedOutputStream.newInstance(body);
        out.writeString(1, fleet);
        out.writeUInt32(2, major);
        CRC32C crc = new CRC32C();
        crc.update(body);
        return ByteBuffer.allocate(4 + body.length).putInt((int) crc.getValue()).put(body).array();
    }

    @Test
    void foreignAndMalformedDatagramsAreCountedAndChangeNothing() throws Exception {
        String digest = cluster.latestObservation(1).valuesByName().get("view.digest");
        FleetObservation before = cluster.latestObservation(1);
        for (int round = 1;
                round <= 5;
                round++) { // few at a time, so that the socket's buffer holds them
            for (int i = 0; i < 10; i++) {
                cluster.proxy.sendFromUnknownAddress(
                        1,
                        new byte[] {1, 2, 3, (byte) i, 5},
                        new byte[1500],
                        datagram("other", 1),
                        datagram("rig", 2),
                        datagram("rig", 1));
            }
            int datagramsPerReason = round * 10;
            cluster.awaitAll(
                    "all dropped datagrams are counted",
                    Set.of(1),
                    observation ->
                            List.of(
                                            "damaged",
                                            "too_long",
                                            "other_fleet",
                                            "newer_format",
                                            "unreadable")
                                    .stream()
                                    .allMatch(
                                            reason ->
                                                    observation.count("dropped." + reason)
                                                            >= before.count("dropped." + reason)
                                                                    + datagramsPerReason));
        }
        for (int i = 0;
                i < 200 && cluster.latestObservation(1).count("dropped.too_many") == 0;
                i++) {
            for (int j = 0; j < 100; j++) {
                cluster.proxy.sendFromUnknownAddress(1, new byte[] {9});
            }
        }
        cluster.awaitAll(
                "a flood is rate limited",
                Set.of(1),
                observation -> observation.count("dropped.too_many") > 0);
        awaitDatagramsSent("datagrams are still sent", 20);
        assertNeverUnreachable(cluster.allMembers(), cluster.namesExcept());
        assertEquals(digest, cluster.latestObservation(1).valuesByName().get("view.digest"));
        assertFalse(
                cluster.latestObservation(1).valuesByName().get("view.state").contains("failed"));
    }
}
