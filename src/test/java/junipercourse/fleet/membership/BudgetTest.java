package junipercourse.fleet.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import junipercourse.fleet.membership.GossipMessage.Kind;
import junipercourse.fleet.membership.SendBudget.MessagePriority;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The bound on what goes out in a second, tried by all that could exceed it. */
class BudgetTest {
    private static final int BYTES = 6000;

    /** Bytes sent in the last second, and the most of any. */
    private static final class Seconds {
        private final ArrayDeque<double[]> last = new ArrayDeque<>();
        private double sum;
        private double most;
        private double all;

        void add(double at, int size) {
            last.add(new double[] {at, size});
            sum += size;
            all += size;
            while (last.peek()[0] <= at - 1) {
                sum -= last.poll()[1];
            }
            most = Math.max(most, sum);
        }
    }

    /** However greedy, in whatever order and rhythm. */
    @Property(tries = 500, seed = "34")
    void noSecondHasMore(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        SendBudget budget = new SendBudget(BYTES);
        Seconds seconds = new Seconds();
        double now = random.nextDouble() * 1000;
        for (int i = 0; i < 2000; i++) {
            now += random.nextInt(4) == 0 ? random.nextDouble() * 0.3 : random.nextDouble() * 0.002;
            MessagePriority need =
                    MessagePriority.values()[random.nextInt(MessagePriority.values().length)];
            int size = 50 + random.nextInt(800);
            int news =
                    Math.max(
                            0,
                            Math.min(
                                    random.nextInt(400),
                                    budget.available(MessagePriority.DISSEMINATION, now) - size));
            if (budget.tryTake(need, size, news, now)) {
                seconds.add(now, size + news);
            }
        }
        assertTrue(seconds.most <= BYTES + 1, () -> "seed " + seed + ": " + seconds.most);
    }

    /**
     * While the least needful ask without end, answers still go out; and the other way round not.
     */
    @Test
    void theMoreNeedfulFindRoomBesideTheLess() {
        SendBudget budget = new SendBudget(BYTES);
        int answers = 0;
        for (int step = 0; step < 1000; step++) {
            double now = step * 0.01;
            for (MessagePriority need :
                    List.of(MessagePriority.ANTI_ENTROPY, MessagePriority.SUSPECT_PROBE)) {
                budget.tryTake(need, 300, 0, now);
            }
            answers +=
                    step % 10 == 0 && budget.tryTake(MessagePriority.ANSWER, 120, 0, now) ? 1 : 0;
        }
        assertEquals(100, answers, "ten a second, of which none waits");
    }

    /**
     * A view under a flood: thousands of questions, differing digests, doubts about itself and
     * others, new members, and nobody who answers. It stays within its budget and uses it.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void aViewStaysWithinItWhateverIsHeard(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Seconds seconds = new Seconds();
        double[] now = {100};
        MembershipSettings settings =
                new Bounds().budget(BYTES).fleetName("hobart".length()).settings();
        MembershipProtocol view =
                new MembershipProtocol(
                        settings,
                        "n0",
                        address(0),
                        "z",
                        List.of(address(1)),
                        seed,
                        new MembershipListener() {
                            @Override
                            public void send(String to, GossipMessage word) {
                                seconds.add(now[0], DatagramSize.of(word));
                            }

                            @Override
                            public void membershipChanged(
                                    MembershipSnapshot snapshot) { // not looked at
                            }

                            @Override
                            public void log(String line) { // not looked at
                            }
                        });
        view.start(now[0]);
        for (double end = now[0] + 30; now[0] < end; now[0] += 0.001) {
            view.handleMessage(now[0], address(9), word(random));
            if (now[0] >= view.nextTickAt()) {
                view.tick(now[0]);
            }
        }
        assertTrue(seconds.most <= BYTES, () -> "seed " + seed + ": " + seconds.most);
        assertTrue(
                view.messagesDroppedByBudget() > 1000,
                () -> "seed " + seed + ": " + view.messagesDroppedByBudget() + " held back");
        assertTrue(
                seconds.all > 30 * BYTES / 2, () -> "seed " + seed + ": no flood, " + seconds.all);
    }

    private static String address(int number) {
        return "10.1.0." + number + ":7400";
    }

    private static GossipMessage word(SplittableRandom random) {
        int from = 1 + random.nextInt(200);
        List<MemberRecord> statements = new ArrayList<>();
        statements.add(statement(from, MemberStatus.ALIVE));
        for (int i = random.nextInt(8); i > 0; i--) {
            statements.add(
                    statement(random.nextInt(200), MemberStatus.values()[random.nextInt(3)]));
        }
        Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
        boolean compares = kind == Kind.SYNC_REQUEST && random.nextBoolean();
        List<Integer> buckets = compares ? List.of(1, 2, 3, 4) : List.of();
        return new GossipMessage(
                "n" + from,
                1L << 32,
                kind,
                random.nextInt(50),
                "n" + random.nextInt(3),
                random.nextLong(),
                statements,
                0,
                1,
                buckets);
    }

    private static MemberRecord statement(int number, MemberStatus standing) {
        return new MemberRecord(
                "n" + number, 1L << 32, 0, standing, address(number), "z" + number % 5);
    }

    /** Too little to be heard with is refused by its key. */
    @Test
    void aBudgetTooSmallIsNamed() {
        String fault = "";
        try {
            new Bounds().budget(MembershipSettings.MIN_BYTES_PER_SECOND - 1).settings();
        } catch (IllegalArgumentException e) {
            fault = e.getMessage();
        }
        assertTrue(fault.startsWith("bytesASecond: "), fault);
        assertFalse(
                new Bounds()
                                .budget(MembershipSettings.MIN_BYTES_PER_SECOND)
                                .settings()
                                .bytesPerSecond()
                        < 0);
    }
}
