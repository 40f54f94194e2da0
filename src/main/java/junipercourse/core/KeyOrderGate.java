package junipercourse.core;

import java.util.ArrayDeque;
import java.util.function.Consumer;
import java.util.function.DoubleConsumer;
import java.util.function.DoubleSupplier;
import junipercourse.liveness.ArrivalOrder;
import junipercourse.net.DeadlineQueue;
import junipercourse.net.EventLoop;

/**
 * Passes queries of ordered keys to the decision module in the order of their arrival, however late
 * they were read.
 */
final class KeyOrderGate {
    /**
     * Clients wait 60 ms between two queries of a key (PROTOCOL); the gap may have shrunk a little
     * on arrival.
     */
    private static final double MIN_KEY_GAP_SECONDS = 0.05;

    /** A query whose place in the order of its key is still unknown after this time is rejected. */
    private static final double MAX_ORDER_WAIT_SECONDS = 0.3;

    private static final double ORDER_CHECK_INTERVAL_SECONDS = 0.005;
    private static final double DISCARD_INTERVAL_SECONDS = 0.01;

    /** Handles a query that leaves the gate. */
    interface QueryAction {
        void apply(InFlightQuery inFlight, double batchTime);
    }

    private final EventLoop loop;
    private final Consumer<DoubleConsumer> enqueueEvent;
    private final QueryAction onOrdered;
    private final QueryAction onUnordered;
    private final ArrivalOrder arrivalOrder = new ArrivalOrder(MIN_KEY_GAP_SECONDS);
    private final ArrayDeque<InFlightQuery> pending = new ArrayDeque<>();
    private DeadlineQueue.Entry checkTimer;
    private DoubleSupplier unprocessedSince = () -> Double.POSITIVE_INFINITY;
    private double lastDiscardAt = Double.NEGATIVE_INFINITY;

    /** Creates a gate; {@code enqueueEvent} adds an event to the next batch. */
    KeyOrderGate(
            EventLoop loop,
            Consumer<DoubleConsumer> enqueueEvent,
            QueryAction onOrdered,
            QueryAction onUnordered) {
        this.loop = loop;
        this.enqueueEvent = enqueueEvent;
        this.onOrdered = onOrdered;
        this.onUnordered = onUnordered;
    }

    /** Sets what tells since when bytes of clients may have waited to be processed. */
    void setUnprocessedSince(DoubleSupplier source) {
        unprocessedSince = source;
    }

    void enqueue(InFlightQuery inFlight, double batchTime) {
        pending.add(inFlight);
        processPending(batchTime);
    }

    /**
     * Releases the pending queries in reading order, each once nothing that arrived before it can
     * be unread.
     */
    private void processPending(double batchTime) {
        double watermark = loop.readWatermark();
        for (InFlightQuery inFlight = pending.peek(); inFlight != null; inFlight = pending.peek()) {
            boolean isSettled = arrivalOrder.isSettled(inFlight.query.arrival(), watermark);
            boolean mustWait =
                    !isSettled
                            && batchTime
                                    < inFlight.query.arrival().readAt() + MAX_ORDER_WAIT_SECONDS;
            if (mustWait && !inFlight.isAnswered) {
                scheduleCheck();
                break;
            }
            pending.poll();
            if (!inFlight.isAnswered) {
                if (isSettled
                        && arrivalOrder.admit(
                                inFlight.query.orderKey(), inFlight.query.arrival())) {
                    onOrdered.apply(inFlight, batchTime);
                } else {
                    onUnordered.apply(inFlight, batchTime);
                }
            }
        }
    }

    private void scheduleCheck() {
        if (checkTimer == null) {
            checkTimer =
                    loop.scheduleAfter(
                            ORDER_CHECK_INTERVAL_SECONDS,
                            () -> {
                                checkTimer = null;
                                enqueueEvent.accept(this::processPending);
                            });
        }
    }

    /** Called when all events of a batch have been processed. */
    void onBatchProcessed() {
        double now = loop.now();
        // a pending query may have arrived before admitted ones
        if (pending.isEmpty()
                && arrivalOrder.trackedKeyCount() > 0
                && now >= lastDiscardAt + DISCARD_INTERVAL_SECONDS) {
            lastDiscardAt = now;
            arrivalOrder.discardSettledKeys(
                    Math.min(loop.readWatermark(), unprocessedSince.getAsDouble()));
        }
    }
}
