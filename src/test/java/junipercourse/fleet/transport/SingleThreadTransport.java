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
 * {@link UdpTransport} without its own thread and rings, so that many members can share one thread.
 * Socket, codec, rate limits, drop reasons and counters are the same. Without the two rings, {@code
 * IN_RING_FULL} and {@code OUT_RING_FULL} never occur: received messages wait in the socket's
 * buffer, which is larger by the capacity of the receive ring. {@link NetworkFaults} may lose or
 * delay a datagram between the transport and the network.
 */
public final class SingleThreadTransport implements Closeable {
    private static final int MAX_DATAGRAMS_PER_READ = 256;

    /**
     * A socket's default receive buffer on Linux; {@link #MESSAGE_BUFFER_BYTES} is the space that
     * the longest message takes there. Linux doubles the requested size.
     */
    private static final int DEFAULT_RECEIVE_BUFFER_BYTES = 106_496;

    private static final int MESSAGE_BUFFER_BYTES = 1152;

    private final GossipCodec codec;
    private final RateLimiter receiveLimiter;
    private final RateLimiter sendLimiter;
    private final TransportCounters counters;
    private final NetworkFaults networkFaults;
    private final ByteBuffer receiveBuffer =
            ByteBuffer.allocate(
                    GossipCodec.MAX_DATAGRAM_BYTES
                            + 1); // an extra byte reveals an oversized datagram
    private final ByteBuffer sendBuffer = ByteBuffer.allocate(GossipCodec.MAX_DATAGRAM_BYTES);
    private final DatagramChannel channel;

    /** Simulated faults of the network between members. */
    public interface NetworkFaults {
        /** Returns the delay of a datagram to this address; below 0 if it is lost. */
        double sendDelaySeconds(String address);

        /**
         * Returns the delay of a received datagram whose sender simulates no faults; below 0 if it
         * is lost.
         */
        double receiveDelaySeconds(String address);

        /** Runs a task after a delay, on the transport's thread. */
        void schedule(double seconds, Runnable task);
    }

    /**
     * Opens and binds the socket.
     *
     * @param tally continues across restarts of a member
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
            throw new IOException("cannot bind fleet address " + listen + ": " + e.getMessage(), e);
        }
    }

    /** Returns the channel, for registration with a selector. */
    public DatagramChannel channel() {
        return channel;
    }

    /** Reads a bounded number of datagrams from the socket; returns true if there may be more. */
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
            return; // lost by the simulated network
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

    /** Sends a message after its simulated delay, or drops and counts it. */
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
            counters.sent(size); // accepted by the system, lost by the simulated network
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
            counters.countDrop(
                    DropReason.NOT_SENT); // the address is unreachable at present or malformed
            return;
        }
        counters.countDrop(DropReason.NOT_SENT);
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }
}
