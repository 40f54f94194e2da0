package junipercourse.cli;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import junipercourse.SocketTestSupport;

/**
 * Clients that write as fast as the dispatcher reads, or at intervals, and read and discard
 * whatever is sent to them. A client whose connection is closed opens another one and keeps its
 * intervals.
 */
final class HostileClients implements Closeable {
    private static final int DISCARD_BYTES = 64 * 1024;
    private static final long POLL_MILLIS = 1;

    private final InetSocketAddress front;
    private final Load load;
    private final List<HostileClient> clients = new ArrayList<>();
    private final ByteBuffer discarded = ByteBuffer.allocateDirect(DISCARD_BYTES);
    private final Thread thread;
    private volatile boolean stopped;
    private volatile long sentBytes;

    /**
     * What the clients write.
     *
     * @param count of the clients
     * @param first bytes on each connection
     * @param messages the bytes that a client writes next
     * @param intervalMillis between two of them from one client; 0 for full speed
     */
    record Load(int count, byte[] first, Supplier<byte[]> messages, long intervalMillis) {}

    /** Starts the clients. */
    HostileClients(InetSocketAddress front, Load load) {
        this.front = front;
        this.load = load;
        for (int i = 0; i < load.count(); i++) {
            clients.add(new HostileClient());
        }
        thread = new Thread(this::run, "hostile clients");
        thread.start();
    }

    long sentBytes() {
        return sentBytes;
    }

    private void run() {
        while (!stopped) {
            boolean progressed = false;
            for (HostileClient client : clients) {
                progressed |= client.exchange();
            }
            if (!progressed) {
                SocketTestSupport.sleepMillis(POLL_MILLIS);
            }
        }
        clients.forEach(HostileClient::disconnect);
    }

    @Override
    public void close() {
        stopped = true;
        try {
            thread.join();
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    private final class HostileClient {
        private SocketChannel channel;
        private ByteBuffer unsent = ByteBuffer.allocate(0);
        private long nextMessageNanos = System.nanoTime();

        /** Returns whether any bytes were read or written. */
        boolean exchange() {
            try {
                if (channel == null) {
                    connect();
                }
                return writeMore() | discardInput();
            } catch (IOException e) {
                disconnect();
                return false;
            }
        }

        private void connect() throws IOException {
            channel = SocketChannel.open(front);
            channel.configureBlocking(false);
            unsent = ByteBuffer.wrap(load.first());
        }

        private boolean writeMore() throws IOException {
            if (!unsent.hasRemaining() && System.nanoTime() >= nextMessageNanos) {
                unsent = ByteBuffer.wrap(load.messages().get());
                nextMessageNanos += load.intervalMillis() * 1_000_000;
            }
            int written = channel.write(unsent);
            sentBytes += written;
            return written > 0;
        }

        private boolean discardInput() throws IOException {
            discarded.clear();
            int read = channel.read(discarded);
            if (read < 0) {
                disconnect();
            }
            return read > 0;
        }

        private void disconnect() {
            try {
                if (channel != null) {
                    channel.close();
                }
            } catch (IOException e) {
                throw new AssertionError(e);
            }
            channel = null;
        }
    }
}
