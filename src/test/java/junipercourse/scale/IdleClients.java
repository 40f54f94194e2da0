package junipercourse.scale;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.List;
import junipercourse.Client;

/**
 * Clients on one thread that each start a session, send one empty query and then keep their
 * connection open.
 */
final class IdleClients implements Closeable {
    private static final int MAX_OPENING = 64;
    private static final int MAX_RESPONSE_BYTES = 2048;
    private static final int READY_MESSAGES_WHEN_OPEN =
            2; // one after the startup and one after the query

    private final Selector selector = Selector.open();
    private final InetSocketAddress front;
    private int openingCount;
    private int open;
    private int refusedCount;
    private int answeredCount;

    /** Messages that one client has received so far. */
    private static final class ClientState {
        private final ByteBuffer input = ByteBuffer.allocate(MAX_RESPONSE_BYTES);
        private int readyMessages;
    }

    IdleClients(InetSocketAddress front) throws IOException {
        this.front = front;
    }

    /**
     * Opens {@code count} connections, up to {@link #MAX_OPENING} concurrently; returns how many
     * were answered and are still open.
     */
    int open(int count, double timeoutSeconds) throws IOException {
        long endNanos = System.nanoTime() + (long) (timeoutSeconds * 1e9);
        int started = 0;
        while ((started < count || openingCount > 0) && System.nanoTime() < endNanos) {
            while (started < count && openingCount < MAX_OPENING) {
                SocketChannel channel = SocketChannel.open();
                channel.configureBlocking(false)
                        .register(selector, SelectionKey.OP_CONNECT, new ClientState());
                started++;
                openingCount++;
                if (channel.connect(front)) {
                    channel.keyFor(selector).interestOps(SelectionKey.OP_READ);
                    sendStartupAndQuery(channel);
                }
            }
            selector.select(this::handleReadyKey, 10);
        }
        return open;
    }

    /** Processes socket events for this time; returns how many connections are open after that. */
    int countHeldAfter(double seconds) throws IOException {
        long endNanos = System.nanoTime() + (long) (seconds * 1e9);
        do {
            selector.select(
                    this::handleReadyKey, Math.max(1, (endNanos - System.nanoTime()) / 1_000_000));
        } while (System.nanoTime() < endNanos);
        return open;
    }

    /** Number of connections that were answered, whether they are still open or not. */
    int answeredCount() {
        return answeredCount;
    }

    /** Number of connections that were closed before both responses had arrived. */
    int refusedCount() {
        return refusedCount;
    }

    private void handleReadyKey(SelectionKey key) {
        SocketChannel channel = (SocketChannel) key.channel();
        ClientState state = (ClientState) key.attachment();
        try {
            if (key.isConnectable() && channel.finishConnect()) {
                key.interestOps(SelectionKey.OP_READ);
                sendStartupAndQuery(channel);
            } else if (key.isReadable() && (channel.read(state.input) < 0 || readMessages(state))) {
                handleClosed(channel, state);
            }
        } catch (IOException e) {
            handleClosed(channel, state);
        }
    }

    private static void sendStartupAndQuery(SocketChannel channel) throws IOException {
        ByteBuffer start = ByteBuffer.wrap(Client.startupMessage());
        ByteBuffer query = ByteBuffer.wrap(Client.queryMessage(" "));
        channel.write(new ByteBuffer[] {start, query}); // far smaller than the socket's send buffer
    }

    /**
     * Parses all complete messages; returns true if one of them is an error, which ends the
     * session.
     */
    private boolean readMessages(ClientState state) {
        state.input.flip();
        boolean sessionEnds = false;
        while (state.input.remaining() > Integer.BYTES
                && state.input.remaining() > state.input.getInt(state.input.position() + 1)) {
            byte type = state.input.get(state.input.position());
            sessionEnds |= type == 'E';
            if (type == 'Z' && ++state.readyMessages == READY_MESSAGES_WHEN_OPEN) {
                openingCount--;
                open++;
                answeredCount++;
            }
            state.input.position(
                    state.input.position() + 1 + state.input.getInt(state.input.position() + 1));
        }
        state.input.compact();
        return sessionEnds;
    }

    private void handleClosed(SocketChannel channel, ClientState state) {
        if (state.readyMessages >= READY_MESSAGES_WHEN_OPEN) {
            open--;
        } else {
            openingCount--;
            refusedCount++;
        }
        close(channel);
    }

    private static void close(Closeable channel) {
        try {
            channel.close();
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    @Override
    public void close() throws IOException {
        for (SelectionKey key : List.copyOf(selector.keys())) {
            close(key.channel());
        }
        selector.close();
    }
}
