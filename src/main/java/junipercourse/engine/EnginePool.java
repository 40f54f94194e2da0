package junipercourse.engine;

import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.Set;
import junipercourse.core.Counters;
import junipercourse.core.Counters.Count;
import junipercourse.decision.DispatchApi.EngineId;
import junipercourse.net.Descriptors;
import junipercourse.net.Loop;

/**
 * Opens connections to one engine. A later engine at the same address has a pool of its own. Nothing is kept
 * for later queries: a late second copy of an answer would be taken for the answer to another.
 */
final class EnginePool {
    /** How many connections to all engines may be open or opening. */
    static final class Budget {
        /** Of the connections, for polls, pages and DELETEs: no new query may keep those from going out. */
        private static final int FOLLOW_UP_PART = 12;
        private final Set<Runnable> waiting = new LinkedHashSet<>();
        private final Loop loop;
        private final Descriptors.Share share;
        private final int followUps;

        Budget(Loop loop, Descriptors.Share share) {
            this.loop = loop;
            this.share = share;
            followUps = share.most() / FOLLOW_UP_PART;
        }

        boolean take(boolean starts) {
            int spare = starts ? followUps : 0;
            return share.room() > spare && share.take();
        }

        /** One is closed; its descriptor is back once the sockets have been looked at again. */
        void giveBack() {
            share.closing();
            loop.afterNextPass(() -> {
                share.gone();
                next();
            });
            next();
        }

        /** A new query that found no room goes on, in the order come. */
        private void next() {
            if (!waiting.isEmpty() && share.room() > followUps) {
                Runnable first = waiting.iterator().next();
                waiting.remove(first);
                loop.execute(first);
            }
        }
    }

    private final Loop loop;
    private final Budget budget;
    private final EngineId id;
    private final InetSocketAddress address;
    private final double dialTimeout;
    private final Counters counters;
    private boolean ready = true;

    EnginePool(Loop loop, EngineId id, InetSocketAddress address, double dialTimeout, Budget budget,
            Counters counters) {
        this.loop = loop;
        this.budget = budget;
        this.id = id;
        this.address = address;
        this.dialTimeout = dialTimeout;
        this.counters = counters;
    }

    String name() {
        return String.format("s-%08x", id.value());
    }

    InetSocketAddress address() {
        return address;
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

    /** Runs a call on a new connection of its owner's. A call that {@code starts} a query waits for room. */
    void call(EngineCall call, boolean starts, EngineConnection.Owner owner) {
        if (!call.wanted()) { // given up while it waited for room
            budget.next();
            return;
        }
        if (!budget.take(starts)) {
            waitForRoom(call, starts, owner);
            return;
        }
        Loop.Dial dial = loop.dial(address, dialTimeout, c -> {
            counters.add(Count.ENGINES_CONNECTED);
            call.run(new EngineConnection(loop, c, this, owner, counters));
        }, why -> {
            budget.giveBack();
            call.unreachable(why == Loop.DialFailure.REFUSED);
        });
        call.dialing(() -> {
            dial.cancel();
            budget.giveBack();
        });
    }

    /** Our own lack of room is told of no engine: a new query waits for it, other calls try again soon. */
    private void waitForRoom(EngineCall call, boolean starts, EngineConnection.Owner owner) {
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
