package junipercourse.engine;

import java.util.function.Supplier;

/**
 * One call to an engine, from the moment a connection is isPending for it until its answer is there
 * or it failed. Exactly one of the listener's methods that tell how it went is called, unless it is
 * dropped.
 */
final class HttpCall {
    /** Is told how a call went. */
    interface Listener {
        /** Asked right before the first byte: false takes the call back unwritten. */
        boolean mayWrite();

        /**
         * Whether an answer can be to this call alone, although its connection has brought others
         * before, of which it may be a late second copy.
         */
        boolean matchesOnlyThisCall(HttpResponse response);

        /**
         * Nothing more of the call arrives: it is answered for sure, or reset. May be said twice.
         */
        void onDeliveryEnded();

        /** {@code sure} unless the answer may be a copy of an earlier one on its connection. */
        void onResponse(HttpResponse response, boolean isUnambiguous);

        /** All of the call has been handed to the system. */
        default void onWritten() {}

        /** The connection broke with the call on it. */
        void onConnectionBroken();

        /** No connection came up, and nothing was written. */
        void onUnreachable(boolean refused);

        /**
         * {@link #mayWrite} said no, or a later call found no room for a connection; nothing was
         * written.
         */
        void onWithdrawn();
    }

    private final Supplier<byte[]> request;
    private final Listener listener;
    private boolean isPending = true;
    private EngineConnection activeConnection;
    private Runnable connectCanceller;

    /** {@code request} is asked for right before its first byte. */
    HttpCall(Supplier<byte[]> request, Listener listener) {
        this.request = request;
        this.listener = listener;
    }

    /** Until its first byte it is given up by this. */
    void setConnectCanceller(Runnable canceller) {
        connectCanceller = canceller;
    }

    /** Writes the call on a connection, or closes that. */
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
     * Told of ignored calls, too: what is still on its way may arrive although nobody waits for it.
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

    /** Nothing was written, and nothing is to be. */
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

    private boolean finish() {
        boolean wasPending = isPending;
        isPending = false;
        connectCanceller = null;
        activeConnection = null;
        return wasPending;
    }

    /** Whether somebody still waits for how it goes. */
    boolean isPending() {
        return isPending;
    }

    /** The listener hears nothing more but {@link Listener#onDeliveryEnded}. */
    void ignore() {
        isPending = false;
        if (connectCanceller != null) {
            connectCanceller.run();
            connectCanceller = null;
        }
    }

    /**
     * Ignores the call and, unless it is answered, resets its connection: then no more of it
     * arrives.
     */
    void abort() {
        EngineConnection connection = activeConnection;
        ignore();
        if (connection != null) {
            connection.abort();
        }
    }
}
