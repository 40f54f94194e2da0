package junipercourse.core;

import java.util.ArrayDeque;
import java.util.function.DoubleConsumer;
import junipercourse.core.Counters.Count;
import junipercourse.net.EventLoop;
import org.tinylog.Logger;

/**
 * Gathers the events for the module: one turn tells all that have come, so that one settle serves
 * them.
 */
final class EventBatcher {
    private static final double AFTER_FAULT_S = 0.05;

    private final EventLoop loop;
    private final Counters counters;
    private final Runnable allTold;
    private final DoubleConsumer settle;
    private final ArrayDeque<DoubleConsumer> events = new ArrayDeque<>();
    private double lastTurn = Double.NEGATIVE_INFINITY;
    private boolean turnDue;

    /** After the events of a turn, {@code allTold} and then {@code settle} are run. */
    EventBatcher(EventLoop loop, Counters counters, Runnable allTold, DoubleConsumer settle) {
        this.loop = loop;
        this.counters = counters;
        this.allTold = allTold;
        this.settle = settle;
    }

    /** When the last turn was, in the loop's seconds. */
    double last() {
        return lastTurn;
    }

    /** Queues an event for the next turn. */
    void event(DoubleConsumer event) {
        events.add(event);
        if (!turnDue) {
            turnDue = true;
            loop.execute(this::turn);
        }
    }

    private void turn() {
        if (loop.isCatchingUp()) { // first all that came is read, then the module decides
            loop.runWhenCaughtUp(this::turn);
            return;
        }
        turnDue = false;
        double now = loop.now();
        lastTurn = now;
        for (DoubleConsumer e = events.poll(); e != null; e = events.poll()) {
            guarded(e, now);
        }
        allTold.run();
        if (!guarded(settle, now)) { // it may have lost its timer with its turn
            loop.scheduleAfter(AFTER_FAULT_S, () -> event(later -> {}));
        }
    }

    /**
     * An exception in the module costs the event at hand; a query's last moment still answers it.
     */
    boolean guarded(DoubleConsumer call, double now) {
        try {
            call.accept(now);
            return true;
        } catch (RuntimeException e) {
            counters.increment(Count.INTERNAL_ERRORS);
            Logger.error(e, "the decision module failed");
            return false;
        }
    }
}
