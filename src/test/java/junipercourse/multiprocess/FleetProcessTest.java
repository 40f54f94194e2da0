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

/** Five dispatchers as processes with faults between them. Each test leaves them settled again. */
class FleetProcessTest {
    private static final long SEED = Long.getLong("rig.seed", 28);
    @TempDir private static Path folder;
    private static DispatcherCluster rig;
    private double begun;
    private int[] servedBefore;

    @BeforeAll
    static void startAllAtOnce() throws IOException {
        rig = new DispatcherCluster(folder, 5, SEED);
        for (int i = 0; i < rig.count; i++) {
            rig.start(i);
        }
        rig.untilSettled("five started at once are settled", rig.all());
    }

    @BeforeEach
    void begin() {
        begun = DispatcherCluster.now();
        servedBefore = rig.all().stream().mapToInt(rig::served).toArray();
    }

    /**
     * Whatever happened: all are there again, served their clients meanwhile, and the history
     * holds.
     */
    @AfterEach
    void allIsWellAgain() {
        rig.hub.setAll(FaultInjectingProxy.Fault.NONE);
        rig.untilSettled("settled again", rig.all());
        for (int i = 0; i < rig.count; i++) {
            int member = i;
            rig.until(
                    "n" + i + " serves",
                    Set.of(i),
                    look -> rig.served(member) > servedBefore[member]);
        }
        assertEquals(List.of(), rig.unserved(), "seed " + SEED);
        assertEquals(List.of(), InvariantChecker.faults(rig.history()), "seed " + SEED);
    }

    @AfterAll
    static void end() throws IOException {
        rig.close();
    }

    private static Set<Integer> without(Integer member) {
        Set<Integer> rest = new HashSet<>(rig.all());
        rest.remove(member);
        return rest;
    }

    private void neverUnreachable(Set<Integer> observers, Set<String> members) {
        assertEquals(
                List.of(),
                InvariantChecker.called(rig.history(), begun, observers, members, "unreachable"),
                "seed " + SEED);
    }

    /**
     * Silence proves no end: a killed one is unreachable, not gone; its successor is a life above.
     */
    @Test
    void aKilledOneIsUnreachableAndComesBackInANewLife() throws Exception {
        long life = rig.look(4).self();
        rig.kill(4);
        rig.until("the kill is seen", without(4), look -> look.sees("n4", "unreachable"));
        rig.start(4);
        rig.untilSettled("back", rig.all());
        rig.until(
                "a life above is seen",
                rig.all(),
                look -> look.members().get("n4").incarnation() > life);
        neverUnreachable(without(4), rig.others(4));
    }

    @Test
    void oneThatEndsInGoodOrderHasLeft() throws Exception {
        rig.process(3).signal("TERM");
        rig.until("n3's leaving is heard", without(3), look -> look.sees("n3", "left"));
        assertTrue(rig.process(3).exitsWithin(4), rig.process(3).log());
        rig.gone(3);
        rig.start(3);
        rig.untilSettled("back", rig.all());
        assertEquals(
                List.of(),
                InvariantChecker.called(
                        rig.history(), begun, without(3), Set.of("n3"), "unreachable"));
    }

    @Test
    void bothSidesOfACutSettleAndHeal() {
        Set<Integer> small = Set.of(0, 1);
        Set<Integer> large = Set.of(2, 3, 4);
        rig.hub.part(List.copyOf(small), List.copyOf(large));
        rig.until(
                "the small side sees the cut",
                small,
                look ->
                        look.sees("n2", "unreachable")
                                && look.sees("n3", "unreachable")
                                && look.sees("n4", "unreachable"));
        rig.until(
                "the large side sees the cut",
                large,
                look -> look.sees("n0", "unreachable") && look.sees("n1", "unreachable"));
        rig.untilSettled("the small side is settled", small);
        rig.untilSettled("the large side is settled", large);
        rig.hub.setAll(FaultInjectingProxy.Fault.NONE);
        rig.untilSettled("healed", rig.all());
        neverUnreachable(small, Set.of("n0", "n1"));
        neverUnreachable(large, Set.of("n2", "n3", "n4"));
    }

    /** A stall of our own is held against nobody. */
    @Test
    void aStoppedOneBlamesNobodyAfterwards() throws Exception {
        long life = rig.look(2).self();
        long stalls = rig.look(2).count("view.stalls");
        rig.process(2).signal("STOP");
        rig.until("the others do not hear it", without(2), look -> look.sees("n2", "unreachable"));
        rig.until("it is stopped for 3 s", without(2), look -> look.at() > begun + 3);
        rig.process(2).signal("CONT");
        rig.untilSettled("settled after the stall", rig.all());
        rig.until("the stall is counted", Set.of(2), look -> look.count("view.stalls") > stalls);
        assertEquals(life, rig.look(2).self(), "the same life");
        neverUnreachable(rig.all(), rig.others(2));
    }

    /** Waits until each has sent so many more datagrams, which is time as the fleet counts it. */
    private void forDatagrams(String what, int count) {
        long[] before = rig.all().stream().mapToLong(i -> rig.look(i).count("link.out")).toArray();
        rig.until(
                what, rig.all(), look -> look.count("link.out") > before[look.observer()] + count);
    }

    @Test
    void aWayCutInOneDirectionIsGoneAround() {
        rig.hub.set(0, 1, FaultInjectingProxy.Fault.CUT);
        rig.hub.set(3, 2, FaultInjectingProxy.Fault.CUT);
        forDatagrams("two ways are cut in one direction", 150);
        neverUnreachable(rig.all(), rig.others());
    }

    @Test
    void aRoughNetworkMakesNobodyUnreachable() {
        rig.hub.setAll(FaultInjectingProxy.Fault.ROUGH);
        forDatagrams("30% lost, 10% doubled, all out of order", 300);
        neverUnreachable(rig.all(), rig.others());
    }

    /** A datagram of that fleet and version with a good checksum, and no word in it. */
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
    void strangersAndGarbageAreCountedAndChangeNothing() throws Exception {
        String digest = rig.look(1).valuesByName().get("view.digest");
        FleetObservation before = rig.look(1);
        for (int round = 1;
                round <= 5;
                round++) { // a few at once, so that the socket's buffer holds them
            for (int i = 0; i < 10; i++) {
                rig.hub.stranger(
                        1,
                        new byte[] {1, 2, 3, (byte) i, 5},
                        new byte[1500],
                        datagram("other", 1),
                        datagram("rig", 2),
                        datagram("rig", 1));
            }
            int all = round * 10;
            rig.until(
                    "all are counted",
                    Set.of(1),
                    look ->
                            List.of(
                                            "damaged",
                                            "too_long",
                                            "other_fleet",
                                            "newer_format",
                                            "unreadable")
                                    .stream()
                                    .allMatch(
                                            why ->
                                                    look.count("dropped." + why)
                                                            >= before.count("dropped." + why)
                                                                    + all));
        }
        for (int i = 0; i < 200 && rig.look(1).count("dropped.too_many") == 0; i++) {
            for (int j = 0; j < 100; j++) {
                rig.hub.stranger(1, new byte[] {9});
            }
        }
        rig.until("a flood is held down", Set.of(1), look -> look.count("dropped.too_many") > 0);
        forDatagrams("life goes on", 20);
        neverUnreachable(rig.all(), rig.others());
        assertEquals(digest, rig.look(1).valuesByName().get("view.digest"));
        assertFalse(rig.look(1).valuesByName().get("view.state").contains("failed"));
    }
}
