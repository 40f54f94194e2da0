package junipercourse.fleet.transport;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedSelectorException;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import junipercourse.config.Config;
import junipercourse.config.ConfigException;
import junipercourse.fleet.membership.GossipMessage;
import org.jctools.queues.atomic.SpscAtomicArrayQueue;

/**
 * Exchanges gossip messages as UDP datagrams, on a thread of its own that is connected to the fleet
 * thread by two bounded rings. Neither thread waits for the other: a message that does not fit a
 * ring, exceeds a rate limit or is refused by the system is dropped and counted, since the protocol
 * repeats all messages. {@link #send} and {@link #poll} must be called by one thread, the fleet
 * thread.
 */
public final class UdpTransport implements Closeable {
    /** Milliseconds between attempts to bind an address that another process still holds. */
    private static final long BIND_RETRY_MILLIS = 100;

    private static final double NANOS_PER_SECOND = 1e9;

    /** Maximum datagrams received, and sent, per loop iteration. */
    private static final int MAX_DATAGRAMS_PER_ITERATION = 256;

    private final GossipCodec codec;
    private final TransportCounters counters = new TransportCounters();
    private final RateLimiter receiveLimiter;
    private final RateLimiter sendLimiter;
    private final SpscAtomicArrayQueue<Envelope> incoming;
    private final SpscAtomicArrayQueue<Envelope> outgoing;
    private final ByteBuffer receiveBuffer =
            ByteBuffer.allocate(
                    GossipCodec.MAX_DATAGRAM_BYTES
                            + 1); // an extra byte reveals an oversized datagram
    private final ByteBuffer sendBuffer = ByteBuffer.allocate(GossipCodec.MAX_DATAGRAM_BYTES);
    private final Selector selector;
    private final DatagramChannel channel;
    private final AddressBinder binder;
    private final Consumer<String> log;
    private final Thread thread;
    private volatile boolean closed;
    private volatile Thread consumerThread;
    private volatile long drainCount;

    /**
     * Opens the socket. If another process holds the address, binding is retried indefinitely once
     * started, since only the fleet's membership depends on it.
     *
     * @param fleet the fleet's name; messages of others are dropped
     * @param listen the address to bind
     * @param log receives lines for the operators' log
     * @throws IOException if the address cannot be bound; its message names it
     */
    public UdpTransport(
            String fleet, InetSocketAddress listen, RateLimits limits, Consumer<String> log)
            throws IOException {
        this.log = log;
        codec = new GossipCodec(fleet);
        receiveLimiter =
                new RateLimiter(limits.peerDatagramsPerSecond(), limits.totalDatagramsPerSecond());
        sendLimiter = new RateLimiter(limits.peerBytesPerSecond(), limits.totalBytesPerSecond());
        incoming = new SpscAtomicArrayQueue<>(limits.ringCapacity());
        outgoing = new SpscAtomicArrayQueue<>(limits.ringCapacity());
        selector = Selector.open();
        channel = DatagramChannel.open();
        channel.configureBlocking(false);
        binder = new AddressBinder(channel, listen);
        try {
            if (!binder.tryBind()) {
                log.accept(listen + " is in use; retrying until it is free");
            }
        } catch (IOException e) {
            close();
            throw new IOException("cannot bind fleet address " + listen + ": " + e.getMessage(), e);
        }
        thread = new Thread(this::run, "fleet-link");
        thread.setDaemon(true);
    }

    /** Starts the thread; {@code threadToWake} is woken when a message has arrived. */
    public void start(Thread threadToWake) {
        consumerThread = threadToWake;
        thread.start();
    }

    /** Returns true once the address is bound. */
    public boolean isBound() {
        return binder.isBound();
    }

    /**
     * Returns the bound address.
     *
     * @throws IOException if the channel is closed
     */
    public SocketAddress address() throws IOException {
        return channel.getLocalAddress();
    }

    /** Returns the counters. */
    public TransportCounters counters() {
        return counters;
    }

    /**
     * Returns how many times the socket has been read until it was empty. Once the count has risen
     * by two, the second of these reads began after this call.
     */
    public long drainCount() {
        return drainCount;
    }

    /** Makes the thread read the socket soon. */
    public void wakeUp() {
        selector.wakeup();
    }

    /** Queues a message; drops it if the ring is full. */
    public void send(String address, GossipMessage message) {
        if (outgoing.offer(new Envelope(address, message))) {
            selector.wakeup();
        } else {
            counters.countDrop(DropReason.OUT_RING_FULL);
        }
    }

    /** Returns the next message; null if there is none. */
    public Envelope poll() {
        return incoming.poll();
    }

    private void run() {
        try {
            while (!closed && !binder.tryBind()) {
                Thread.sleep(BIND_RETRY_MILLIS);
            }
            channel.register(selector, SelectionKey.OP_READ);
            while (!closed) {
                boolean hasMore = receive() | sendQueued();
                if (hasMore) {
                    selector.selectNow();
                } else {
                    selector.select();
                }
                selector.selectedKeys().clear();
            }
        } catch (IOException | ClosedSelectorException e) {
            if (!closed) {
                log.accept(
                        "the transport has failed; the dispatcher continues without the fleet: "
                                + e);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean receive() throws IOException {
        for (int i = 0; i < MAX_DATAGRAMS_PER_ITERATION; i++) {
            receiveBuffer.clear();
            SocketAddress source = channel.receive(receiveBuffer);
            if (source == null) {
                drainCount++; // written by this thread only
                return false;
            }
            receiveBuffer.flip();
            counters.received(receiveBuffer.limit());
            if (receiveLimiter.tryTake(
                    ((InetSocketAddress) source).getAddress(),
                    1,
                    System.nanoTime() / NANOS_PER_SECOND)) {
                decodeAndQueue((InetSocketAddress) source);
            } else {
                counters.countDrop(DropReason.TOO_MANY);
            }
        }
        return true;
    }

    private void decodeAndQueue(InetSocketAddress source) {
        GossipCodec.Decoded decoded = codec.decode(receiveBuffer);
        if (decoded.dropReason() != null) {
            counters.countDrop(decoded.dropReason());
        } else if (incoming.offer(
                new Envelope(
                        source.getAddress().getHostAddress() + ":" + source.getPort(),
                        decoded.message()))) {
            LockSupport.unpark(consumerThread);
        } else {
            counters.countDrop(DropReason.IN_RING_FULL);
        }
    }

    private boolean sendQueued() {
        for (int i = 0; i < MAX_DATAGRAMS_PER_ITERATION; i++) {
            Envelope envelope = outgoing.poll();
            if (envelope == null) {
                return false;
            }
            send(envelope);
        }
        return true;
    }

    private void send(Envelope envelope) {
        if (!codec.encode(envelope.message(), sendBuffer)) {
            counters.countDrop(DropReason.OVERSIZE);
            return;
        }
        int size = sendBuffer.limit();
        if (!sendLimiter.tryTake(envelope.address(), size, System.nanoTime() / NANOS_PER_SECOND)) {
            counters.countDrop(DropReason.OVER_RATE);
            return;
        }
        try {
            if (channel.send(sendBuffer, Config.parseAddress("fleet address", envelope.address()))
                    == size) {
                counters.sent(size);
                return;
            }
        } catch (IOException | ConfigException e) {
            counters.countDrop(
                    DropReason.NOT_SENT); // the address is unreachable at present or malformed
            return;
        }
        counters.countDrop(DropReason.NOT_SENT);
    }

    /** Stops the thread and releases the address. */
    @Override
    public void close() throws IOException {
        closed = true;
        selector.wakeup();
        channel.close();
        selector.close();
    }
}
