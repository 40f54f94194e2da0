package junipercourse.engine;

import java.util.LinkedHashSet;
import java.util.Set;
import junipercourse.core.Backend.EngineEndpoint;
import junipercourse.core.Counters;
import junipercourse.core.Counters.Count;
import junipercourse.net.DescriptorBudget;
import junipercourse.net.EventLoop;

/**
 * Opens connections to one engine in one of its lives. A later engine at the same address has a
 * pool of its own, and so has one that was started again under its id: what waits for the old one
 * goes to neither. Nothing is kept for later queries: a late second copy of an answer would be
 * taken for that to another.
 */
final class EnginePool {
    /** How many connections to all engines may be open or opening. */
    static final class Budget {
        /**
         * Of the connections, for polls, pages and DELETEs: no new query may keep those from going
         * out.
         */
        private static final int FOLLOW_UP_PART = 12;

        private final Set<Runnable> waiting = new LinkedHashSet<>();
        private final EventLoop loop;
        private final DescriptorBudget.Share share;
        private final int followUps;

        Budget(EventLoop loop, DescriptorBudget.Share share) {
            this.loop = loop;
            this.share = share;
            followUps = share.maxOpen() / FOLLOW_UP_PART;
        }

        boolean take(boolean starts) {
            int spare = starts ? followUps : 0;
            return share.available() > spare && share.tryAcquire();
        }

        /** One is closed; its descriptor is back once the sockets have been looked at again. */
        void giveBack() {
            share.markClosing();
            loop.runAfterNextPass(
                    () -> {
                        share.markClosed();
                        next();
                    });
            next();
        }

        /** A new query that found no room goes on, in the order come. */
        private void next() {
            if (!waiting.isEmpty() && share.available() > followUps) {
                Runnable first = waiting.iterator().next();
                waiting.remove(first);
                loop.execute(first);
            }
        }
    }

    private final EventLoop loop;
    private final Budget budget;
    private final EngineEndpoint member;
    private final double dialTimeout;
    private final Counters counters;
    private boolean ready = true;

    EnginePool(
            EventLoop loop,
            EngineEndpoint member,
            double dialTimeout,
            Budget budget,
            Counters counters) {
        this.loop = loop;
        this.budget = budget;
        this.member = member;
        this.dialTimeout = dialTimeout;
        this.counters = counters;
    }

    String name() {
        return String.format("s-%08x", member.engine().id().value());
    }

    /** Whether a listed engine is this one, where it was and not started since. */
    boolean isOf(EngineEndpoint listed) {
        return member.address().equals(listed.address())
                && member.engine().startedAt() == listed.engine().startedAt();
    }

    /** Seconds in which a connection comes up or is given up. */
    double dialTimeout() {
        return dialTimeout;
    }

    /** Whether new work may go there now. */
    boolean ready() {
        return ready;
    }

    void ready(boolean takesWork) {
        ready = takesWork;
    }

    /**
     * Runs a call on a new connection of its owner's. A call that {@code starts} a query waits for
     * room.
     */
    void call(HttpCall call, boolean starts, EngineConnection.Owner owner) {
        if (!call.wanted()) { // given up while it waited for room
            budget.next();
            return;
        }
        if (!budget.take(starts)) {
            waitForRoom(call, starts, owner);
            return;
        }
        EventLoop.Dial dial =
                loop.dial(
                        member.address(),
                        dialTimeout,
                        c -> {
                            counters.increment(Count.ENGINES_CONNECTED);
                            EngineConnection up =
                                    new EngineConnection(loop, c, this, owner, counters);
                            call.dialing(up::close);
                            loop.runWhenCaughtUp(
                                    () -> call.run(up)); // a cancel or a drain may lie unread
                            // after a stall
                        },
                        why -> {
                            budget.giveBack();
                            call.unreachable(why == EventLoop.DialFailure.REFUSED);
                        });
        call.dialing(
                () -> {
                    dial.cancel();
                    budget.giveBack();
                });
    }

    /**
     * Our own lack of room is told of no engine: a new query waits for it, other calls try again
     * soon.
     */
    private void waitForRoom(HttpCall call, boolean starts, EngineConnection.Owner owner) {
        if (starts) {
            Runnable goOn = () -> call(call, true, owner);
            budget.waiting.add(goOn);
            call.dialing(() -> budget.waiting.remove(goOn));
        } else {
            loop.execute(call::takenBack);
        }
    }

    /** A connection has been closed; each says so once. */
    void left() {
        budget.giveBack();
    }
}
