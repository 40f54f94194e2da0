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
        private static final int FOLLOW_UP_DIVISOR = 12;

        private final Set<Runnable> waitingStarts = new LinkedHashSet<>();
        private final EventLoop loop;
        private final DescriptorBudget.Share share;
        private final int followUpReserve;

        Budget(EventLoop loop, DescriptorBudget.Share share) {
            this.loop = loop;
            this.share = share;
            followUpReserve = share.maxOpen() / FOLLOW_UP_DIVISOR;
        }

        boolean tryAcquire(boolean startsQuery) {
            int reserve = startsQuery ? followUpReserve : 0;
            return share.available() > reserve && share.tryAcquire();
        }

        /** One is closed; its descriptor is back once the sockets have been looked at again. */
        void release() {
            share.markClosing();
            loop.runAfterNextPass(
                    () -> {
                        share.markClosed();
                        resumeNextWaiting();
                    });
            resumeNextWaiting();
        }

        /** A new query that found no room goes on, in the order come. */
        private void resumeNextWaiting() {
            if (!waitingStarts.isEmpty() && share.available() > followUpReserve) {
                Runnable longestWaiting = waitingStarts.iterator().next();
                waitingStarts.remove(longestWaiting);
                loop.execute(longestWaiting);
            }
        }
    }

    private final EventLoop loop;
    private final Budget budget;
    private final EngineEndpoint endpoint;
    private final double dialTimeoutSeconds;
    private final Counters counters;
    private boolean isReady = true;

    EnginePool(
            EventLoop loop,
            EngineEndpoint endpoint,
            double dialTimeoutSeconds,
            Budget budget,
            Counters counters) {
        this.loop = loop;
        this.budget = budget;
        this.endpoint = endpoint;
        this.dialTimeoutSeconds = dialTimeoutSeconds;
        this.counters = counters;
    }

    String engineName() {
        return String.format("s-%08x", endpoint.engine().id().value());
    }

    /** Whether a listed engine is this one, where it was and not started since. */
    boolean matches(EngineEndpoint other) {
        return endpoint.address().equals(other.address())
                && endpoint.engine().startedAt() == other.engine().startedAt();
    }

    /** Seconds in which a connection comes up or is given up. */
    double dialTimeoutSeconds() {
        return dialTimeoutSeconds;
    }

    /** Whether new work may go there now. */
    boolean isReady() {
        return isReady;
    }

    void setReady(boolean acceptsQueries) {
        isReady = acceptsQueries;
    }

    /**
     * Runs a call on a new connection of its owner's. A call that {@code starts} a query waits for
     * room.
     */
    void callOnNewConnection(HttpCall call, boolean startsQuery, EngineConnection.Owner owner) {
        if (!call.isPending()) { // given up while it waited for room
            budget.resumeNextWaiting();
            return;
        }
        if (!budget.tryAcquire(startsQuery)) {
            waitForConnection(call, startsQuery, owner);
            return;
        }
        EventLoop.Dial dial =
                loop.dial(
                        endpoint.address(),
                        dialTimeoutSeconds,
                        stream -> {
                            counters.increment(Count.ENGINES_CONNECTED);
                            EngineConnection connection =
                                    new EngineConnection(loop, stream, this, owner, counters);
                            call.setConnectCanceller(connection::close);
                            loop.runWhenCaughtUp(
                                    () -> call.writeOn(connection)); // a cancel or a drain may lie
                            // unread
                            // after a stall
                        },
                        failure -> {
                            budget.release();
                            call.failUnreachable(failure == EventLoop.DialFailure.REFUSED);
                        });
        call.setConnectCanceller(
                () -> {
                    dial.cancel();
                    budget.release();
                });
    }

    /**
     * Our own lack of room is told of no engine: a new query waits for it, other calls try again
     * soon.
     */
    private void waitForConnection(
            HttpCall call, boolean startsQuery, EngineConnection.Owner owner) {
        if (startsQuery) {
            Runnable resume = () -> callOnNewConnection(call, true, owner);
            budget.waitingStarts.add(resume);
            call.setConnectCanceller(() -> budget.waitingStarts.remove(resume));
        } else {
            loop.execute(call::withdraw);
        }
    }

    /** A connection has been closed; each says so once. */
    void onConnectionClosed() {
        budget.release();
    }
}
