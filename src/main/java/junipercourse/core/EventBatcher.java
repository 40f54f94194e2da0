package junipercourse.core;

import java.util.ArrayDeque;
import java.util.function.DoubleConsumer;
import junipercourse.core.Counters.Count;
import junipercourse.net.EventLoop;
import org.tinylog.Logger;

/**
 * Collects events for the decision module and passes all that have arrived in one batch, so that
 * one decision covers them.
 */
final class EventBatcher {
    private static final double FAULT_RETRY_DELAY_SECONDS = 0.05;

    private final EventLoop loop;
    private final Counters counters;
    private final Runnable afterEvents;
    private final DoubleConsumer decide;
    private final ArrayDeque<DoubleConsumer> events = new ArrayDeque<>();
    private double lastBatchTime = Double.NEGATIVE_INFINITY;
    private boolean isBatchScheduled;

    /** Runs {@code afterEvents} and then {@code decide} after the events of each batch. */
    EventBatcher(EventLoop loop, Counters counters, Runnable afterEvents, DoubleConsumer decide) {
        this.loop = loop;
        this.counters = counters;
        this.afterEvents = afterEvents;
        this.decide = decide;
    }

    /** Returns the time of the last batch, in loop time. */
    double lastBatchTime() {
        return lastBatchTime;
    }

    /** Adds an event to the next batch. */
    void enqueue(DoubleConsumer event) {
        events.add(event);
        if (!isBatchScheduled) {
            isBatchScheduled = true;
            loop.execute(this::processBatch);
        }
    }

    private void processBatch() {
        if (loop.isCatchingUp()) { // the module decides after everything that arrived is read
            loop.runWhenCaughtUp(this::processBatch);
            return;
        }
        isBatchScheduled = false;
        double now = loop.now();
        lastBatchTime = now;
        for (DoubleConsumer event = events.poll(); event != null; event = events.poll()) {
            runCatching(event, now);
        }
        afterEvents.run();
        if (!runCatching(decide, now)) { // the failed decision may not have set its next timer
            loop.scheduleAfter(FAULT_RETRY_DELAY_SECONDS, () -> enqueue(batchTime -> {}));
        }
    }

    /**
     * Runs a call into the decision module and returns whether it succeeded. An exception affects
     * only this call; the query involved is still answered at its deadline.
     */
    boolean runCatching(DoubleConsumer call, double now) {
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
