package junipercourse.scale;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.List;
import junipercourse.SocketTestSupport.Client;

/**
 * Clients of one thread, which start a session, ask one empty query and then hold their
 * connections.
 */
final class IdleClients implements Closeable {
    private static final int OPENING_MOST = 64;
    private static final int MOST_ANSWER = 2048;
    private static final int READY_TWICE = 2; // after the start and after the query

    private final Selector selector = Selector.open();
    private final InetSocketAddress front;
    private int opening;
    private int open;
    private int refused;
    private int answered;

    /** One client's answers so far. */
    private static final class ClientState {
        private final ByteBuffer in = ByteBuffer.allocate(MOST_ANSWER);
        private int readies;
    }

    IdleClients(InetSocketAddress front) throws IOException {
        this.front = front;
    }

    /**
     * Connects so many, some at once; returns how many have had their answer and are still there.
     */
    int open(int count, double patienceS) throws IOException {
        long end = System.nanoTime() + (long) (patienceS * 1e9);
        int begun = 0;
        while ((begun < count || opening > 0) && System.nanoTime() < end) {
            while (begun < count && opening < OPENING_MOST) {
                SocketChannel c = SocketChannel.open();
                c.configureBlocking(false)
                        .register(selector, SelectionKey.OP_CONNECT, new ClientState());
                begun++;
                opening++;
                if (c.connect(front)) {
                    c.keyFor(selector).interestOps(SelectionKey.OP_READ);
                    ask(c);
                }
            }
            selector.select(this::ready, 10);
        }
        return open;
    }

    /** Looks at the sockets for so long; returns how many connections are held after that. */
    int held(double seconds) throws IOException {
        long end = System.nanoTime() + (long) (seconds * 1e9);
        do {
            selector.select(this::ready, Math.max(1, (end - System.nanoTime()) / 1_000_000));
        } while (System.nanoTime() < end);
        return open;
    }

    /** Connections that have had their answer, whether they are still there or not. */
    int answered() {
        return answered;
    }

    /** Connections that ended before their first answer. */
    int refused() {
        return refused;
    }

    private void ready(SelectionKey key) {
        SocketChannel c = (SocketChannel) key.channel();
        ClientState s = (ClientState) key.attachment();
        try {
            if (key.isConnectable() && c.finishConnect()) {
                key.interestOps(SelectionKey.OP_READ);
                ask(c);
            } else if (key.isReadable() && (c.read(s.in) < 0 || told(s))) {
                over(c, s);
            }
        } catch (IOException e) {
            over(c, s);
        }
    }

    private static void ask(SocketChannel c) throws IOException {
        ByteBuffer start = ByteBuffer.wrap(Client.startupMessage());
        ByteBuffer query = ByteBuffer.wrap(Client.queryMessage(" "));
        c.write(new ByteBuffer[] {start, query}); // far less than a socket takes at once
    }

    /** Takes in whole messages; true if one of them ends the session. */
    private boolean told(ClientState s) {
        s.in.flip();
        boolean ends = false;
        while (s.in.remaining() > Integer.BYTES
                && s.in.remaining() > s.in.getInt(s.in.position() + 1)) {
            byte type = s.in.get(s.in.position());
            ends |= type == 'E';
            if (type == 'Z' && ++s.readies == READY_TWICE) {
                opening--;
                open++;
                answered++;
            }
            s.in.position(s.in.position() + 1 + s.in.getInt(s.in.position() + 1));
        }
        s.in.compact();
        return ends;
    }

    private void over(SocketChannel c, ClientState s) {
        if (s.readies >= READY_TWICE) {
            open--;
        } else {
            opening--;
            refused++;
        }
        close(c);
    }

    private static void close(Closeable c) {
        try {
            c.close();
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
