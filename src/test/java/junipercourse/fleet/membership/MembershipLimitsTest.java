package junipercourse.fleet.membership;

import static junipercourse.fleet.membership.PartitionVerdictTest.assertConverges;
import static junipercourse.fleet.membership.PartitionVerdictTest.recordOf;
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

/** The limits of the membership protocol: members, time until removal, lengths of texts. */
class MembershipLimitsTest {
    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void membersStayWithinTheirLimit(long seed) {
        SimulatedNetwork network = new SimulatedNetwork(seed);
        network.settings = new MembershipSettingsBuilder().maxMembers(5).build();
        network.addFleet(8, 2);
        network.processes.forEach(SimulatedNetwork.Process::start);
        network.run(10);
        for (SimulatedNetwork.Process process : network.processes) {
            assertTrue(process.lastSnapshot.members().size() <= 5, network::toString);
        }
        long linesBefore = network.invariants.logLineCount;
        assertTrue(linesBefore > 0);
        network.run(30);
        assertTrue(
                network.invariants.logLineCount - linesBefore <= 8,
                "at most one log line a minute");
    }

    /**
     * Ended incarnations are removed by all members. Old records do not restore them; the member
     * itself does.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void endedIncarnationsAreForgottenAndNotRestoredByOldRecords(long seed) {
        SimulatedNetwork network = new SimulatedNetwork(seed);
        network.settings = new MembershipSettingsBuilder().forgetAfterSeconds(20).build();
        network.addFleet(5, 2).startAll(0);
        SimulatedNetwork.Process leaver = network.processes.get(3);
        SimulatedNetwork.Process isolated = network.processes.get(4);
        MemberRecord oldRecord = recordOf(isolated, "n4");
        leaver.leave();
        for (SimulatedNetwork.Process other : network.processes.subList(0, 4)) {
            network.block(isolated, other);
            network.block(other, isolated);
        }
        network.run(40);
        SimulatedNetwork.Process first = network.processes.get(0);
        assertEquals(3, first.lastSnapshot.members().size(), network::toString);
        GossipMessage lateMessage =
                new GossipMessage("n9", 0, Kind.SYNC_RESPONSE, 1, "", 7, List.of(oldRecord), 0, 1);
        first.protocol.handleMessage(first.localTime(), isolated.address, lateMessage);
        assertEquals(3, first.lastSnapshot.members().size(), network::toString);
        network.run(1);
        assertEquals(3, first.lastSnapshot.members().size(), network::toString);
        network.heal();
        assertConverges(network, 8, seed);
        assertEquals(
                network.invariants.currentIncarnation(isolated),
                oldRecord.memberId(),
                "the same incarnation is back");
    }

    @Test
    void errorNamesTheTextThatIsTooLong() {
        String tooLong = "x".repeat(60);
        List<String> namedKeys = new ArrayList<>();
        SimulatedNetwork.Process listener =
                new SimulatedNetwork(1).new Process("n", "a:1", "z", List.of());
        String[][] invalidTexts = {
            {tooLong, "a:1", "z"}, {"n", tooLong, "z"}, {"n", "a:1", tooLong}
        };
        for (String[] texts : invalidTexts) {
            IllegalArgumentException error =
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
                                            listener));
            namedKeys.add(error.getMessage().split(":")[0]);
        }
        assertEquals(List.of("name", "address", "zone"), namedKeys);
        assertNull(new SimulatedNetwork(1).invariants.findDisagreement());
    }
}
