package junipercourse.scale;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedSelectorException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import junipercourse.SocketTestSupport;

/**
 * Fake engines served by one thread on a few listening sockets; engine ids are assigned to the
 * addresses round-robin. Each call is answered at once with one row or, while queries are held,
 * with a response that the query is still running, at the interval at which engines send it.
 */
final class EngineFarm implements Closeable {
    private static final int ADDRESSES =
            16; // several, so that closed connections do not use up the ports of one
    private static final int BACKLOG = 4096;
    private static final int MAX_REQUEST_BYTES = 4096; // the loads here send a few hundred bytes
    private static final long RUNNING_RESPONSE_DELAY_NANOS =
            200_000_000; // engines respond within a quarter of a second
    private static final ByteBuffer ROW_RESPONSE =
            bytes(
                    "HTTP/1.1 200 OK\r\nX-Fetches: 1\r\n"
                            + "X-Gauges: q:0;busy:0.20\r\nContent-Length: 6\r\n\r\na\tb\tc\n");
    private static final ByteBuffer RUNNING_RESPONSE = bytes(SocketTestSupport.RUNNING);
    private static final ByteBuffer CANCELLED_RESPONSE = bytes(SocketTestSupport.CANCELLED);

    final AtomicInteger acceptedCount = new AtomicInteger();
    final AtomicInteger postCount = new AtomicInteger();
    private final Selector selector = Selector.open();
    private final List<ServerSocketChannel> servers = new ArrayList<>();
    private final ArrayDeque<DelayedResponse> delayedResponses = new ArrayDeque<>();
    private volatile boolean holdsQueries;

    /**
     * A call with a delayed response. All calls have the same delay, so the queue is in order of
     * due time.
     */
    private record DelayedResponse(long dueNanos, SocketChannel channel) {}

    EngineFarm() throws IOException {
        for (int i = 1; i <= ADDRESSES; i++) {
            ServerSocketChannel server = ServerSocketChannel.open();
            servers.add(server);
            server.bind(new InetSocketAddress(InetAddress.getByName("127.0.1." + i), 0), BACKLOG);
            server.configureBlocking(false).register(selector, SelectionKey.OP_ACCEPT);
        }
        SocketTestSupport.startDaemon(this::run);
    }

    /** The address on which the engine with this id listens. */
    InetSocketAddress address(int id) throws IOException {
        return (InetSocketAddress) servers.get(id % ADDRESSES).getLocalAddress();
    }

    /**
     * Sets whether queries are kept running from now on. If not, each held query is answered with
     * its row at the next poll.
     */
    void setHoldQueries(boolean holdQueries) {
        holdsQueries = holdQueries;
    }

    private void run() throws IOException {
        while (selector.isOpen()) {
            long waitMillis =
                    delayedResponses.isEmpty()
                            ? 1000
                            : (delayedResponses.peek().dueNanos - System.nanoTime()) / 1_000_000;
            try {
                selector.select(this::handleReadyKey, Math.max(1, waitMillis));
            } catch (ClosedSelectorException e) {
                return;
            }
            while (!delayedResponses.isEmpty()
                    && delayedResponses.peek().dueNanos <= System.nanoTime()) {
                write(
                        delayedResponses.poll().channel,
                        holdsQueries ? RUNNING_RESPONSE : ROW_RESPONSE);
            }
        }
    }

    private void handleReadyKey(SelectionKey key) {
        try {
            if (key.channel() instanceof ServerSocketChannel server) {
                for (SocketChannel channel = server.accept();
                        channel != null;
                        channel = server.accept()) {
                    acceptedCount.incrementAndGet();
                    channel.configureBlocking(false)
                            .register(
                                    selector,
                                    SelectionKey.OP_READ,
                                    ByteBuffer.allocate(MAX_REQUEST_BYTES));
                }
            } else {
                read((SocketChannel) key.channel(), (ByteBuffer) key.attachment());
            }
        } catch (IOException e) {
            close(key.channel());
        }
    }

    private void read(SocketChannel channel, ByteBuffer input) throws IOException {
        if (channel.read(input) < 0) {
            channel.close();
            return;
        }
        String text = new String(input.array(), 0, input.position(), StandardCharsets.ISO_8859_1);
        int headLength = text.indexOf("\r\n\r\n");
        int contentLengthIndex = text.indexOf("Content-Length: ");
        int bodyLength =
                headLength < 0 || contentLengthIndex < 0 || contentLengthIndex > headLength
                        ? 0
                        : Integer.parseInt(
                                text.substring(
                                        contentLengthIndex + 16,
                                        text.indexOf('\r', contentLengthIndex)));
        if (headLength < 0 || input.position() < headLength + 4 + bodyLength) {
            return;
        }
        input.clear(); // a connection carries one call at a time
        postCount.addAndGet(text.startsWith("POST") ? 1 : 0);
        if (text.startsWith("DELETE")) {
            write(channel, CANCELLED_RESPONSE);
        } else if (holdsQueries) {
            delayedResponses.add(
                    new DelayedResponse(System.nanoTime() + RUNNING_RESPONSE_DELAY_NANOS, channel));
        } else {
            write(channel, ROW_RESPONSE);
        }
    }

    private static void write(SocketChannel channel, ByteBuffer response) {
        try {
            channel.write(response.duplicate()); // far smaller than the socket's send buffer
        } catch (IOException e) {
            close(channel);
        }
    }

    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1)).asReadOnlyBuffer();
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
            key.channel().close();
        }
        selector.close();
    }
}
