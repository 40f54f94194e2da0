package junipercourse.engine;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;
import junipercourse.core.Counters;
import junipercourse.core.Counters.Count;
import junipercourse.decision.DispatchApi.EngineId;
import junipercourse.net.Descriptors;
import junipercourse.net.Loop;

/** The connections to one engine. A later engine at the same address has a pool of its own. */
final class EnginePool {
    private static final int MOST_IDLE = 32;
    /** Before a connection is used again: by then what an engine sends beyond its answer has come. */
    static final double REST_S = 0.002;

    /** How many connections to all engines may be open or opening; idle ones make room for others. */
    static final class Budget {
        /** Of the connections, for polls, pages and DELETEs: no new query may keep those from going out. */
        private static final int FOLLOW_UP_PART = 12;
        private final Set<EngineConnection> idle = new LinkedHashSet<>();
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
            if (share.room() <= spare && !idle.isEmpty()) {
                idle.iterator().next().close(); // the one that has been idle for longest, of whatever engine
            }
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

        private void idle(EngineConnection connection) {
            idle.add(connection);
            next();
        }

        /** A new query that found no room goes on, in the order come. */
        private void next() {
            if (!waiting.isEmpty() && (share.room() > followUps || !idle.isEmpty())) {
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
    private final double idleSeconds;
    private final Counters counters;
    private final ArrayDeque<EngineConnection> idle = new ArrayDeque<>();
    private final Set<EngineConnection> all = new HashSet<>();
    private boolean listed = true;
    private boolean ready = true;

    EnginePool(Loop loop, EngineId id, InetSocketAddress address, double dialTimeout, double idleSeconds,
            Budget budget, Counters counters) {
        this.loop = loop;
        this.budget = budget;
        this.id = id;
        this.address = address;
        this.dialTimeout = dialTimeout;
        this.idleSeconds = idleSeconds;
        this.counters = counters;
    }

    String name() {
        return String.format("s-%08x", id.value());
    }

    InetSocketAddress address() {
        return address;
    }

    /** Whether new work may go there now. */
    boolean ready() {
        return ready;
    }

    void ready(boolean takesWork) {
        ready = takesWork;
    }

    /** Runs a call on an idle connection or, if there is none or a fresh one is wanted, on a new one. */
    void call(EngineCall call, boolean fresh, boolean starts) {
        if (!call.wanted()) { // given up while it waited for room
            budget.next();
            return;
        }
        EngineConnection reused = fresh ? null : freshestIdle();
        if (reused != null) {
            call.run(reused, this);
            return;
        }
        if (!budget.take(starts)) {
            waitForRoom(call, starts);
            return;
        }
        Loop.Dial dial = loop.dial(address, dialTimeout, c -> {
            counters.add(Count.ENGINES_CONNECTED);
            EngineConnection connection = new EngineConnection(loop, c, this, counters);
            all.add(connection);
            call.run(connection, this);
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
    private void waitForRoom(EngineCall call, boolean starts) {
        if (starts) {
            Runnable goOn = () -> call(call, false, true);
            budget.waiting.add(goOn);
            call.dialing(() -> budget.waiting.remove(goOn));
        } else {
            loop.execute(call::takenBack);
        }
    }

    private EngineConnection freshestIdle() {
        expire();
        double rested = loop.now() - REST_S;
        for (Iterator<EngineConnection> i = idle.descendingIterator(); i.hasNext();) {
            EngineConnection c = i.next();
            if (c.idleSince <= rested) {
                i.remove();
                budget.idle.remove(c);
                if (c.quiet()) {
                    return c;
                }
                counters.add(Count.ENGINES_GARBLED);
                c.close();
            }
        }
        return null;
    }

    /** Closes what has been idle for so long that the engine may be about to close it itself. */
    void expire() {
        double oldest = loop.now() - idleSeconds;
        while (!idle.isEmpty() && idle.peek().idleSince < oldest) {
            idle.peek().close();
        }
    }

    /** Takes a connection back that can serve another call. */
    void idle(EngineConnection connection) {
        if (!listed || idle.size() >= MOST_IDLE) {
            connection.close();
            return;
        }
        connection.idleSince = loop.now();
        idle.add(connection);
        budget.idle(connection);
    }

    /** The one place where a connection leaves the pool. */
    void left(EngineConnection connection) {
        if (all.remove(connection)) {
            budget.giveBack();
        }
        if (budget.idle.remove(connection)) {
            idle.remove(connection);
        }
    }

    /** The engine has gone: idle connections are closed, others as soon as their call is over. */
    void retire() {
        listed = false;
        ready = false;
        while (!idle.isEmpty()) {
            idle.peek().close();
        }
    }
}
