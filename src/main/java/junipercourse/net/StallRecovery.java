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
    private static final double MIN_STALL_SECONDS = 0.1;

    /** The wall clock is corrected by less than this all the time. */
    private static final double MIN_CLOCK_STEP_SECONDS = 0.25;

    /** After a stall, deadlines wait for all that came during it no longer than this. */
    private static final double MAX_CATCH_UP_SECONDS = 0.3;

    /** The first pass accepts what waited, the second reads it. */
    private static final int PROBES_TO_CATCH_UP = 2;

    private final EventLoop loop;
    private final IoThread thread;
    private final WakeupTimer wakeupTimer;
    private final Clock clock;
    private final StallDetector stallDetector;
    private final StallStatistics statistics = new StallStatistics();
    private final List<Consumer<StallDetector.Stall>> listeners = new ArrayList<>();
    private final ArrayDeque<Runnable> tasksAfterCatchUp = new ArrayDeque<>();
    private double stalledUntil = Double.NaN;
    private StallDetector.Stall stall;
    private boolean isDetecting;
    private int remainingProbes;

    /**
     * @param alarm goes off once a stall is caught up with: the deadlines kept back are due
     * @param beat between the loop's turns at most, in seconds
     */
    StallRecovery(
            EventLoop loop,
            IoThread thread,
            WakeupTimer wakeupTimer,
            Clock clock,
            double heartbeatSeconds) {
        this.loop = loop;
        this.thread = thread;
        this.wakeupTimer = wakeupTimer;
        this.clock = clock;
        this.stallDetector =
                new StallDetector(
                        heartbeatSeconds,
                        MIN_STALL_SECONDS,
                        MIN_CLOCK_STEP_SECONDS,
                        loop.now(),
                        clock.unixSeconds());
    }

    /** From now on gaps are stalls. */
    void startDetection() {
        stallDetector.restartMeasurement(loop.now());
        isDetecting = true;
    }

    /** Seconds in which this process has attended to its sockets. */
    double attendedSeconds() {
        return stallDetector.responsiveSeconds();
    }

    /** Turns a Unix time told by others, in seconds, into the loop's. */
    double fromUnix(double unix) {
        return stallDetector.toLoopTime(unix);
    }

    /** Figures of those that were. */
    StallStatistics statistics() {
        return statistics;
    }

    /**
     * Is told of each stall once all that came during it was read, and before any deadline is run.
     */
    void addStallListener(Consumer<StallDetector.Stall> listener) {
        listeners.add(listener);
    }

    /** Whether a stall has ended and what came during it is still being read. */
    boolean isCatchingUp() {
        return stall != null;
    }

    /** Runs a task at once or, while a stall is being caught up with, when that is done. */
    void runWhenCaughtUp(Runnable task) {
        if (isCatchingUp()) {
            tasksAfterCatchUp.add(task);
        } else {
            thread.runGuarded(task);
        }
    }

    /** The thread has a turn: the first after a gap finds the stall. */
    void recordActivity() {
        double now = loop.now();
        StallDetector.Stall detected = isDetecting ? stallDetector.recordIteration(now) : null;
        if (detected != null) {
            remainingProbes = PROBES_TO_CATCH_UP;
            stall = stall == null ? detected : new StallDetector.Stall(stall.startTime(), now);
            stalledUntil = now;
        }
    }

    /** Compares the clocks, and ends a catching-up that takes too long. */
    void onHeartbeat() {
        double wallSeconds = clock.unixSeconds();
        double stepSeconds = stallDetector.detectClockStep(loop.now(), wallSeconds);
        if (stepSeconds != 0) {
            statistics.recordClockStep(stepSeconds);
            Logger.warn(
                    "the system's clock has stepped by {} s, or the machine was suspended",
                    stepSeconds);
        }
        if (isCatchingUp() && loop.now() > stalledUntil + MAX_CATCH_UP_SECONDS) {
            finishCatchUp();
        }
    }

    /**
     * A pass over the sockets has ended. Returns whether one more mark is needed to catch up.
     *
     * @param looked whether a mark came home in it
     * @param readUpTo all that came before this time has been read
     */
    boolean needsProbe(boolean probeReturned, double readWatermark) {
        if (!isCatchingUp()) {
            return false;
        }
        if (probeReturned && readWatermark >= stalledUntil) {
            remainingProbes--;
        }
        if (remainingProbes <= 0) {
            finishCatchUp();
            return false;
        }
        return true;
    }

    private void finishCatchUp() {
        StallDetector.Stall endedStall = stall;
        stall = null;
        statistics.recordStall(endedStall, clock.unixSeconds());
        statistics.recordCatchUp(loop.now() - endedStall.endTime());
        Logger.warn(
                "this process did nothing for {} ms; read what came meanwhile in {} ms",
                Math.round(endedStall.durationSeconds() * 1e3),
                Math.round((loop.now() - endedStall.endTime()) * 1e3));
        listeners.forEach(listener -> thread.runGuarded(() -> listener.accept(endedStall)));
        for (Runnable task = tasksAfterCatchUp.poll();
                task != null;
                task = tasksAfterCatchUp.poll()) {
            thread.runGuarded(task);
        }
        wakeupTimer.fire();
    }
}
