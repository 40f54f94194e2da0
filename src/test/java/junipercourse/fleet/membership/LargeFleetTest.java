package junipercourse.fleet.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import junipercourse.fleet.membership.GossipMessage.Kind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * What limits the cost in fleets of more than some dozens of members, and that verdicts are as well
 * founded there.
 */
class LargeFleetTest {
    private static final int SIZE = 45;

    private static SimulatedNetwork startNetwork(long seed, int size) {
        return new SimulatedNetwork(seed).addFleet(size, 3).startAll(0);
    }

    /** Two regions are partitioned and heal: the members converge and stay within their budgets. */
    @ParameterizedTest
    @CsvSource({"1, 0", "2, 0", "3, 0.05"})
    void partitionAndHealingStayWithinTheBudget(long seed, double loss) {
        SimulatedNetwork network = startNetwork(seed, SIZE);
        network.lossRate = loss;
        network.processes.forEach(process -> process.outgoing.reset());
        List<SimulatedNetwork.Process> firstRegion = network.processes.subList(0, SIZE / 2);
        List<SimulatedNetwork.Process> secondRegion = network.processes.subList(SIZE / 2, SIZE);
        for (SimulatedNetwork.Process inFirst : firstRegion) {
            for (SimulatedNetwork.Process inSecond : secondRegion) {
                network.block(inFirst, inSecond);
                network.block(inSecond, inFirst);
            }
        }
        network.run(60);
        for (SimulatedNetwork.Process process : secondRegion) {
            long present =
                    process.lastSnapshot.members().stream()
                            .filter(each -> each.record().isPresent())
                            .count();
            assertEquals(secondRegion.size(), present, () -> "seed " + seed + " " + process.name);
        }
        network.heal();
        assertFalse(
                Double.isNaN(network.secondsUntilConverged(30)),
                () -> "seed " + seed + " " + network.invariants.findDisagreement());
        assertEquals(List.of(), network.invariants.violations, "seed " + seed);
        assertEquals(List.of(), network.invariants.falseUnreachableReports, "seed " + seed);
        for (SimulatedNetwork.Process process : network.processes) {
            // a second of the simulation has up to 1% more of a member's own clock
            assertTrue(
                    process.outgoing.maxBytesInASecond()
                            <= 1.02 * network.settings.bytesPerSecond(),
                    () ->
                            "seed "
                                    + seed
                                    + " "
                                    + process.name
                                    + " "
                                    + process.outgoing.maxBytesInASecond());
        }
    }

    /**
     * Another member's report makes nobody unreachable: each member probes for itself, and the
     * subject refutes the report.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void anotherMembersReportAloneMakesNobodyUnreachable(long seed) {
        SimulatedNetwork network = startNetwork(seed, SIZE);
        SimulatedNetwork.Process first = network.processes.get(0);
        MemberRecord unreachableRecord =
                PartitionVerdictTest.recordOf(first, "n30").with(MemberStatus.UNREACHABLE);
        MemberRecord falseReporter = PartitionVerdictTest.recordOf(first, "n7");
        for (SimulatedNetwork.Process receiver : network.processes.subList(0, 20)) {
            GossipMessage message =
                    new GossipMessage(
                            "n7",
                            falseReporter.incarnation(),
                            Kind.PING,
                            1,
                            "",
                            7,
                            List.of(falseReporter, unreachableRecord),
                            0,
                            0);
            receiver.protocol.handleMessage(receiver.localTime(), falseReporter.address(), message);
        }
        network.run(10);
        assertEquals(List.of(), network.invariants.falseUnreachableReports, "seed " + seed);
        for (SimulatedNetwork.Process process : network.processes) {
            assertEquals(
                    MemberStatus.ALIVE,
                    PartitionVerdictTest.recordOf(process, "n30").status(),
                    () -> "seed " + seed);
        }
    }

    private static MemberRecord member(int number, String zone) {
        return new MemberRecord(
                "n" + number, 1L << 32, 0, MemberStatus.ALIVE, "10.0.0." + number + ":1", zone);
    }

    /**
     * If two tables differ in one member, or one that was removed, only a few records are
     * exchanged, and that member is among them.
     */
    @Test
    void onlyDifferingRecordsAreExchanged() {
        MemberTable one = new MemberTable(MembershipSettings.defaults());
        MemberTable other = new MemberTable(MembershipSettings.defaults());
        for (int i = 0; i < 200; i++) {
            one.merge(member(i, "z"), 0);
            other.merge(member(i, "z"), 0);
        }
        assertEquals(one.digest(), other.digest());
        assertEquals(List.of(), one.differingRecords(other.membershipDigest().bucketDigests(200)));
        one.merge(member(70, "z").with(MemberStatus.UNREACHABLE), 1);
        assertFewRecordsDiffer(one, other, "n70");
        one.merge(member(70, "z").with(2), 1);
        assertEquals(one.digest(), other.digest(), "a refutation makes no difference");
        one.merge(member(71, "z").with(MemberStatus.LEFT).with(3), 1);
        assertTrue(one.find("n71") == null, "removed");
        assertFewRecordsDiffer(one, other, "n71");
    }

    private static void assertFewRecordsDiffer(MemberTable one, MemberTable other, String name) {
        List<MemberRecord> differing =
                one.differingRecords(other.membershipDigest().bucketDigests(200));
        assertTrue(
                differing.stream().anyMatch(memberRecord -> memberRecord.name().equals(name)),
                differing::toString);
        assertTrue(differing.size() < 40, differing::toString);
    }

    /**
     * The member that raised a suspicion has ended, and all know the suspicion: another decides it.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void suspicionOutlivesTheMemberThatRaisedIt(long seed) {
        SimulatedNetwork network = startNetwork(seed, SIZE);
        SimulatedNetwork.Process victim = network.processes.get(20);
        MemberId incarnation = network.invariants.currentIncarnation(victim);
        MemberRecord suspectRecord =
                PartitionVerdictTest.recordOf(victim, victim.name).with(MemberStatus.SUSPECT);
        victim.kill();
        for (SimulatedNetwork.Process process : network.processes) {
            if (process.isRunning()) {
                process.protocol.handleMessage(
                        process.localTime(),
                        "10.9.0.1:7400",
                        new GossipMessage(
                                "n99", 0, Kind.PING, 1, "", 7, List.of(suspectRecord), 0, 0));
            }
        }
        network.run(20);
        assertEquals(
                0,
                network.invariants.countUnaware(incarnation),
                () -> "seed " + seed + ": " + network.invariants.findDisagreement());
    }

    /**
     * A member with the same digest gets no update that the digest covers; no update is sent more
     * often than its number of transmissions.
     */
    @Test
    void updatesGoToMembersThatMayNotHaveThem() {
        DisseminationQueue queue = new DisseminationQueue();
        queue.add(member(1, "z"), true, 2);
        queue.add(member(2, "z").with(MemberStatus.SUSPECT), false, 2);
        assertEquals(List.of("n2"), piggybackedNames(queue, 1000, true));
        assertEquals(
                List.of("n1", "n2"),
                piggybackedNames(queue, 1000, false),
                "a member's own record comes first");
        assertEquals(
                List.of("n1"), piggybackedNames(queue, 1000, false), "the other was sent twice");
        assertEquals(List.of(), piggybackedNames(queue, 1000, false));
        queue.add(member(3, "z"), true, 2);
        assertEquals(List.of(), piggybackedNames(queue, 10, false), "it does not fit");
        queue.dropCoveredByDigest();
        assertEquals(List.of(), piggybackedNames(queue, 1000, false));
    }

    private static List<String> piggybackedNames(
            DisseminationQueue queue, int availableBytes, boolean digestMatches) {
        List<MemberRecord> records = new ArrayList<>();
        queue.piggyback(records, 20, availableBytes, digestMatches);
        return records.stream().map(MemberRecord::name).toList();
    }

    /** With over 24 others a sample of those heard recently decides, up to that each of them. */
    @Test
    void convergenceRestsOnASampleOfRecentlyHeardMembers() {
        MemberTable table = new MemberTable(MembershipSettings.defaults());
        List<PeerState> peers = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            table.merge(member(i, "z"), 0);
            peers.add(table.find("n" + i));
        }
        Set<Boolean> matches = new HashSet<>();
        for (int i = 1; i <= MemberTable.AGREEMENT_SAMPLE_SIZE; i++) {
            matches.add(table.allDigestsMatch("n0", 100));
            peers.get(i).digest = table.digest();
            peers.get(i).digestReceivedAt = 99;
        }
        assertEquals(Set.of(false), matches, "fewer than the sample");
        assertTrue(table.allDigestsMatch("n0", 100));
        assertFalse(
                table.allDigestsMatch("n0", 99 + MemberTable.AGREEMENT_SAMPLE_SECONDS + 0.1),
                "too old");
        peers.get(40).digestReceivedAt = 99.5;
        assertFalse(table.allDigestsMatch("n0", 100), "one heard recently differs");
        for (int i = 25; i < 60; i++) {
            table.merge(member(i, "z").with(MemberStatus.UNREACHABLE), 100);
        }
        peers.forEach(peer -> peer.digest = table.digest());
        assertTrue(table.allDigestsMatch("n0", 1000), "all 24 others, at any age");
        peers.get(3).digest = 5;
        assertFalse(table.allDigestsMatch("n0", 1000));
    }
}
