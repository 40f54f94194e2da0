package junipercourse.cli;

import java.util.concurrent.CountDownLatch;
import junipercourse.core.Gateway;
import junipercourse.decision.DispatchApi.QueryClass;
import junipercourse.decision.DispatchApi.Settings;
import junipercourse.net.Loop;
import junipercourse.pg.PgFront;
import org.tinylog.Logger;

/** The end in good order: goes on for as long as clients may still come, then until all are answered. */
final class Ending {
    /** New connections keep coming for 0.4 s after a planned restart begins, and their queries after that. */
    private static final double STILL_COMING_S = 0.75;
    /** SIGKILL comes 0.7 s and the longest deadline after SIGTERM, of which it counts 3 s: we go before. */
    private static final double ALL_ANSWERED_S = 3.2;
    /** Of a process that is replaced, it counts 5 s (DAYS); we go half a second before it. */
    private static final double REPLACED_MOST_S = 5;
    private static final double REPLACED_MARGIN_S = 0.2;
    private static final double HAND_OVER_S = 0.1;
    private static final double LAST_BYTES_S = 0.05;
    private static final double LAST_BYTES_MOST_S = 0.3;

    private final Loop loop;
    private final Gateway gateway;
    private final PgFront front;
    private final double longest;
    private final int kept;
    private final CountDownLatch done = new CountDownLatch(1);
    private boolean listening;
    private boolean begun;

    /** Of a process that is replaced, {@code kept} queries stay in hand at most. */
    Ending(Loop loop, Gateway gateway, PgFront front, Settings settings, int kept) {
        this.loop = loop;
        this.gateway = gateway;
        this.front = front;
        this.kept = kept;
        longest = settings.classes().stream().mapToDouble(QueryClass::deadline).max().orElse(0);
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
        loop.execute(() -> {
            begun = true;
            Logger.info("asked to end; {} queries are open", gateway.open());
            if (!listening) { // nobody has come
                done.countDown();
                return;
            }
            if (front.sharesSocket()) { // those who come are the other processes'
                front.leaveToOthers(this::untilIdle);
                handOver();
            } else {
                loop.after(STILL_COMING_S, this::untilIdle);
            }
            loop.after(answeredAfter(), () -> {
                untilIdle();
                gateway.lastAnswers().answerAll();
            });
        });
        try {
            done.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private double answeredAfter() {
        return front.sharesSocket() ? Math.min(REPLACED_MOST_S, longest) + REPLACED_MARGIN_S : ALL_ANSWERED_S;
    }

    /** What comes on connections that were open before is started at once, or sent on as well. */
    private void handOver() {
        gateway.lastAnswers().handOver(kept);
        loop.after(HAND_OVER_S, this::handOver);
    }

    private void untilIdle() {
        front.end();
        gateway.whenIdle(() -> lastBytes(LAST_BYTES_MOST_S));
    }

    /** Guards answers that their clients are still taking against the end of the process. */
    private void lastBytes(double most) {
        loop.after(LAST_BYTES_S, () -> {
            if (front.unsent() && most > 0) {
                lastBytes(most - LAST_BYTES_S);
            } else {
                done.countDown();
            }
        });
    }
}
