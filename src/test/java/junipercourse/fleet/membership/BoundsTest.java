package junipercourse.fleet.membership;

import static junipercourse.fleet.membership.PartitionVerdictTest.said;
import static junipercourse.fleet.membership.PartitionVerdictTest.settles;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import junipercourse.fleet.membership.GossipMessage.Kind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The bounds of a view: members, forgotten lives, texts. */
class BoundsTest {
    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void theBoundOnMembersHolds(long seed) {
        SimulatedNetwork world = new SimulatedNetwork(seed);
        world.settings = new Bounds().members(5).settings();
        world.fleet(8, 2);
        world.processes.forEach(SimulatedNetwork.Process::start);
        world.run(10);
        for (SimulatedNetwork.Process process : world.processes) {
            assertTrue(process.seen.members().size() <= 5, world::toString);
        }
        long lines = world.judge.lines;
        assertTrue(lines > 0);
        world.run(30);
        assertTrue(world.judge.lines - lines <= 8, "a line a minute at most");
    }

    /**
     * Gone lives are forgotten everywhere; old words do not bring them back, their subject does.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void goneLivesAreForgottenAndOldWordsDoNotBringThemBack(long seed) {
        SimulatedNetwork world = new SimulatedNetwork(seed);
        world.settings = new Bounds().forget(20).settings();
        world.fleet(5, 2).started(0);
        SimulatedNetwork.Process leaver = world.processes.get(3);
        SimulatedNetwork.Process away = world.processes.get(4);
        MemberRecord old = said(away, "n4");
        leaver.leave();
        for (SimulatedNetwork.Process other : world.processes.subList(0, 4)) {
            world.cut(away, other);
            world.cut(other, away);
        }
        world.run(40);
        SimulatedNetwork.Process first = world.processes.get(0);
        assertEquals(3, first.seen.members().size(), world::toString);
        GossipMessage late =
                new GossipMessage("n9", 0, Kind.SYNC_RESPONSE, 1, "", 7, List.of(old), 0, 1);
        first.view.handleMessage(first.local(), away.address, late);
        assertEquals(3, first.seen.members().size(), world::toString);
        world.run(1);
        assertEquals(3, first.seen.members().size(), world::toString);
        world.heal();
        settles(world, 8, seed);
        assertEquals(world.judge.life(away), old.memberId(), "the same life is back");
    }

    @Test
    void textsOutOfBoundsAreNamed() {
        String tooLong = "x".repeat(60);
        List<String> named = new ArrayList<>();
        SimulatedNetwork.Process out =
                new SimulatedNetwork(1).new Process("n", "a:1", "z", List.of());
        String[][] wrong = {{tooLong, "a:1", "z"}, {"n", tooLong, "z"}, {"n", "a:1", tooLong}};
        for (String[] texts : wrong) {
            IllegalArgumentException fault =
                    assertThrows(
                            IllegalArgumentException.class,
                            () ->
                                    new MembershipProtocol(
                                            MembershipSettings.defaults(),
                                            texts[0],
                                            texts[1],
                                            texts[2],
                                            List.of(),
                                            1,
                                            out));
            named.add(fault.getMessage().split(":")[0]);
        }
        assertEquals(List.of("name", "address", "zone"), named);
        assertNull(new SimulatedNetwork(1).judge.agreed());
    }
}
