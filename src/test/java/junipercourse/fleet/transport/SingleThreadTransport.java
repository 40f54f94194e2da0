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
    private static final int MOST_AT_ONCE = 256;

    /**
     * What a socket has by itself on Linux and what the longest word takes there, which it counts
     * double.
     */
    private static final int OWN_BUFFER = 106_496;

    private static final int WORD_BUFFER = 1152;

    private final GossipCodec codec;
    private final RateLimiter rateIn;
    private final RateLimiter rateOut;
    private final TransportCounters tally;
    private final NetworkFaults path;
    private final ByteBuffer received =
            ByteBuffer.allocate(GossipCodec.MAX_DATAGRAM_BYTES + 1); // one more tells too long
    private final ByteBuffer sent = ByteBuffer.allocate(GossipCodec.MAX_DATAGRAM_BYTES);
    private final DatagramChannel channel;

    /** The faults between members. */
    public interface NetworkFaults {
        /** Seconds that a datagram to this address is held back; below 0 if it is lost. */
        double sendDelaySeconds(String to);

        /** The same for one that came, of a sender that has no path of its own. */
        double receiveDelaySeconds(String from);

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
            RateLimits bounds,
            TransportCounters tally,
            NetworkFaults path)
            throws IOException {
        this.tally = tally;
        this.path = path;
        codec = new GossipCodec(fleet);
        rateIn = new RateLimiter(bounds.peerDatagramsPerSecond(), bounds.totalDatagramsPerSecond());
        rateOut = new RateLimiter(bounds.peerBytesPerSecond(), bounds.totalBytesPerSecond());
        channel = DatagramChannel.open();
        try {
            channel.configureBlocking(false);
            channel.setOption(
                    StandardSocketOptions.SO_RCVBUF,
                    OWN_BUFFER + bounds.ringCapacity() * WORD_BUFFER);
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
    public boolean receive(BiConsumer<String, GossipMessage> heard) throws IOException {
        for (int i = 0; i < MOST_AT_ONCE; i++) {
            received.clear();
            SocketAddress from = channel.receive(received);
            if (from == null) {
                return false;
            }
            received.flip();
            take((InetSocketAddress) from, heard);
        }
        return true;
    }

    private void take(InetSocketAddress from, BiConsumer<String, GossipMessage> heard) {
        String address = from.getAddress().getHostAddress() + ":" + from.getPort();
        double delay = path.receiveDelaySeconds(address);
        if (delay < 0) {
            return; // was lost on the way here
        }
        tally.received(received.limit());
        if (!rateIn.tryTake(from.getAddress(), 1, System.nanoTime() / 1e9)) {
            tally.drop(DropReason.TOO_MANY);
            return;
        }
        GossipCodec.Decoded read = codec.decode(received);
        if (read.dropReason() != null) {
            tally.drop(read.dropReason());
        } else if (delay > 0) {
            path.schedule(delay, () -> heard.accept(address, read.message()));
        } else {
            heard.accept(address, read.message());
        }
    }

    /** Sends a word at once, or drops and counts it. */
    public void send(String address, GossipMessage word) {
        if (!codec.encode(word, sent)) {
            tally.drop(DropReason.OVERSIZE);
            return;
        }
        int size = sent.limit();
        if (!rateOut.tryTake(address, size, System.nanoTime() / 1e9)) {
            tally.drop(DropReason.OVER_RATE);
            return;
        }
        double delay = path.sendDelaySeconds(address);
        if (delay < 0) {
            tally.sent(size); // the system took it, the network lost it
        } else if (delay > 0) {
            ByteBuffer copy = ByteBuffer.allocate(size).put(sent).flip();
            path.schedule(delay, () -> transmit(address, copy));
        } else {
            transmit(address, sent);
        }
    }

    private void transmit(String address, ByteBuffer bytes) {
        int size = bytes.limit();
        try {
            if (channel.isOpen()
                    && channel.send(bytes, Config.parseAddress("fleet address", address)) == size) {
                tally.sent(size);
                return;
            }
        } catch (IOException | ConfigException e) {
            tally.drop(DropReason.NOT_SENT); // no way there just now, or no address at all
            return;
        }
        tally.drop(DropReason.NOT_SENT);
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }
}
