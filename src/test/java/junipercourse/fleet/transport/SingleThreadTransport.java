package junipercourse.fleet.transport;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.util.function.BiConsumer;
import junipercourse.config.Config;
import junipercourse.config.ConfigException;
import junipercourse.fleet.membership.GossipMessage;

/**
 * {@link UdpTransport} without threads and rings of its own, for many members on one thread: the
 * same socket, codec, rates, refusals and counts. What it leaves out are the two rings, so that
 * {@code IN_RING_FULL} and {@code OUT_RING_FULL} never come: what waits, waits in the socket's
 * buffer, which is longer by what the ring for what comes would hold. Between the sender and the
 * network lies a {@link NetworkFaults}, which may lose a datagram or hold it back.
 */
public final class SingleThreadTransport implements Closeable {
    private static final int MAX_DATAGRAMS_PER_READ = 256;

    /**
     * What a socket has by itself on Linux and what the longest word takes there, which it counts
     * double.
     */
    private static final int DEFAULT_RECEIVE_BUFFER_BYTES = 106_496;

    private static final int MESSAGE_BUFFER_BYTES = 1152;

    private final GossipCodec codec;
    private final RateLimiter receiveLimiter;
    private final RateLimiter sendLimiter;
    private final TransportCounters counters;
    private final NetworkFaults networkFaults;
    private final ByteBuffer receiveBuffer =
            ByteBuffer.allocate(GossipCodec.MAX_DATAGRAM_BYTES + 1); // one more tells too long
    private final ByteBuffer sendBuffer = ByteBuffer.allocate(GossipCodec.MAX_DATAGRAM_BYTES);
    private final DatagramChannel channel;

    /** The faults between members. */
    public interface NetworkFaults {
        /** Seconds that a datagram to this address is held back; below 0 if it is lost. */
        double sendDelaySeconds(String address);

        /** The same for one that came, of a sender that has no path of its own. */
        double receiveDelaySeconds(String address);

        /** Has something done after so many seconds, on the link's thread. */
        void schedule(double seconds, Runnable task);
    }

    /**
     * Opens and binds the socket.
     *
     * @param tally goes on from life to life of a member
     */
    public SingleThreadTransport(
            String fleet,
            InetSocketAddress listen,
            RateLimits limits,
            TransportCounters counters,
            NetworkFaults networkFaults)
            throws IOException {
        this.counters = counters;
        this.networkFaults = networkFaults;
        codec = new GossipCodec(fleet);
        receiveLimiter =
                new RateLimiter(limits.peerDatagramsPerSecond(), limits.totalDatagramsPerSecond());
        sendLimiter = new RateLimiter(limits.peerBytesPerSecond(), limits.totalBytesPerSecond());
        channel = DatagramChannel.open();
        try {
            channel.configureBlocking(false);
            channel.setOption(
                    StandardSocketOptions.SO_RCVBUF,
                    DEFAULT_RECEIVE_BUFFER_BYTES + limits.ringCapacity() * MESSAGE_BUFFER_BYTES);
            channel.bind(listen);
        } catch (IOException e) {
            channel.close();
            throw new IOException("cannot have fleet address " + listen + ": " + e.getMessage(), e);
        }
    }

    /** To be registered for reading. */
    public DatagramChannel channel() {
        return channel;
    }

    /** Reads what lies at the socket, up to a bound; true if there may be more. */
    public boolean receive(BiConsumer<String, GossipMessage> consumer) throws IOException {
        for (int i = 0; i < MAX_DATAGRAMS_PER_READ; i++) {
            receiveBuffer.clear();
            SocketAddress source = channel.receive(receiveBuffer);
            if (source == null) {
                return false;
            }
            receiveBuffer.flip();
            receiveDatagram((InetSocketAddress) source, consumer);
        }
        return true;
    }

    private void receiveDatagram(
            InetSocketAddress source, BiConsumer<String, GossipMessage> consumer) {
        String address = source.getAddress().getHostAddress() + ":" + source.getPort();
        double delaySeconds = networkFaults.receiveDelaySeconds(address);
        if (delaySeconds < 0) {
            return; // was lost on the way here
        }
        counters.received(receiveBuffer.limit());
        if (!receiveLimiter.tryTake(source.getAddress(), 1, System.nanoTime() / 1e9)) {
            counters.countDrop(DropReason.TOO_MANY);
            return;
        }
        GossipCodec.Decoded decoded = codec.decode(receiveBuffer);
        if (decoded.dropReason() != null) {
            counters.countDrop(decoded.dropReason());
        } else if (delaySeconds > 0) {
            networkFaults.schedule(delaySeconds, () -> consumer.accept(address, decoded.message()));
        } else {
            consumer.accept(address, decoded.message());
        }
    }

    /** Sends a word at once, or drops and counts it. */
    public void send(String address, GossipMessage message) {
        if (!codec.encode(message, sendBuffer)) {
            counters.countDrop(DropReason.OVERSIZE);
            return;
        }
        int size = sendBuffer.limit();
        if (!sendLimiter.tryTake(address, size, System.nanoTime() / 1e9)) {
            counters.countDrop(DropReason.OVER_RATE);
            return;
        }
        double delaySeconds = networkFaults.sendDelaySeconds(address);
        if (delaySeconds < 0) {
            counters.sent(size); // the system took it, the network lost it
        } else if (delaySeconds > 0) {
            ByteBuffer copy = ByteBuffer.allocate(size).put(sendBuffer).flip();
            networkFaults.schedule(delaySeconds, () -> transmit(address, copy));
        } else {
            transmit(address, sendBuffer);
        }
    }

    private void transmit(String address, ByteBuffer bytes) {
        int size = bytes.limit();
        try {
            if (channel.isOpen()
                    && channel.send(bytes, Config.parseAddress("fleet address", address)) == size) {
                counters.sent(size);
                return;
            }
        } catch (IOException | ConfigException e) {
            counters.countDrop(DropReason.NOT_SENT); // no way there just now, or no address at all
            return;
        }
        counters.countDrop(DropReason.NOT_SENT);
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }
}
