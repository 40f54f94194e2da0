package junipercourse.net;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import junipercourse.liveness.StallDetector;
import junipercourse.liveness.StallStatistics;
import org.tinylog.Logger;

/**
 * Detects stalls of the event loop and, after one, delays deadlines until all bytes that arrived
 * during it have been read, so that the delay is not blamed on peers.
 */
final class StallRecovery {
    /**
     * A gap that exceeds the heartbeat interval by this much is a stall; single iterations on a
     * busy core come close to it.
     */
    private static final double MIN_STALL_SECONDS = 0.1;

    /** Smaller corrections of the wall clock happen all the time. */
    private static final double MIN_CLOCK_STEP_SECONDS = 0.25;

    /**
     * Maximum time that deadlines wait, after a stall, for the bytes that arrived during it to be
     * read.
     */
    private static final double MAX_CATCH_UP_SECONDS = 0.3;

    /** The first pass accepts the waiting connections, the second reads from them. */
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
     * @param wakeupTimer fires once the loop has caught up, when the delayed deadlines are due
     * @param heartbeatSeconds maximum time between iterations of the loop
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

    /** Starts to treat gaps as stalls. */
    void startDetection() {
        stallDetector.restartMeasurement(loop.now());
        isDetecting = true;
    }

    /** Seconds in which this process could read its sockets. */
    double responsiveSeconds() {
        return stallDetector.responsiveSeconds();
    }

    /** Converts a Unix time in seconds, received from another process, to loop time. */
    double toLoopTime(double unixSeconds) {
        return stallDetector.toLoopTime(unixSeconds);
    }

    /** Statistics of past stalls and clock steps. */
    StallStatistics statistics() {
        return statistics;
    }

    /**
     * Adds a listener, called for each stall once all bytes that arrived during it have been read,
     * and before any deadline runs.
     */
    void addStallListener(Consumer<StallDetector.Stall> listener) {
        listeners.add(listener);
    }

    /** Whether a stall has ended and bytes that arrived during it are still being read. */
    boolean isCatchingUp() {
        return stall != null;
    }

    /** Runs a task now or, while the loop is catching up, once it has caught up. */
    void runWhenCaughtUp(Runnable task) {
        if (isCatchingUp()) {
            tasksAfterCatchUp.add(task);
        } else {
            thread.runGuarded(task);
        }
    }

    /** Records that the thread is running; the first call after a gap detects the stall. */
    void recordActivity() {
        double now = loop.now();
        StallDetector.Stall detected = isDetecting ? stallDetector.recordIteration(now) : null;
        if (detected != null) {
            remainingProbes = PROBES_TO_CATCH_UP;
            stall = stall == null ? detected : new StallDetector.Stall(stall.startTime(), now);
            stalledUntil = now;
        }
    }

    /**
     * Compares the wall clock with the monotonic clock, and ends a catch-up that takes too long.
     */
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
     * Called at the end of a selector pass. Returns whether another probe is needed to catch up.
     *
     * @param probeReturned whether a probe was received in the pass
     * @param readWatermark all bytes that arrived before this time have been read
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
                "this process did nothing for {} ms; read the pending input in {} ms",
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
