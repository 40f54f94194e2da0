package junipercourse.cli;

import java.util.concurrent.CountDownLatch;
import junipercourse.core.Gateway;
import junipercourse.decision.api.DecisionSettings;
import junipercourse.decision.api.QueryClass;
import junipercourse.net.EventLoop;
import junipercourse.pg.PgServer;
import org.tinylog.Logger;

/**
 * The end in good order: goes on for as long as clients may still come, then until all are
 * answered.
 */
final class GracefulShutdown {
    /**
     * New connections keep coming for 0.2 to 0.4 s after SIGTERM and their requests for 0.2 s more
     * (PROTOCOL, Figures); the rest is for the signal's way to us. Not longer: what comes more than
     * 0.7 s after SIGTERM and is found unanswered by SIGKILL is lost, so from then on all is
     * refused at once.
     */
    private static final double STILL_COMING_S = 0.4 + 0.2 + 0.1;

    /** SIGKILL comes so long after the longest deadline, counted from SIGTERM. */
    private static final double KILL_S = 0.7;

    /** Of the longest deadline it counts so much; of a process that is replaced, so much (DAYS). */
    private static final double COUNTED_MOST_S = 3;

    private static final double REPLACED_MOST_S = 5;

    /** For the last bytes on their way to clients and for the end of the JVM. */
    private static final double MARGIN_S = 0.5;

    private static final double HAND_OVER_S = 0.1;
    private static final double LOOK_S = 0.02;

    /** For clients to end their connections once we have: a query crosses that within 50 ms. */
    private static final double LINGER_S = 0.06;

    /** For clients to take what is left of their answers. */
    private static final double LAST_BYTES_S = 0.3;

    private final EventLoop loop;
    private final Gateway gateway;
    private final PgServer front;
    private final double longest;
    private final int kept;
    private final CountDownLatch done = new CountDownLatch(1);
    private boolean listening;
    private boolean begun;

    /** Of a process that is replaced, {@code kept} queries stay in hand at most. */
    GracefulShutdown(
            EventLoop loop, Gateway gateway, PgServer front, DecisionSettings settings, int kept) {
        this.loop = loop;
        this.gateway = gateway;
        this.front = front;
        this.kept = kept;
        longest =
                settings.queryClasses().stream()
                        .mapToDouble(QueryClass::deadlineSeconds)
                        .max()
                        .orElse(0);
    }

    /**
     * Seconds after SIGTERM at which all that is open is answered: {@value #MARGIN_S} before
     * SIGKILL, yet not before the last that may come has come, as with deadlines under half a
     * second.
     *
     * @param longest the longest deadline of the settings
     * @param counted at most so much of it is waited for
     */
    static double answeredAfter(double longest, double counted) {
        return Math.max(STILL_COMING_S, Math.min(counted, longest) + KILL_S - MARGIN_S);
    }

    /** Clients can connect from now on. On the loop's thread. */
    void listening() {
        listening = true;
    }

    /** Whether the end has begun. On the loop's thread. */
    boolean begun() {
        return begun;
    }

    /** Returns once nothing is owed to anybody any more, or no time is left. */
    void run() {
        loop.execute(
                () -> {
                    begun = true;
                    Logger.info("asked to end; {} queries are open", gateway.openQueryCount());
                    if (!listening) { // nobody has come
                        done.countDown();
                        return;
                    }
                    if (front.sharesSocket()) { // those who come are the other processes'
                        front.stopAccepting(this::untilIdle);
                        handOver();
                    } else {
                        loop.scheduleAfter(STILL_COMING_S, this::untilIdle);
                    }
                    loop.scheduleAfter(
                            answeredAfter(),
                            () -> {
                                untilIdle();
                                gateway.shutdownResponder().answerOpenQueries();
                            });
                });
        try {
            done.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private double answeredAfter() {
        return answeredAfter(longest, front.sharesSocket() ? REPLACED_MOST_S : COUNTED_MOST_S);
    }

    /** What comes on connections that were open before is started at once, or sent on as well. */
    private void handOver() {
        gateway.shutdownResponder().handOverQueries(kept);
        loop.scheduleAfter(HAND_OVER_S, this::handOver);
    }

    private void untilIdle() {
        front.beginShutdown(
                () ->
                        gateway.runWhenIdle(
                                () ->
                                        loop.execute(
                                                () -> { // behind sessions' work on what they hold
                                                    front.closeSessions();
                                                    lastBytes(0);
                                                })));
    }

    /**
     * Guards what clients are still taking, and bytes of theirs on the way, against the process's
     * end.
     */
    private void lastBytes(double waited) {
        if (front.hasNoConnections()
                || waited >= (front.hasUnsentBytes() ? LAST_BYTES_S : LINGER_S)) {
            done.countDown();
        } else {
            loop.scheduleAfter(LOOK_S, () -> lastBytes(waited + LOOK_S));
        }
    }
}
