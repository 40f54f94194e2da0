package junipercourse.engine;

import java.util.function.Supplier;

/**
 * One call to an engine, from the request for a connection until its response or failure. Exactly
 * one of the listener's outcome methods is called, unless the call is ignored or aborted.
 */
final class HttpCall {
    /** Receives the progress and outcome of a call. */
    interface Listener {
        /** Called right before the first byte is written; false withdraws the call unwritten. */
        boolean mayWrite();

        /**
         * Whether a response can belong to this call only, rather than being a late duplicate of an
         * earlier response on the same connection.
         */
        boolean matchesOnlyThisCall(HttpResponse response);

        /**
         * No more bytes of the call can reach the engine: it has certainly been answered, or its
         * connection is reset. May be called twice.
         */
        void onDeliveryEnded();

        /**
         * The call was answered; {@code isUnambiguous} unless the response may be a duplicate of an
         * earlier one on the connection.
         */
        void onResponse(HttpResponse response, boolean isUnambiguous);

        /** The whole request has been handed to the operating system. */
        default void onWritten() {}

        /** The connection broke before the call was answered. */
        void onConnectionBroken();

        /** No connection was established, and nothing was written. */
        void onUnreachable(boolean refused);

        /**
         * Nothing was written: {@link #mayWrite} returned false, or no connection was available for
         * a call after the one that starts the query.
         */
        void onWithdrawn();
    }

    private final Supplier<byte[]> request;
    private final Listener listener;
    private boolean isPending = true;
    private EngineConnection activeConnection;
    private Runnable connectCanceller;

    /** {@code request} is called right before the first byte is written. */
    HttpCall(Supplier<byte[]> request, Listener listener) {
        this.request = request;
        this.listener = listener;
    }

    /** Sets what cancels the call until its first byte is written. */
    void setConnectCanceller(Runnable canceller) {
        connectCanceller = canceller;
    }

    /** Writes the call on a connection, or closes the connection if it may not be written. */
    void writeOn(EngineConnection connection) {
        connectCanceller = connection::close;
        if (!isPending || !connection.isOpen() || !listener.mayWrite()) {
            connection.close();
            withdraw();
            return;
        }
        connectCanceller = null;
        activeConnection = connection;
        connection.write(this, request.get());
    }

    void markWritten() {
        listener.onWritten();
    }

    boolean matchesOnlyThisCall(HttpResponse response) {
        return listener.matchesOnlyThisCall(response);
    }

    /**
     * Also reported for ignored calls: bytes in transit may arrive although the response is not
     * awaited.
     */
    void endDelivery() {
        listener.onDeliveryEnded();
    }

    void complete(HttpResponse response, boolean isUnambiguous) {
        if (finish()) {
            listener.onResponse(response, isUnambiguous);
        }
    }

    void failBroken() {
        if (finish()) {
            listener.onConnectionBroken();
        }
    }

    /** Ends the call unwritten. */
    void withdraw() {
        if (finish()) {
            listener.onWithdrawn();
        }
    }

    void failUnreachable(boolean refused) {
        if (finish()) {
            listener.onUnreachable(refused);
        }
    }

    /** Ends the call; returns whether its outcome was still awaited. */
    private boolean finish() {
        boolean wasPending = isPending;
        isPending = false;
        connectCanceller = null;
        activeConnection = null;
        return wasPending;
    }

    /** Whether the outcome is still awaited. */
    boolean isPending() {
        return isPending;
    }

    /** From now on only {@link Subscription#onDeliveryEnded} of the listener is called. */
    void ignore() {
        isPending = false;
        if (connectCanceller != null) {
            connectCanceller.run();
            connectCanceller = null;
        }
    }

    /** Ignores the call and, unless it is answered, resets its connection to stop its delivery. */
    void abort() {
        EngineConnection connection = activeConnection;
        ignore();
        if (connection != null) {
            connection.abort();
        }
    }
}
