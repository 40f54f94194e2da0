package junipercourse.net;

import org.xnio.XnioIoThread;

/** Wakes the event loop for its deadlines, with one timer set for the next of them. */
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

    /** Runs a task at a loop time unless it is cancelled before. */
    DeadlineQueue.Entry scheduleAt(double time, Runnable task) {
        DeadlineQueue.Entry entry = deadlines.add(time, task);
        rearm();
        return entry;
    }

    /** Cancels a deadline; null and a deadline that has passed are ignored. */
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
        // XNIO truncates a delay to whole milliseconds: rounded down, the last partial millisecond
        // before each deadline would be spent in a busy loop of delays of zero.
        long millis = (long) Math.ceil(Math.max(0, next - loop.now()) * 1e3);
        wakeUpKey = thread.executeAfter(millis, this::fire);
    }

    /** How often the timer has fired. */
    int wakeUpCount() {
        return wakeUpCount;
    }

    /**
     * Runs the deadlines that are due, unless the loop is catching up after a stall, and sets the
     * timer for the next.
     */
    void fire() {
        wakeUpCount++;
        wakeUpKey = null;
        nextWakeUp = Double.POSITIVE_INFINITY;
        loop.recordActivity();
        if (loop.isCatchingUp()) { // StallRecovery calls fire() again afterwards
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
