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

/** Verdicts on the hard cases, each on a few seeds that are named when one fails. */
class PartitionVerdictTest {
    private static SimulatedNetwork world(long seed, int count, int seeds) {
        return new SimulatedNetwork(seed).fleet(count, seeds).started(0);
    }

    static MemberRecord said(SimulatedNetwork.Process by, String about) {
        return by.view.snapshot().members().stream()
                .map(MembershipSnapshot.MemberView::record)
                .filter(each -> each.name().equals(about))
                .findFirst()
                .orElseThrow();
    }

    private static long present(SimulatedNetwork.Process by) {
        return by.seen.members().stream().filter(each -> each.record().isPresent()).count();
    }

    static void settles(SimulatedNetwork world, double most, long seed) {
        assertFalse(Double.isNaN(world.untilSettled(most)), () -> "seed " + seed + " " + world);
        assertEquals(List.of(), world.judge.broken, "seed " + seed);
    }

    /**
     * The newest holds, the other gives way and shows why; cut apart they take turns ever more
     * seldom.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void oneOfTwoProcessesUnderOneNameHolds(long seed) {
        SimulatedNetwork world = world(seed, 4, 2);
        SimulatedNetwork.Process first = world.processes.get(3);
        SimulatedNetwork.Process second = world.another("n3");
        second.start();
        settlesAsTwins(world, seed);
        assertEquals(0, first.view.snapshot().self().incarnation());
        assertEquals(second.address, first.view.conflictingMember().address());
        assertEquals(first.address, second.view.conflictingMember().address());
        int lives = world.judge.lives();
        world.cut(first, second);
        world.cut(second, first);
        world.run(200);
        int raises = world.judge.lives() - lives;
        assertTrue(
                raises >= 2 && raises <= 14,
                "seed " + seed + ": " + raises + " new lives in 200 s");
        world.heal();
        settlesAsTwins(world, seed);
        SimulatedNetwork.Process holds =
                first.view.snapshot().self().incarnation() > 0 ? first : second;
        SimulatedNetwork.Process waits = holds == first ? second : first;
        holds.leave();
        world.run(5);
        assertTrue(waits.view.snapshot().self().incarnation() > 0, "the name is free again");
        assertEquals(List.of(), world.judge.broken, "seed " + seed);
    }

    private static void settlesAsTwins(SimulatedNetwork world, long seed) {
        world.run(8);
        List<MemberId> seen =
                world.processes.stream()
                        .map(process -> said(process, "n3").memberId())
                        .distinct()
                        .toList();
        assertEquals(1, seen.size(), () -> "seed " + seed + " " + world);
    }

    /**
     * An old life that comes back from a long pause, after its successor came and went elsewhere,
     * is ignored.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void aLifeThatComesBackAfterItsSuccessorIsIgnored(long seed) {
        SimulatedNetwork world = world(seed, 4, 2);
        SimulatedNetwork.Process old = world.processes.get(3);
        MemberId ended = world.judge.life(old);
        old.pause(20);
        world.run(5);
        SimulatedNetwork.Process next = world.another("n3");
        next.start();
        world.run(17);
        MemberId successor = world.judge.life(next);
        assertTrue(successor.incarnation() > ended.incarnation());
        for (SimulatedNetwork.Process process : world.processes) {
            assertEquals(
                    successor, said(process, "n3").memberId(), () -> "seed " + seed + " " + world);
        }
        assertEquals(0, old.view.snapshot().self().incarnation(), "the old life is over");
        assertEquals(List.of(), world.judge.broken, "seed " + seed);
    }

    /** A hears C only by way of B, in one or both directions: nobody is called unreachable. */
    @ParameterizedTest
    @CsvSource({"1, false", "2, true", "3, false", "4, true"})
    void aCutBetweenTwoThatAThirdHearsCutsNobodyOff(long seed, boolean bothWays) {
        SimulatedNetwork world = world(seed, 3, 3);
        world.cut(world.processes.get(0), world.processes.get(2));
        if (bothWays) {
            world.cut(world.processes.get(2), world.processes.get(0));
        }
        world.run(60);
        for (SimulatedNetwork.Process process : world.processes) {
            assertEquals(3, present(process), () -> "seed " + seed + " " + world);
            assertEquals(
                    0,
                    said(process, process.name).version(),
                    "helpers answer before anybody is suspected");
        }
        world.heal();
        settles(world, 5, seed);
    }

    /**
     * Cut apart for longer than the verdicts take, with all seeds gone: it settles without them.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void aCutHealsWithoutSeeds(long seed) {
        SimulatedNetwork world = world(seed, 7, 2);
        world.processes.get(0).kill();
        world.processes.get(1).kill();
        for (SimulatedNetwork.Process a : world.processes.subList(2, 4)) {
            for (SimulatedNetwork.Process b : world.processes.subList(4, 7)) {
                world.cut(a, b);
                world.cut(b, a);
            }
        }
        world.run(30);
        assertEquals(2, present(world.processes.get(2)), world::toString);
        world.heal();
        settles(world, 5, seed);
    }

    /**
     * No seed tells a restarted process of its last life: it raises its own as soon as others speak
     * of that.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void aRestartWithoutSeedsOutgrowsItsLastLife(long seed) {
        SimulatedNetwork world = world(seed, 4, 1);
        SimulatedNetwork.Process again = world.processes.get(3);
        MemberId last = world.judge.life(again);
        world.processes.get(0).kill();
        again.kill();
        again.start();
        settles(world, 4.5, seed);
        assertTrue(world.judge.life(again).incarnation() > last.incarnation(), "seed " + seed);
        MemberRecord later =
                new MemberRecord(
                        "n3",
                        MemberId.nextIncarnation(last.incarnation() << 1, seed),
                        0,
                        MemberStatus.SUSPECT,
                        again.address,
                        "z0");
        GossipMessage told =
                new GossipMessage("n1", 0, Kind.SYNC_RESPONSE, 1, "", 7, List.of(later), 0, 1);
        again.view.handleMessage(again.local(), "10.0.0.2:7400", told);
        assertTrue(
                again.view.snapshot().self().incarnation() > later.incarnation(), "raised at once");
    }

    /** Who hears nobody puts his verdicts off; the others do not wait for him. */
    @Test
    void whoHearsNobodySuspectsHimselfFirst() {
        SimulatedNetwork world = world(5, 5, 2);
        SimulatedNetwork.Process alone = world.processes.get(4);
        for (SimulatedNetwork.Process other : world.processes.subList(0, 4)) {
            world.cut(other, alone);
        }
        world.run(8);
        assertEquals(5, present(alone), world::toString);
        world.run(20);
        assertEquals(1, present(alone), world::toString);
        world.heal();
        settles(world, 5, 5);
    }

    /**
     * Observers that stop while they doubt somebody begin anew; broken on purpose, they blame him.
     */
    @Test
    void aStallOfOurOwnIsHeldAgainstNobody() {
        assertEquals(0, falseAfterStalls(InjectedFault.NONE));
        assertTrue(
                falseAfterStalls(InjectedFault.LOCAL_STALL_IGNORED) > 0, "the judge saw nothing");
    }

    private static int falseAfterStalls(InjectedFault fault) {
        int found = 0;
        for (long seed = 1; seed <= 40; seed++) {
            SimulatedNetwork world = new SimulatedNetwork(seed);
            world.faults = fault;
            world.fleet(4, 2).started(0);
            world.processes.get(0).pause(1);
            world.run(0.95);
            // longer than who hears nobody waits: after less, that alone keeps him from a verdict
            world.processes
                    .subList(1, 4)
                    .forEach(process -> process.pause(11 + world.random.nextDouble()));
            world.run(15);
            found += world.judge.falseUnreachable.size();
        }
        return found;
    }

    /** The figures of the design note, with room, at the size that most sites have. */
    @Test
    void killsAreSeenSoonPausesAreNotAndWordsAreBounded() {
        double[] took = FleetFigures.kill(10, 0.2, 10);
        assertTrue(
                DoubleStream.of(took).max().orElseThrow() < 2.5,
                () -> "seeds 0 to 9: " + Arrays.toString(took));
        assertEquals(0, FleetFigures.pauses(10, 120), "seed 1");
        double[] sent = FleetFigures.load(10, 0.2);
        assertTrue(sent[0] < 100 && sent[1] < 20_000, () -> "seed 1: " + Arrays.toString(sent));
    }
}
