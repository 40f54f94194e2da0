package junipercourse.fleet.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import junipercourse.fleet.membership.GossipMessage.Kind;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * The protocol among scripted members that acknowledge each probe at once, except for one that is
 * silent for a while.
 */
class SuspicionTest {
    private static final int OTHER_MEMBERS = 4;
    private final Deque<GossipMessage> pendingAcknowledgements = new ArrayDeque<>();
    private final List<Double> suspectedAt = new ArrayList<>();
    private double now = 50;
    private boolean isFirstSilent;
    private MembershipProtocol protocol;

    private static MemberRecord member(int number) {
        String address = "10.2.0." + (number + 1) + ":7400";
        return new MemberRecord("n" + number, 1L << 32, 0, MemberStatus.ALIVE, address, "z");
    }

    private final class RespondingMembers implements MembershipListener {
        @Override
        public void send(String to, GossipMessage message) {
            for (int i = 1; i <= OTHER_MEMBERS; i++) {
                boolean isProbed =
                        to.equals(member(i).address())
                                && message.kind() == Kind.PING
                                && message.subject().equals(member(i).name());
                if (isProbed && !(isFirstSilent && i == 1)) {
                    pendingAcknowledgements.add(
                            new GossipMessage(
                                    member(i).name(),
                                    member(i).incarnation(),
                                    Kind.ACK,
                                    message.sequence(),
                                    member(i).name(),
                                    message.digest(),
                                    List.of(member(i)),
                                    0,
                                    0));
                }
            }
            for (MemberRecord memberRecord : message.records()) {
                if (memberRecord.name().equals("n1")
                        && memberRecord.status() == MemberStatus.SUSPECT) {
                    suspectedAt.add(now);
                }
            }
        }

        @Override
        public void membershipChanged(
                MembershipSnapshot snapshot) { // the messages sent are checked
        }

        @Override
        public void log(String line) { // the messages sent are checked
        }
    }

    private void run(double seconds) {
        for (double until = now + seconds; now < until; now += 0.005) {
            while (!pendingAcknowledgements.isEmpty()) {
                GossipMessage message = pendingAcknowledgements.poll();
                protocol.handleMessage(now, message.records().get(0).address(), message);
            }
            if (now >= protocol.nextTickAt()) {
                protocol.tick(now);
            }
        }
    }

    /**
     * One lost probe round raises no suspicion, which would have to be refuted towards all members;
     * two in a row do.
     */
    @ParameterizedTest
    @CsvSource({"0.21, false", "0.24, false", "1.5, true"})
    void suspicionTakesTwoLostRoundsInARow(double seconds, boolean expected) {
        for (long seed = 1; seed <= 20; seed++) {
            pendingAcknowledgements.clear();
            suspectedAt.clear();
            MembershipSettings settings = MembershipSettings.defaults();
            protocol =
                    new MembershipProtocol(
                            settings,
                            "n0",
                            member(0).address(),
                            "z",
                            List.of(),
                            seed,
                            new RespondingMembers());
            protocol.start(now);
            for (int i = 1; i <= OTHER_MEMBERS; i++) {
                protocol.handleMessage(
                        now,
                        member(i).address(),
                        new GossipMessage(
                                member(i).name(),
                                1L << 32,
                                Kind.PING,
                                1,
                                "",
                                7,
                                List.of(member(i)),
                                0,
                                0));
            }
            run(5);
            isFirstSilent = true;
            run(seconds);
            isFirstSilent = false;
            run(1);
            assertEquals(expected, !suspectedAt.isEmpty(), "seed " + seed + ": " + suspectedAt);
        }
    }
}
