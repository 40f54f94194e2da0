package junipercourse.core;

import java.util.ArrayDeque;
import java.util.function.Consumer;
import java.util.function.DoubleConsumer;
import junipercourse.liveness.ArrivalOrder;
import junipercourse.net.DeadlineQueue;
import junipercourse.net.EventLoop;

/**
 * Lets queries of ordered keys to the module in the order that they came, however late they were
 * read.
 */
final class KeyOrderGate {
    /** Clients leave 60 ms between two queries of a key (PROTOCOL); a little less may arrive. */
    private static final double KEY_APART_S = 0.05;

    /** A query whose place in its key's order is open is refused after so long. */
    private static final double ORDER_WAIT_S = 0.3;

    private static final double ORDER_LOOK_S = 0.005;

    /** What becomes of a query at the time given. */
    interface Verdict {
        void on(InFlightQuery x, double now);
    }

    private final EventLoop loop;
    private final Consumer<DoubleConsumer> events;
    private final Verdict inOrder;
    private final Verdict unordered;
    private final ArrivalOrder keyOrder = new ArrivalOrder(KEY_APART_S);
    private final ArrayDeque<InFlightQuery> unsettled = new ArrayDeque<>();
    private DeadlineQueue.Entry unsettledLook;

    /** {@code events} queues an event of the next turn. */
    KeyOrderGate(
            EventLoop loop, Consumer<DoubleConsumer> events, Verdict inOrder, Verdict unordered) {
        this.loop = loop;
        this.events = events;
        this.inOrder = inOrder;
        this.unordered = unordered;
    }

    void admit(InFlightQuery x, double now) {
        unsettled.add(x);
        admitSettled(now);
    }

    /**
     * Guards the order of keys: a request goes on once nothing that came before it can be unread.
     */
    private void admitSettled(double now) {
        double readUpTo = loop.readWatermark();
        for (InFlightQuery x = unsettled.peek(); x != null; x = unsettled.peek()) {
            boolean settled = keyOrder.isSettled(x.query.arrival(), readUpTo);
            boolean waits = !settled && now < x.query.arrival().readAt() + ORDER_WAIT_S;
            if (waits && !x.answered) {
                lookAtUnsettled();
                break;
            }
            unsettled.poll();
            if (!x.answered) {
                if (settled && keyOrder.admit(x.query.orderKey(), x.query.arrival())) {
                    inOrder.on(x, now);
                } else {
                    unordered.on(x, now);
                }
            }
        }
    }

    private void lookAtUnsettled() {
        if (unsettledLook == null) {
            unsettledLook =
                    loop.scheduleAfter(
                            ORDER_LOOK_S,
                            () -> {
                                unsettledLook = null;
                                events.accept(this::admitSettled);
                            });
        }
    }

    /** All events of a turn are told. */
    void turnTold() {
        if (unsettled.isEmpty()) { // and no event is left
            keyOrder.discardSettledKeys(loop.readWatermark());
        }
    }
}
