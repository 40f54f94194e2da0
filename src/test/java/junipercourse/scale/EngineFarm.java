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
 * Stand-in engines of one thread behind a few sockets: engine ids share addresses in turn. Each
 * call is answered at once with one row or, while queries are held, with the news that they run, as
 * often as engines tell it.
 */
final class EngineFarm implements Closeable {
    private static final int ADDRESSES = 16; // so that closed connections do not use up one's ports
    private static final int BACKLOG = 4096;
    private static final int MOST_REQUEST = 4096; // bytes; the loads here send a few hundred
    private static final long NEWS_NS = 200_000_000; // engines tell within a quarter of a second
    private static final ByteBuffer ROW =
            bytes(
                    "HTTP/1.1 200 OK\r\nX-Fetches: 1\r\n"
                            + "X-Gauges: q:0;busy:0.20\r\nContent-Length: 6\r\n\r\na\tb\tc\n");
    private static final ByteBuffer RUNS = bytes(SocketTestSupport.RUNNING);
    private static final ByteBuffer GONE = bytes(SocketTestSupport.CANCELLED);

    final AtomicInteger accepted = new AtomicInteger();
    final AtomicInteger posts = new AtomicInteger();
    private final Selector selector = Selector.open();
    private final List<ServerSocketChannel> servers = new ArrayList<>();
    private final ArrayDeque<DelayedResponse> held = new ArrayDeque<>();
    private volatile boolean holds;

    /**
     * A call whose answer is due at a time; all wait equally long, so that the first come is due
     * first.
     */
    private record DelayedResponse(long due, SocketChannel channel) {}

    EngineFarm() throws IOException {
        for (int i = 1; i <= ADDRESSES; i++) {
            ServerSocketChannel server = ServerSocketChannel.open();
            servers.add(server);
            server.bind(new InetSocketAddress(InetAddress.getByName("127.0.1." + i), 0), BACKLOG);
            server.configureBlocking(false).register(selector, SelectionKey.OP_ACCEPT);
        }
        SocketTestSupport.startDaemon(this::run);
    }

    /** Where the engine of that number listens. */
    InetSocketAddress address(int id) throws IOException {
        return (InetSocketAddress) servers.get(id % ADDRESSES).getLocalAddress();
    }

    /** From now on queries are kept running, or else answered once they are asked for again. */
    void hold(boolean on) {
        holds = on;
    }

    private void run() throws IOException {
        while (selector.isOpen()) {
            long waitMs = held.isEmpty() ? 1000 : (held.peek().due - System.nanoTime()) / 1_000_000;
            try {
                selector.select(this::ready, Math.max(1, waitMs));
            } catch (ClosedSelectorException e) {
                return;
            }
            while (!held.isEmpty() && held.peek().due <= System.nanoTime()) {
                write(held.poll().channel, holds ? RUNS : ROW);
            }
        }
    }

    private void ready(SelectionKey key) {
        try {
            if (key.channel() instanceof ServerSocketChannel server) {
                for (SocketChannel c = server.accept(); c != null; c = server.accept()) {
                    accepted.incrementAndGet();
                    c.configureBlocking(false)
                            .register(
                                    selector,
                                    SelectionKey.OP_READ,
                                    ByteBuffer.allocate(MOST_REQUEST));
                }
            } else {
                read((SocketChannel) key.channel(), (ByteBuffer) key.attachment());
            }
        } catch (IOException e) {
            close(key.channel());
        }
    }

    private void read(SocketChannel c, ByteBuffer in) throws IOException {
        if (c.read(in) < 0) {
            c.close();
            return;
        }
        String text = new String(in.array(), 0, in.position(), StandardCharsets.ISO_8859_1);
        int head = text.indexOf("\r\n\r\n");
        int told = text.indexOf("Content-Length: ");
        int body =
                head < 0 || told < 0 || told > head
                        ? 0
                        : Integer.parseInt(text.substring(told + 16, text.indexOf('\r', told)));
        if (head < 0 || in.position() < head + 4 + body) {
            return;
        }
        in.clear(); // one call at a time is on a connection
        posts.addAndGet(text.startsWith("POST") ? 1 : 0);
        if (text.startsWith("DELETE")) {
            write(c, GONE);
        } else if (holds) {
            held.add(new DelayedResponse(System.nanoTime() + NEWS_NS, c));
        } else {
            write(c, ROW);
        }
    }

    private static void write(SocketChannel c, ByteBuffer answer) {
        try {
            c.write(answer.duplicate()); // far less than a socket takes at once
        } catch (IOException e) {
            close(c);
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
