package junipercourse.scale;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedSelectorException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.IntConsumer;
import junipercourse.ScriptedBus;

/**
 * A fake event bus that serves many subscribers on one thread. Each subscriber receives the events
 * after its requested offset, then each new event, and an empty frame every second. The connection
 * of a subscriber whose socket does not accept a whole frame is closed, and the subscriber
 * reconnects.
 */
final class FakeEventBus implements Closeable {
    private static final int BACKLOG = 4096;
    private static final double HEARTBEAT_SECONDS = 1;

    private final Selector selector = Selector.open();
    private final ServerSocketChannel server = ServerSocketChannel.open();
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final List<byte[]> events = new ArrayList<>();
    private final Thread thread = new Thread(this::run, "event-bus");
    private volatile boolean closed;
    private volatile int subscriberCount;
    private double nextHeartbeatSeconds;

    /**
     * State of one connection: the bytes of its request, and whether the request was read whole.
     */
    private static final class Subscription {
        private final ByteBuffer request = ByteBuffer.allocate(Long.BYTES);
        private boolean requestComplete;
    }

    FakeEventBus() throws IOException {
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
        server.configureBlocking(false);
        server.register(selector, SelectionKey.OP_ACCEPT);
        thread.setDaemon(true);
        thread.start();
    }

    InetSocketAddress address() throws IOException {
        return (InetSocketAddress) server.getLocalAddress();
    }

    /** Number of connections that have sent their request and receive events. */
    int subscriberCount() {
        return subscriberCount;
    }

    /**
     * Publishes an event about one engine, whose id is the event's number; {@code onSend} receives
     * that number just before the frame is written.
     */
    void post(IntConsumer onSend) {
        tasks.add(
                () -> {
                    int number = events.size() + 1;
                    events.add(
                            HexFormat.of()
                                    .parseHex(
                                            ScriptedBus.endpointFrame(
                                                    false,
                                                    number,
                                                    number,
                                                    new InetSocketAddress(
                                                            InetAddress.getLoopbackAddress(), 1),
                                                    false)));
                    onSend.accept(number);
                    sendToAll(events.get(number - 1));
                });
        selector.wakeup();
    }

    private void run() {
        try {
            while (!closed) {
                selector.select((long) (HEARTBEAT_SECONDS * 1e3));
                for (SelectionKey key : selector.selectedKeys()) {
                    if (key.isValid() && key.isAcceptable()) {
                        accept();
                    } else if (key.isValid()) {
                        read(key);
                    }
                }
                selector.selectedKeys().clear();
                for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
                    task.run();
                }
                if (Network.nowSeconds() >= nextHeartbeatSeconds) {
                    nextHeartbeatSeconds = Network.nowSeconds() + HEARTBEAT_SECONDS;
                    sendToAll(
                            HexFormat.of()
                                    .parseHex(ScriptedBus.EMPTY_FRAME.formatted(events.size())));
                }
                subscriberCount =
                        (int) selector.keys().stream().filter(FakeEventBus::isSubscribed).count();
            }
        } catch (IOException | ClosedSelectorException e) {
            if (!closed) {
                e.printStackTrace();
            }
        }
    }

    private static boolean isSubscribed(SelectionKey key) {
        return key.isValid()
                && key.attachment() instanceof Subscription subscription
                && subscription.requestComplete;
    }

    private void accept() throws IOException {
        for (SocketChannel channel = server.accept(); channel != null; channel = server.accept()) {
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            channel.register(selector, SelectionKey.OP_READ, new Subscription());
        }
    }

    private void read(SelectionKey key) throws IOException {
        Subscription subscription = (Subscription) key.attachment();
        SocketChannel channel = (SocketChannel) key.channel();
        try {
            if (channel.read(subscription.request) <= 0) {
                channel.close(); // disconnected, or sent more than a request
            } else if (!subscription.request.hasRemaining()) {
                subscription.requestComplete = true;
                for (int i = (int) subscription.request.getLong(0); i < events.size(); i++) {
                    send(key, events.get(i));
                }
            }
        } catch (IOException e) {
            channel.close();
        }
    }

    private void sendToAll(byte[] frame) {
        for (SelectionKey key : selector.keys()) {
            if (isSubscribed(key)) {
                send(key, frame);
            }
        }
    }

    private static void send(SelectionKey key, byte[] frame) {
        try {
            SocketChannel channel = (SocketChannel) key.channel();
            if (!channel.isOpen()) {
                return;
            }
            if (channel.write(ByteBuffer.wrap(frame)) < frame.length) {
                channel.close();
            }
        } catch (IOException e) {
            key.cancel();
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        selector.wakeup();
        try {
            thread.join(1000);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        for (SelectionKey key : selector.keys()) {
            key.channel().close();
        }
        selector.close();
    }
}
