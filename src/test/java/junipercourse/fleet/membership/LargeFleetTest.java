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
 * What holds the cost down in a fleet of more than some dozens, and that no verdict is lighter for
 * it.
 */
class LargeFleetTest {
    private static final int SIZE = 45;

    private static SimulatedNetwork world(long seed, int size) {
        return new SimulatedNetwork(seed).fleet(size, 3).started(0);
    }

    /**
     * A zone is lost and comes back, regions are cut apart and healed: settled, within the budget.
     */
    @ParameterizedTest
    @CsvSource({"1, 0", "2, 0", "3, 0.05"})
    void mostOfAFleetIsLostAndBackWithinTheBudget(long seed, double loss) {
        SimulatedNetwork world = world(seed, SIZE);
        world.loss = loss;
        world.processes.forEach(process -> process.sent.restart());
        List<SimulatedNetwork.Process> far = world.processes.subList(0, SIZE / 2);
        List<SimulatedNetwork.Process> near = world.processes.subList(SIZE / 2, SIZE);
        for (SimulatedNetwork.Process a : far) {
            for (SimulatedNetwork.Process b : near) {
                world.cut(a, b);
                world.cut(b, a);
            }
        }
        world.run(60);
        for (SimulatedNetwork.Process process : near) {
            long present =
                    process.seen.members().stream()
                            .filter(each -> each.record().isPresent())
                            .count();
            assertEquals(near.size(), present, () -> "seed " + seed + " " + process.name);
        }
        world.heal();
        assertFalse(
                Double.isNaN(world.untilSettled(30)),
                () -> "seed " + seed + " " + world.judge.agreed());
        assertEquals(List.of(), world.judge.broken, "seed " + seed);
        assertEquals(List.of(), world.judge.falseUnreachable, "seed " + seed);
        for (SimulatedNetwork.Process process : world.processes) {
            // a second of the world's clock has up to 1% more of a member's own
            assertTrue(
                    process.sent.worst() <= 1.02 * world.settings.bytesPerSecond(),
                    () -> "seed " + seed + " " + process.name + " " + process.sent.worst());
        }
    }

    /**
     * Another's verdict on somebody whom we hear takes nobody out: each tries himself, and he
     * refutes it.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void hearsayAloneCallsNobodyUnreachable(long seed) {
        SimulatedNetwork world = world(seed, SIZE);
        SimulatedNetwork.Process first = world.processes.get(0);
        MemberRecord verdict =
                PartitionVerdictTest.said(first, "n30").with(MemberStatus.UNREACHABLE);
        MemberRecord liar = PartitionVerdictTest.said(first, "n7");
        for (SimulatedNetwork.Process hearing : world.processes.subList(0, 20)) {
            GossipMessage word =
                    new GossipMessage(
                            "n7",
                            liar.incarnation(),
                            Kind.PING,
                            1,
                            "",
                            7,
                            List.of(liar, verdict),
                            0,
                            0);
            hearing.view.handleMessage(hearing.local(), liar.address(), word);
        }
        world.run(10);
        assertEquals(List.of(), world.judge.falseUnreachable, "seed " + seed);
        for (SimulatedNetwork.Process process : world.processes) {
            assertEquals(
                    MemberStatus.ALIVE,
                    PartitionVerdictTest.said(process, "n30").status(),
                    () -> "seed " + seed);
        }
    }

    private static MemberRecord member(int number, String zone) {
        return new MemberRecord(
                "n" + number, 1L << 32, 0, MemberStatus.ALIVE, "10.0.0." + number + ":1", zone);
    }

    /**
     * Of two views that differ in one member, or in one forgotten, a few are told and he among
     * them.
     */
    @Test
    void onlyWhatDiffersIsTold() {
        MemberTable one = new MemberTable(MembershipSettings.defaults());
        MemberTable other = new MemberTable(MembershipSettings.defaults());
        for (int i = 0; i < 200; i++) {
            one.merge(member(i, "z"), 0);
            other.merge(member(i, "z"), 0);
        }
        assertEquals(one.digest(), other.digest());
        assertEquals(List.of(), one.differingRecords(other.membershipDigest().bucketDigests(200)));
        one.merge(member(70, "z").with(MemberStatus.UNREACHABLE), 1);
        told(one, other, "n70");
        one.merge(member(70, "z").with(2), 1);
        assertEquals(one.digest(), other.digest(), "a refutation is no difference");
        one.merge(member(71, "z").with(MemberStatus.LEFT).with(3), 1);
        assertTrue(one.find("n71") == null, "forgotten");
        told(one, other, "n71");
    }

    private static void told(MemberTable one, MemberTable other, String name) {
        List<MemberRecord> told = one.differingRecords(other.membershipDigest().bucketDigests(200));
        assertTrue(told.stream().anyMatch(each -> each.name().equals(name)), told::toString);
        assertTrue(told.size() < 40, told::toString);
    }

    /** Whoever raised a suspicion is gone, and all have heard of it: another takes it up. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void aSuspicionOutlivesWhoRaisedIt(long seed) {
        SimulatedNetwork world = world(seed, SIZE);
        SimulatedNetwork.Process victim = world.processes.get(20);
        MemberId life = world.judge.life(victim);
        MemberRecord doubt =
                PartitionVerdictTest.said(victim, victim.name).with(MemberStatus.SUSPECT);
        victim.kill();
        for (SimulatedNetwork.Process process : world.processes) {
            if (process.runs()) {
                process.view.handleMessage(
                        process.local(),
                        "10.9.0.1:7400",
                        new GossipMessage("n99", 0, Kind.PING, 1, "", 7, List.of(doubt), 0, 0));
            }
        }
        world.run(20);
        assertEquals(
                0, world.judge.unaware(life), () -> "seed " + seed + ": " + world.judge.agreed());
    }

    /**
     * Who bears our digest is told no news that it shows; nothing is told more often than its
     * passes.
     */
    @Test
    void newsGoToWhoMayNotKnowThem() {
        DisseminationQueue rumours = new DisseminationQueue();
        rumours.add(member(1, "z"), true, 2);
        rumours.add(member(2, "z").with(MemberStatus.SUSPECT), false, 2);
        assertEquals(List.of("n2"), filled(rumours, 1000, true));
        assertEquals(
                List.of("n1", "n2"),
                filled(rumours, 1000, false),
                "what a member says of itself first");
        assertEquals(List.of("n1"), filled(rumours, 1000, false), "the other was passed on twice");
        assertEquals(List.of(), filled(rumours, 1000, false));
        rumours.add(member(3, "z"), true, 2);
        assertEquals(List.of(), filled(rumours, 10, false), "no room");
        rumours.dropCoveredByDigest();
        assertEquals(List.of(), filled(rumours, 1000, false));
    }

    private static List<String> filled(DisseminationQueue rumours, int room, boolean agrees) {
        List<MemberRecord> statements = new ArrayList<>();
        rumours.piggyback(statements, 20, room, agrees);
        return statements.stream().map(MemberRecord::name).toList();
    }

    /** Beyond 24 others a sample of those heard of late decides; up to that each of them. */
    @Test
    void settledRestsOnASampleOfThoseHeardOfLate() {
        MemberTable roll = new MemberTable(MembershipSettings.defaults());
        List<PeerState> peers = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            roll.merge(member(i, "z"), 0);
            peers.add(roll.find("n" + i));
        }
        Set<Boolean> agreed = new HashSet<>();
        for (int i = 1; i <= MemberTable.AGREEMENT_SAMPLE_SIZE; i++) {
            agreed.add(roll.allDigestsMatch("n0", 100));
            peers.get(i).digest = roll.digest();
            peers.get(i).digestReceivedAt = 99;
        }
        assertEquals(Set.of(false), agreed, "fewer than the sample");
        assertTrue(roll.allDigestsMatch("n0", 100));
        assertFalse(
                roll.allDigestsMatch("n0", 99 + MemberTable.AGREEMENT_SAMPLE_SECONDS + 0.1),
                "too old");
        peers.get(40).digestReceivedAt = 99.5;
        assertFalse(roll.allDigestsMatch("n0", 100), "one heard of late tells otherwise");
        for (int i = 25; i < 60; i++) {
            roll.merge(member(i, "z").with(MemberStatus.UNREACHABLE), 100);
        }
        peers.forEach(peer -> peer.digest = roll.digest());
        assertTrue(roll.allDigestsMatch("n0", 1000), "all 24 others, however long ago");
        peers.get(3).digest = 5;
        assertFalse(roll.allDigestsMatch("n0", 1000));
    }
}
