package junipercourse.engine;

import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.Set;
import junipercourse.core.Backend.EngineEndpoint;
import junipercourse.core.Counters;
import junipercourse.core.Counters.Count;
import junipercourse.net.DescriptorBudget;
import junipercourse.net.Dial;
import junipercourse.net.EventLoop;

/**
 * Opens connections to one engine process. A later engine at the same address, or one restarted
 * under the same id, has a pool of its own, so that calls waiting for the old process reach
 * neither. No connection is reused for later queries: a late duplicate of a response would be taken
 * for the response to another query.
 */
final class EnginePool {
    /** Limits the connections to all engines that are open or being opened. */
    static final class Budget {
        /**
         * One in this many connections is reserved for polls, pages and DELETEs, which new queries
         * must not block.
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

        /** Releases a closed connection; its descriptor is free after the next selector pass. */
        void release() {
            share.markClosing();
            loop.runAfterNextPass(
                    () -> {
                        share.markClosed();
                        resumeNextWaiting();
                    });
            resumeNextWaiting();
        }

        /** Resumes the new query that has waited longest for a connection. */
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
    private final ListedAddresses listedAddresses;
    private final double dialTimeoutSeconds;
    private final Counters counters;
    private boolean isReady = true;

    EnginePool(
            EventLoop loop,
            EngineEndpoint endpoint,
            ListedAddresses listedAddresses,
            double dialTimeoutSeconds,
            Budget budget,
            Counters counters) {
        this.loop = loop;
        this.budget = budget;
        this.endpoint = endpoint;
        this.listedAddresses = listedAddresses;
        this.dialTimeoutSeconds = dialTimeoutSeconds;
        this.counters = counters;
    }

    String engineName() {
        return String.format("s-%08x", endpoint.engine().id().value());
    }

    InetSocketAddress address() {
        return endpoint.address();
    }

    /** Whether another engine is listed at this address: a new connection leads to that one. */
    boolean isAddressReused() {
        return listedAddresses.isReused(this);
    }

    /** Whether a listed engine is this one: same address and not restarted since. */
    boolean matches(EngineEndpoint other) {
        return endpoint.address().equals(other.address())
                && endpoint.engine().startedAt() == other.engine().startedAt();
    }

    /** Seconds after which a connection attempt fails. */
    double dialTimeoutSeconds() {
        return dialTimeoutSeconds;
    }

    /** Whether the engine accepts new queries. */
    boolean isReady() {
        return isReady;
    }

    void setReady(boolean acceptsQueries) {
        isReady = acceptsQueries;
    }

    /**
     * Writes a call on a new connection for its owner. A call that {@code startsQuery} waits until
     * a connection is available.
     */
    void callOnNewConnection(HttpCall call, boolean startsQuery, EngineConnection.Owner owner) {
        if (!call.isPending()) { // ignored while it waited for a connection
            budget.resumeNextWaiting();
            return;
        }
        if (!budget.tryAcquire(startsQuery)) {
            waitForConnection(call, startsQuery, owner);
            return;
        }
        Dial dial =
                loop.dial(
                        endpoint.address(),
                        dialTimeoutSeconds,
                        stream -> {
                            counters.increment(Count.ENGINES_CONNECTED);
                            EngineConnection connection =
                                    new EngineConnection(loop, stream, this, owner, counters);
                            call.setConnectCanceller(connection::close);
                            // After a stall a cancellation or a drain may still be unread.
                            loop.runWhenCaughtUp(() -> call.writeOn(connection));
                        },
                        failure -> {
                            budget.release();
                            call.failUnreachable(failure == Dial.Failure.REFUSED);
                        });
        call.setConnectCanceller(
                () -> {
                    dial.cancel();
                    budget.release();
                });
    }

    /**
     * Handles a full budget, which is no fault of the engine: a new query waits, other calls retry
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

    /** Called once by each connection when it closes. */
    void onConnectionClosed() {
        budget.release();
    }
}
