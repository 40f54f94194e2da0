package junipercourse.fleet.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.stream.DoubleStream;
import junipercourse.fleet.membership.GossipMessage.Kind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Verdicts in hard cases, each with a few seeds; a failure names its seed. */
class PartitionVerdictTest {
    private static SimulatedNetwork startNetwork(long seed, int count, int seeds) {
        return new SimulatedNetwork(seed).addFleet(count, seeds).startAll(0);
    }

    static MemberRecord recordOf(SimulatedNetwork.Process observer, String name) {
        return observer.protocol.snapshot().members().stream()
                .map(MembershipSnapshot.MemberView::record)
                .filter(memberRecord -> memberRecord.name().equals(name))
                .findFirst()
                .orElseThrow();
    }

    private static long countPresent(SimulatedNetwork.Process observer) {
        return observer.lastSnapshot.members().stream()
                .filter(each -> each.record().isPresent())
                .count();
    }

    static void assertConverges(SimulatedNetwork network, double maxSeconds, long seed) {
        assertFalse(
                Double.isNaN(network.secondsUntilConverged(maxSeconds)),
                () -> "seed " + seed + " " + network);
        assertEquals(List.of(), network.invariants.violations, "seed " + seed);
    }

    /**
     * The newest process keeps the name, the other yields and reports the conflict. Partitioned
     * from each other, they begin new incarnations at ever longer intervals.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void oneOfTwoProcessesKeepsTheNameTheyShare(long seed) {
        SimulatedNetwork network = startNetwork(seed, 4, 2);
        SimulatedNetwork.Process first = network.processes.get(3);
        SimulatedNetwork.Process second = network.addWithSameName("n3");
        second.start();
        assertOneHolderOfTheName(network, seed);
        assertEquals(0, first.protocol.snapshot().self().incarnation());
        assertEquals(second.address, first.protocol.conflictingMember().address());
        assertEquals(first.address, second.protocol.conflictingMember().address());
        int incarnationsBefore = network.invariants.incarnationCount();
        network.block(first, second);
        network.block(second, first);
        network.run(200);
        int newIncarnations = network.invariants.incarnationCount() - incarnationsBefore;
        assertTrue(
                newIncarnations >= 2 && newIncarnations <= 14,
                "seed " + seed + ": " + newIncarnations + " new incarnations in 200 s");
        network.heal();
        assertOneHolderOfTheName(network, seed);
        SimulatedNetwork.Process holder =
                first.protocol.snapshot().self().incarnation() > 0 ? first : second;
        SimulatedNetwork.Process yielding = holder == first ? second : first;
        holder.leave();
        network.run(5);
        assertTrue(yielding.protocol.snapshot().self().incarnation() > 0, "the name is free again");
        assertEquals(List.of(), network.invariants.violations, "seed " + seed);
    }

    private static void assertOneHolderOfTheName(SimulatedNetwork network, long seed) {
        network.run(8);
        List<MemberId> reported =
                network.processes.stream()
                        .map(process -> recordOf(process, "n3").memberId())
                        .distinct()
                        .toList();
        assertEquals(1, reported.size(), () -> "seed " + seed + " " + network);
    }

    /**
     * An incarnation that resumes after a long pause, in which its successor started elsewhere, is
     * ignored.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void resumedIncarnationIsIgnoredAfterItsSuccessor(long seed) {
        SimulatedNetwork network = startNetwork(seed, 4, 2);
        SimulatedNetwork.Process pausedProcess = network.processes.get(3);
        MemberId oldIncarnation = network.invariants.currentIncarnation(pausedProcess);
        pausedProcess.pause(20);
        network.run(5);
        SimulatedNetwork.Process successorProcess = network.addWithSameName("n3");
        successorProcess.start();
        network.run(17);
        MemberId successor = network.invariants.currentIncarnation(successorProcess);
        assertTrue(successor.incarnation() > oldIncarnation.incarnation());
        for (SimulatedNetwork.Process process : network.processes) {
            assertEquals(
                    successor,
                    recordOf(process, "n3").memberId(),
                    () -> "seed " + seed + " " + network);
        }
        assertEquals(
                0,
                pausedProcess.protocol.snapshot().self().incarnation(),
                "the old incarnation has ended");
        assertEquals(List.of(), network.invariants.violations, "seed " + seed);
    }

    /** Two members reach each other only through a third, in one or both directions. */
    @ParameterizedTest
    @CsvSource({"1, false", "2, true", "3, false", "4, true"})
    void partialPartitionMakesNobodyUnreachable(long seed, boolean bothWays) {
        SimulatedNetwork network = startNetwork(seed, 3, 3);
        network.block(network.processes.get(0), network.processes.get(2));
        if (bothWays) {
            network.block(network.processes.get(2), network.processes.get(0));
        }
        network.run(60);
        for (SimulatedNetwork.Process process : network.processes) {
            assertEquals(3, countPresent(process), () -> "seed " + seed + " " + network);
            assertEquals(
                    0,
                    recordOf(process, process.name).version(),
                    "indirect probes succeed before anybody is suspected");
        }
        network.heal();
        assertConverges(network, 5, seed);
    }

    /**
     * After a partition longer than the verdicts take, with all seeds gone, the members converge.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void partitionHealsWithoutSeeds(long seed) {
        SimulatedNetwork network = startNetwork(seed, 7, 2);
        network.processes.get(0).kill();
        network.processes.get(1).kill();
        for (SimulatedNetwork.Process oneSide : network.processes.subList(2, 4)) {
            for (SimulatedNetwork.Process otherSide : network.processes.subList(4, 7)) {
                network.block(oneSide, otherSide);
                network.block(otherSide, oneSide);
            }
        }
        network.run(30);
        assertEquals(2, countPresent(network.processes.get(2)), network::toString);
        network.heal();
        assertConverges(network, 5, seed);
    }

    /**
     * Without a seed that reports its last incarnation, a restarted process raises its own as soon
     * as others mention the last one.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void restartWithoutSeedsGetsAHigherIncarnation(long seed) {
        SimulatedNetwork network = startNetwork(seed, 4, 1);
        SimulatedNetwork.Process restarted = network.processes.get(3);
        MemberId lastIncarnation = network.invariants.currentIncarnation(restarted);
        network.processes.get(0).kill();
        restarted.kill();
        restarted.start();
        assertConverges(network, 4.5, seed);
        assertTrue(
                network.invariants.currentIncarnation(restarted).incarnation()
                        > lastIncarnation.incarnation(),
                "seed " + seed);
        MemberRecord laterRecord =
                new MemberRecord(
                        "n3",
                        MemberId.nextIncarnation(lastIncarnation.incarnation() << 1, seed),
                        0,
                        MemberStatus.SUSPECT,
                        restarted.address,
                        "z0");
        GossipMessage syncResponse =
                new GossipMessage(
                        "n1", 0, Kind.SYNC_RESPONSE, 1, "", 7, List.of(laterRecord), 0, 1);
        restarted.protocol.handleMessage(restarted.localTime(), "10.0.0.2:7400", syncResponse);
        assertTrue(
                restarted.protocol.snapshot().self().incarnation() > laterRecord.incarnation(),
                "raised at once");
    }

    /** A member that receives nothing delays its verdicts; the others do not wait for it. */
    @Test
    void isolatedMemberDelaysItsVerdicts() {
        SimulatedNetwork network = startNetwork(5, 5, 2);
        SimulatedNetwork.Process isolated = network.processes.get(4);
        for (SimulatedNetwork.Process other : network.processes.subList(0, 4)) {
            network.block(other, isolated);
        }
        network.run(8);
        assertEquals(5, countPresent(isolated), network::toString);
        network.run(20);
        assertEquals(1, countPresent(isolated), network::toString);
        network.heal();
        assertConverges(network, 5, 5);
    }

    /**
     * Members that stall while they suspect another start over; with the fault injected, they
     * report it as unreachable.
     */
    @Test
    void ownStallMakesNobodyUnreachable() {
        assertEquals(0, countFalseReportsAfterStalls(InjectedFault.NONE));
        assertTrue(
                countFalseReportsAfterStalls(InjectedFault.LOCAL_STALL_IGNORED) > 0,
                "the injected fault was not detected");
    }

    private static int countFalseReportsAfterStalls(InjectedFault fault) {
        int falseReports = 0;
        for (long seed = 1; seed <= 40; seed++) {
            SimulatedNetwork network = new SimulatedNetwork(seed);
            network.faults = fault;
            network.addFleet(4, 2).startAll(0);
            network.processes.get(0).pause(1);
            network.run(0.95);
            // longer than the grace of an isolated member, which alone would prevent a verdict
            network.processes
                    .subList(1, 4)
                    .forEach(process -> process.pause(11 + network.random.nextDouble()));
            network.run(15);
            falseReports += network.invariants.falseUnreachableReports.size();
        }
        return falseReports;
    }

    /** Limits around the figures of the design note, at the size of most sites. */
    @Test
    void killsAreDetectedSoonPausesAreNotAndMessagesAreBounded() {
        double[] detectionSeconds = FleetFigures.measureKillDetection(10, 0.2, 10);
        assertTrue(
                DoubleStream.of(detectionSeconds).max().orElseThrow() < 2.5,
                () -> "seeds 0 to 9: " + Arrays.toString(detectionSeconds));
        assertEquals(0, FleetFigures.countFalseReportsUnderPauses(10, 120), "seed 1");
        double[] sentPerSecond = FleetFigures.measureLoad(10, 0.2);
        assertTrue(
                sentPerSecond[0] < 100 && sentPerSecond[1] < 20_000,
                () -> "seed 1: " + Arrays.toString(sentPerSecond));
    }
}
