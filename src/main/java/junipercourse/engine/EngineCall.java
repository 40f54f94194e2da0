package junipercourse.engine;

/**
 * One call to an engine, from the moment a connection is wanted for it until its answer is there or it
 * failed. Exactly one of the listener's methods is called, unless the call is dropped.
 */
final class EngineCall {
    /** Is told how a call went. */
    interface Listener {
        /** Asked right before the first byte: false takes the call back unwritten. */
        boolean mayWrite();

        void answered(HttpResponse response);

        /** All of the call has been handed to the system. */
        default void written() { }

        /** The connection broke with the call on it. */
        void broken();

        /** No connection came up, and nothing was written. */
        void unreachable(boolean refused);

        /** {@link #mayWrite} said no, or a later call found no room for a connection; nothing was written. */
        void takenBack();
    }

    private final byte[] request;
    private Listener listener;
    private EngineConnection on;
    private Runnable stopDialing;

    EngineCall(byte[] request, Listener listener) {
        this.request = request;
        this.listener = listener;
    }

    void dialing(Runnable stop) {
        stopDialing = stop;
    }

    /** Writes the call on a connection, or gives the connection back to its pool. */
    void run(EngineConnection connection, EnginePool pool) {
        stopDialing = null;
        if (listener == null || !listener.mayWrite()) {
            pool.idle(connection);
            takenBack();
            return;
        }
        on = connection;
        connection.write(this, request);
    }

    void written() {
        if (listener != null) {
            listener.written();
        }
    }

    void answered(HttpResponse response) {
        Listener told = over();
        if (told != null) {
            told.answered(response);
        }
    }

    void broken() {
        Listener told = over();
        if (told != null) {
            told.broken();
        }
    }

    /** Nothing was written, and nothing is to be. */
    void takenBack() {
        Listener told = over();
        if (told != null) {
            told.takenBack();
        }
    }

    void unreachable(boolean refused) {
        Listener told = over();
        if (told != null) {
            told.unreachable(refused);
        }
    }

    private Listener over() {
        Listener told = listener;
        listener = null;
        stopDialing = null;
        on = null;
        return told;
    }

    /** Whether somebody still waits for how it goes. */
    boolean wanted() {
        return listener != null;
    }

    /** The listener hears nothing more; an answer that still comes frees the connection for others. */
    void ignore() {
        listener = null;
        if (stopDialing != null) {
            stopDialing.run();
            stopDialing = null;
        }
    }

    /** Ignores the call and resets its connection: from the next pass on no more of it arrives. */
    void drop() {
        EngineConnection c = on;
        ignore();
        if (c != null) {
            c.abort();
        }
    }
}
