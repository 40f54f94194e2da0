package junipercourse.net;

import java.util.concurrent.RejectedExecutionException;
import org.tinylog.Logger;
import org.xnio.XnioIoThread;

/** Wakes the loop for its deadlines: one alarm, set for the next of them. */
final class WakeupTimer {
    private final EventLoop loop;
    private final IoThread thread;
    private final DeadlineQueue deadlines = new DeadlineQueue();
    private XnioIoThread.Key wakeUpKey;
    private double nextWakeUp = Double.POSITIVE_INFINITY;
    private int wakeUpCount;

    WakeupTimer(EventLoop loop, IoThread thread) {
        this.loop = loop;
        this.thread = thread;
    }

    /** Runs a task at a time unless it is taken back before. */
    DeadlineQueue.Entry scheduleAt(double time, Runnable task) {
        DeadlineQueue.Entry entry = deadlines.add(time, task);
        rearm();
        return entry;
    }

    /** Takes a deadline back; null and one that has passed are ignored. */
    void cancel(DeadlineQueue.Entry entry) {
        deadlines.remove(entry);
    }

    private void rearm() {
        double next = deadlines.nextTime();
        if (next >= nextWakeUp) {
            return;
        }
        if (wakeUpKey != null) {
            wakeUpKey.remove();
            wakeUpKey = null;
        }
        nextWakeUp = next;
        // XNIO cuts a delay to whole milliseconds, and one under a millisecond to none: rounded
        // down, the
        // rest of each deadline's last millisecond would be spent in a busy loop.
        long millis = (long) Math.ceil(Math.max(0, next - loop.now()) * 1e3);
        try {
            wakeUpKey = thread.executeAfter(millis, this::fire);
        } catch (RejectedExecutionException e) {
            Logger.debug("a deadline came after the loop's end");
        }
    }

    /** How often it went off. */
    int wakeUpCount() {
        return wakeUpCount;
    }

    /**
     * Runs the deadlines that are due, unless a stall is being caught up with, and is set for the
     * next.
     */
    void fire() {
        wakeUpCount++;
        wakeUpKey = null;
        nextWakeUp = Double.POSITIVE_INFINITY;
        loop.recordActivity();
        if (loop.isCatchingUp()) { // StallRecovery comes back here when that is done
            return;
        }
        for (Runnable due = deadlines.pollDue(loop.now());
                due != null;
                due = deadlines.pollDue(loop.now())) {
            thread.runGuarded(due);
        }
        rearm();
    }
}
