package junipercourse.net;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import junipercourse.liveness.StallDetector;
import junipercourse.liveness.StallStatistics;
import org.tinylog.Logger;

/**
 * The loop's own gaps: finds them, and after one keeps deadlines back until all that came meanwhile
 * is read, so that what was late here is not held against others.
 */
final class StallRecovery {
    /**
     * A gap this much longer than a beat is a stall; single turns of a busy core come close to it.
     */
    private static final double STALL_S = 0.1;

    /** The wall clock is corrected by less than this all the time. */
    private static final double STEP_S = 0.25;

    /** After a stall, deadlines wait for all that came during it no longer than this. */
    private static final double CATCH_UP_MOST_S = 0.3;

    /** The first pass accepts what waited, the second reads it. */
    private static final int MARKS_TO_CATCH_UP = 2;

    private final EventLoop loop;
    private final IoThread thread;
    private final WakeupTimer alarm;
    private final Clock clock;
    private final StallDetector attention;
    private final StallStatistics log = new StallStatistics();
    private final List<Consumer<StallDetector.Stall>> listeners = new ArrayList<>();
    private final ArrayDeque<Runnable> afterCatchUp = new ArrayDeque<>();
    private double stalledUntil = Double.NaN;
    private StallDetector.Stall stall;
    private boolean attending;
    private int marksToCome;

    /**
     * @param alarm goes off once a stall is caught up with: the deadlines kept back are due
     * @param beat between the loop's turns at most, in seconds
     */
    StallRecovery(EventLoop loop, IoThread thread, WakeupTimer alarm, Clock clock, double beat) {
        this.loop = loop;
        this.thread = thread;
        this.alarm = alarm;
        this.clock = clock;
        this.attention = new StallDetector(beat, STALL_S, STEP_S, loop.now(), clock.unix());
    }

    /** From now on gaps are stalls. */
    void attend() {
        attention.restartMeasurement(loop.now());
        attending = true;
    }

    /** Seconds in which this process has attended to its sockets. */
    double attended() {
        return attention.responsiveSeconds();
    }

    /** Turns a Unix time told by others, in seconds, into the loop's. */
    double fromUnix(double unix) {
        return attention.toLoopTime(unix);
    }

    /** Figures of those that were. */
    StallStatistics log() {
        return log;
    }

    /**
     * Is told of each stall once all that came during it was read, and before any deadline is run.
     */
    void onStall(Consumer<StallDetector.Stall> listener) {
        listeners.add(listener);
    }

    /** Whether a stall has ended and what came during it is still being read. */
    boolean catchingUp() {
        return stall != null;
    }

    /** Runs a task at once or, while a stall is being caught up with, when that is done. */
    void whenCaughtUp(Runnable task) {
        if (catchingUp()) {
            afterCatchUp.add(task);
        } else {
            thread.guarded(task);
        }
    }

    /** The thread has a turn: the first after a gap finds the stall. */
    void turn() {
        double now = loop.now();
        StallDetector.Stall found = attending ? attention.recordIteration(now) : null;
        if (found != null) {
            marksToCome = MARKS_TO_CATCH_UP;
            stall = stall == null ? found : new StallDetector.Stall(stall.startTime(), now);
            stalledUntil = now;
        }
    }

    /** Compares the clocks, and ends a catching-up that takes too long. */
    void beat() {
        double wall = clock.unix();
        double step = attention.detectClockStep(loop.now(), wall);
        if (step != 0) {
            log.recordClockStep(step);
            Logger.warn(
                    "the system's clock has stepped by {} s, or the machine was suspended", step);
        }
        if (catchingUp() && loop.now() > stalledUntil + CATCH_UP_MOST_S) {
            caughtUp();
        }
    }

    /**
     * A pass over the sockets has ended. Returns whether one more mark is needed to catch up.
     *
     * @param looked whether a mark came home in it
     * @param readUpTo all that came before this time has been read
     */
    boolean wantMark(boolean looked, double readUpTo) {
        if (!catchingUp()) {
            return false;
        }
        if (looked && readUpTo >= stalledUntil) {
            marksToCome--;
        }
        if (marksToCome <= 0) {
            caughtUp();
            return false;
        }
        return true;
    }

    private void caughtUp() {
        StallDetector.Stall ended = stall;
        stall = null;
        log.recordStall(ended, clock.unix());
        log.recordCatchUp(loop.now() - ended.endTime());
        Logger.warn(
                "this process did nothing for {} ms; read what came meanwhile in {} ms",
                Math.round(ended.durationSeconds() * 1e3),
                Math.round((loop.now() - ended.endTime()) * 1e3));
        listeners.forEach(l -> thread.guarded(() -> l.accept(ended)));
        for (Runnable task = afterCatchUp.poll(); task != null; task = afterCatchUp.poll()) {
            thread.guarded(task);
        }
        alarm.fire();
    }
}
