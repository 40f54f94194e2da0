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
 * thread by two bounded rings. Neither thread waits for the other: what does not fit a ring,
 * exceeds its rate limit or is refused by the system is dropped and counted, since all messages are
 * repeated. {@link #send} and {@link #poll} must be called by one thread, the fleet thread.
 */
public final class UdpTransport implements Closeable {
    /** Milliseconds between attempts to bind an address that another process still holds. */
    private static final long BIND_RETRY_MS = 100;

    /** Most datagrams received or sent in one turn. */
    private static final double NANOS_PER_SECOND = 1e9;

    private static final int MAX_BATCH = 256;

    private final GossipCodec codec;
    private final TransportCounters counters = new TransportCounters();
    private final RateLimiter receiveLimiter;
    private final RateLimiter sendLimiter;
    private final SpscAtomicArrayQueue<Envelope> incoming;
    private final SpscAtomicArrayQueue<Envelope> outgoing;
    private final ByteBuffer receiveBuffer =
            ByteBuffer.allocate(
                    GossipCodec.MAX_DATAGRAM_BYTES + 1); // one more shows an oversized datagram
    private final ByteBuffer sendBuffer = ByteBuffer.allocate(GossipCodec.MAX_DATAGRAM_BYTES);
    private final Selector selector;
    private final DatagramChannel channel;
    private final AddressBinder binder;
    private final Consumer<String> log;
    private final Thread thread;
    private volatile boolean closed;
    private volatile Thread reader;
    private volatile long drainCount;

    /**
     * Opens the socket. If another process holds the address, binding is repeated without end once
     * started: only the fleet's membership depends on it.
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
            if (!binder.bind()) {
                log.accept(listen + " is in use; retrying until it is free");
            }
        } catch (IOException e) {
            close();
            throw new IOException("cannot bind fleet address " + listen + ": " + e.getMessage(), e);
        }
        thread = new Thread(this::run, "fleet-link");
        thread.setDaemon(true);
    }

    /** Starts the thread; {@code wakenThread} is woken when a message has arrived. */
    public void start(Thread wakenThread) {
        reader = wakenThread;
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
     * Returns how often the socket was read until it was empty; of two further times, the second
     * began after this call.
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
            counters.drop(DropReason.OUT_RING_FULL);
        }
    }

    /** Returns the next message; null if there is none. */
    public Envelope poll() {
        return incoming.poll();
    }

    private void run() {
        try {
            while (!closed && !binder.bind()) {
                Thread.sleep(BIND_RETRY_MS);
            }
            channel.register(selector, SelectionKey.OP_READ);
            while (!closed) {
                boolean more = receive() | sendAll();
                if (more) {
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
        for (int i = 0; i < MAX_BATCH; i++) {
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
                take((InetSocketAddress) source);
            } else {
                counters.drop(DropReason.TOO_MANY);
            }
        }
        return true;
    }

    private void take(InetSocketAddress source) {
        GossipCodec.Decoded decoded = codec.decode(receiveBuffer);
        if (decoded.dropReason() != null) {
            counters.drop(decoded.dropReason());
        } else if (incoming.offer(
                new Envelope(
                        source.getAddress().getHostAddress() + ":" + source.getPort(),
                        decoded.message()))) {
            LockSupport.unpark(reader);
        } else {
            counters.drop(DropReason.IN_RING_FULL);
        }
    }

    private boolean sendAll() {
        for (int i = 0; i < MAX_BATCH; i++) {
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
            counters.drop(DropReason.OVERSIZE);
            return;
        }
        int size = sendBuffer.limit();
        if (!sendLimiter.tryTake(envelope.address(), size, System.nanoTime() / NANOS_PER_SECOND)) {
            counters.drop(DropReason.OVER_RATE);
            return;
        }
        try {
            if (channel.send(sendBuffer, Config.parseAddress("fleet address", envelope.address()))
                    == size) {
                counters.sent(size);
                return;
            }
        } catch (IOException | ConfigException e) {
            counters.drop(DropReason.NOT_SENT); // unreachable now, or no valid address
            return;
        }
        counters.drop(DropReason.NOT_SENT);
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
