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
 * One view among scripted members that answer each question at once, save one that is silent for a
 * while.
 */
class SuspicionTest {
    private static final int OTHERS = 4;
    private final Deque<GossipMessage> answers = new ArrayDeque<>();
    private final List<Double> suspected = new ArrayList<>();
    private double now = 50;
    private boolean silent;
    private MembershipProtocol view;

    private static MemberRecord member(int number) {
        String address = "10.2.0." + (number + 1) + ":7400";
        return new MemberRecord("n" + number, 1L << 32, 0, MemberStatus.ALIVE, address, "z");
    }

    private final class Script implements MembershipListener {
        @Override
        public void send(String to, GossipMessage word) {
            for (int i = 1; i <= OTHERS; i++) {
                boolean asked =
                        to.equals(member(i).address())
                                && word.kind() == Kind.PING
                                && word.subject().equals(member(i).name());
                if (asked && !(silent && i == 1)) {
                    answers.add(
                            new GossipMessage(
                                    member(i).name(),
                                    member(i).incarnation(),
                                    Kind.ACK,
                                    word.sequence(),
                                    member(i).name(),
                                    word.digest(),
                                    List.of(member(i)),
                                    0,
                                    0));
                }
            }
            for (MemberRecord statement : word.records()) {
                if (statement.name().equals("n1") && statement.status() == MemberStatus.SUSPECT) {
                    suspected.add(now);
                }
            }
        }

        @Override
        public void membershipChanged(MembershipSnapshot snapshot) { // what is sent tells it
        }

        @Override
        public void log(String line) { // what is sent tells it
        }
    }

    private void run(double seconds) {
        for (double until = now + seconds; now < until; now += 0.005) {
            while (!answers.isEmpty()) {
                GossipMessage word = answers.poll();
                view.handleMessage(now, word.records().get(0).address(), word);
            }
            if (now >= view.nextTickAt()) {
                view.tick(now);
            }
        }
    }

    /**
     * One lost round is no suspicion, which all would have to hear refuted; two in a row are one.
     */
    @ParameterizedTest
    @CsvSource({"0.21, false", "0.24, false", "1.5, true"})
    void aSuspicionTakesTwoLostRounds(double seconds, boolean expected) {
        for (long seed = 1; seed <= 20; seed++) {
            answers.clear();
            suspected.clear();
            MembershipSettings settings = MembershipSettings.defaults();
            view =
                    new MembershipProtocol(
                            settings,
                            "n0",
                            member(0).address(),
                            "z",
                            List.of(),
                            seed,
                            new Script());
            view.start(now);
            for (int i = 1; i <= OTHERS; i++) {
                view.handleMessage(
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
            silent = true;
            run(seconds);
            silent = false;
            run(1);
            assertEquals(expected, !suspected.isEmpty(), "seed " + seed + ": " + suspected);
        }
    }
}
