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

/** Checks the limit of bytes sent in a second against loads that could exceed it. */
class SendBudgetTest {
    private static final int BYTES_PER_SECOND = 6000;

    /** Counts the bytes sent in the last second, their maximum and their sum. */
    private static final class SlidingSecond {
        private final ArrayDeque<double[]> sendsInWindow = new ArrayDeque<>();
        private double windowBytes;
        private double maxWindowBytes;
        private double totalBytes;

        void add(double time, int size) {
            sendsInWindow.add(new double[] {time, size});
            windowBytes += size;
            totalBytes += size;
            while (sendsInWindow.peek()[0] <= time - 1) {
                windowBytes -= sendsInWindow.poll()[1];
            }
            maxWindowBytes = Math.max(maxWindowBytes, windowBytes);
        }
    }

    /** Random sizes, priorities and intervals. */
    @Property(tries = 500, seed = "34")
    void noSecondExceedsTheBudget(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        SendBudget budget = new SendBudget(BYTES_PER_SECOND);
        SlidingSecond window = new SlidingSecond();
        double now = random.nextDouble() * 1000;
        for (int i = 0; i < 2000; i++) {
            now += random.nextInt(4) == 0 ? random.nextDouble() * 0.3 : random.nextDouble() * 0.002;
            MessagePriority priority =
                    MessagePriority.values()[random.nextInt(MessagePriority.values().length)];
            int size = 50 + random.nextInt(800);
            int disseminationBytes =
                    Math.max(
                            0,
                            Math.min(
                                    random.nextInt(400),
                                    budget.available(MessagePriority.DISSEMINATION, now) - size));
            if (budget.tryTake(priority, size, disseminationBytes, now)) {
                window.add(now, size + disseminationBytes);
            }
        }
        assertTrue(
                window.maxWindowBytes <= BYTES_PER_SECOND + 1,
                () -> "seed " + seed + ": " + window.maxWindowBytes);
    }

    /** While messages of low priority use up their share all the time, answers are still sent. */
    @Test
    void answersAreSentBesideEndlessLowPriorityMessages() {
        SendBudget budget = new SendBudget(BYTES_PER_SECOND);
        int answers = 0;
        for (int step = 0; step < 1000; step++) {
            double now = step * 0.01;
            for (MessagePriority priority :
                    List.of(MessagePriority.ANTI_ENTROPY, MessagePriority.SUSPECT_PROBE)) {
                budget.tryTake(priority, 300, 0, now);
            }
            answers +=
                    step % 10 == 0 && budget.tryTake(MessagePriority.ANSWER, 120, 0, now) ? 1 : 0;
        }
        assertEquals(100, answers, "ten a second, none is dropped");
    }

    /**
     * A flood of requests, differing digests, suspicions of this and other members and new members,
     * while nobody answers. The protocol stays within its budget and uses it.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void protocolStaysWithinItsBudgetUnderAFlood(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        SlidingSecond window = new SlidingSecond();
        double[] now = {100};
        MembershipSettings settings =
                new MembershipSettingsBuilder()
                        .bytesPerSecond(BYTES_PER_SECOND)
                        .fleetNameLength("hobart".length())
                        .build();
        MembershipProtocol protocol =
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
                                window.add(now[0], DatagramSize.of(word));
                            }

                            @Override
                            public void membershipChanged(
                                    MembershipSnapshot snapshot) { // not checked here
                            }

                            @Override
                            public void log(String line) { // not checked here
                            }
                        });
        protocol.start(now[0]);
        for (double end = now[0] + 30; now[0] < end; now[0] += 0.001) {
            protocol.handleMessage(now[0], address(9), randomMessage(random));
            if (now[0] >= protocol.nextTickAt()) {
                protocol.tick(now[0]);
            }
        }
        assertTrue(
                window.maxWindowBytes <= BYTES_PER_SECOND,
                () -> "seed " + seed + ": " + window.maxWindowBytes);
        assertTrue(
                protocol.messagesDroppedByBudget() > 1000,
                () -> "seed " + seed + ": " + protocol.messagesDroppedByBudget() + " dropped");
        assertTrue(
                window.totalBytes > 30 * BYTES_PER_SECOND / 2,
                () -> "seed " + seed + ": no flood, only " + window.totalBytes);
    }

    private static String address(int number) {
        return "10.1.0." + number + ":7400";
    }

    private static GossipMessage randomMessage(SplittableRandom random) {
        int sender = 1 + random.nextInt(200);
        List<MemberRecord> records = new ArrayList<>();
        records.add(memberRecord(sender, MemberStatus.ALIVE));
        for (int i = random.nextInt(8); i > 0; i--) {
            records.add(
                    memberRecord(random.nextInt(200), MemberStatus.values()[random.nextInt(3)]));
        }
        Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
        boolean hasBuckets = kind == Kind.SYNC_REQUEST && random.nextBoolean();
        List<Integer> buckets = hasBuckets ? List.of(1, 2, 3, 4) : List.of();
        return new GossipMessage(
                "n" + sender,
                1L << 32,
                kind,
                random.nextInt(50),
                "n" + random.nextInt(3),
                random.nextLong(),
                records,
                0,
                1,
                buckets);
    }

    private static MemberRecord memberRecord(int number, MemberStatus status) {
        return new MemberRecord(
                "n" + number, 1L << 32, 0, status, address(number), "z" + number % 5);
    }

    /** A budget too small for the protocol is rejected with its key. */
    @Test
    void errorNamesABudgetThatIsTooSmall() {
        String message = "";
        try {
            new MembershipSettingsBuilder()
                    .bytesPerSecond(MembershipSettings.MIN_BYTES_PER_SECOND - 1)
                    .build();
        } catch (IllegalArgumentException e) {
            message = e.getMessage();
        }
        assertTrue(message.startsWith("bytesASecond: "), message);
        assertFalse(
                new MembershipSettingsBuilder()
                                .bytesPerSecond(MembershipSettings.MIN_BYTES_PER_SECOND)
                                .build()
                                .bytesPerSecond()
                        < 0);
    }
}
