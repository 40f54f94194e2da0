package junipercourse.multiprocess;

import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedSelectorException;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * The network between dispatchers. Each sends to the addresses that the others advertise, which are
 * sockets here: what comes to the one that stands for B from A's own socket goes on to B's, out of
 * the socket that stands for A. So each ordered pair has a way of its own, which cuts, loses,
 * doubles, delays and thereby reorders. The fate of a pair's n-th datagram is drawn from the seed,
 * the pair and n alone.
 */
final class FaultInjectingProxy implements Closeable {
    private static final int MAX_DATAGRAM_BYTES = 2000;
    private final List<InetSocketAddress> memberAddresses = new ArrayList<>();
    private final List<DatagramChannel> proxyChannels = new ArrayList<>();
    private final Map<SocketAddress, Integer> membersByAddress = new HashMap<>();
    private final Fault[][] faults;
    private final SplittableRandom[][] randoms;
    private final Selector selector = Selector.open();
    private final PriorityQueue<DelayedDatagram> delayed = new PriorityQueue<>();
    private volatile boolean closed;
    private long datagramCount;

    /**
     * What becomes of datagrams on one way.
     *
     * @param lose part of them lost
     * @param twice part of them that comes twice
     * @param delayMs at least, plus up to {@code jitterMs}
     */
    record Fault(double lossRate, double duplicationRate, double delayMillis, double jitterMillis) {
        static final Fault NONE = new Fault(0, 0, 0, 0);
        static final Fault CUT = new Fault(1, 0, 0, 0);
        static final Fault UNRELIABLE = new Fault(0.3, 0.1, 0, 30);
    }

    private record DelayedDatagram(
            long dueNanos, long sequence, int sender, int receiver, byte[] bytes)
            implements Comparable<DelayedDatagram> {
        @Override
        public int compareTo(DelayedDatagram other) {
            int order = Long.compare(dueNanos, other.dueNanos);
            return order == 0 ? Long.compare(sequence, other.sequence) : order;
        }
    }

    FaultInjectingProxy(int members, long seed) throws IOException {
        faults = new Fault[members][members];
        randoms = new SplittableRandom[members][members];
        for (int i = 0; i < members; i++) {
            try (DatagramSocket freeSocket =
                    new DatagramSocket(new InetSocketAddress("127.0.0." + (10 + i), 0))) {
                memberAddresses.add((InetSocketAddress) freeSocket.getLocalSocketAddress());
            }
            membersByAddress.put(memberAddresses.get(i), i);
            DatagramChannel proxyChannel = DatagramChannel.open();
            proxyChannels.add(proxyChannel.bind(new InetSocketAddress("127.0.1." + (10 + i), 0)));
            proxyChannel.configureBlocking(false);
            proxyChannel.register(selector, SelectionKey.OP_READ, i);
            for (int j = 0; j < members; j++) {
                faults[i][j] = Fault.NONE;
                randoms[i][j] = new SplittableRandom(seed * 10_007 + i * 101L + j);
            }
        }
        Thread thread = new Thread(this::run, "hub");
        thread.setDaemon(true);
        thread.start();
    }

    /** Where the member has its own socket. */
    InetSocketAddress listenAddress(int member) {
        return memberAddresses.get(member);
    }

    /** Where the others send to. */
    String advertisedAddress(int member) {
        try {
            InetSocketAddress address =
                    (InetSocketAddress) proxyChannels.get(member).getLocalAddress();
            return address.getAddress().getHostAddress() + ":" + address.getPort();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** From now on so on the way from one to the other. */
    void setFault(int sender, int receiver, Fault fault) {
        synchronized (faults) {
            faults[sender][receiver] = fault;
        }
    }

    /** From now on so on all ways. */
    void setAllFaults(Fault fault) {
        for (int sender = 0; sender < faults.length; sender++) {
            for (int receiver = 0; receiver < faults.length; receiver++) {
                setFault(sender, receiver, fault);
            }
        }
    }

    /** Cuts all ways between the two sides. */
    void partition(List<Integer> oneSide, List<Integer> otherSide) {
        oneSide.forEach(
                oneMember ->
                        otherSide.forEach(
                                otherMember -> {
                                    setFault(oneMember, otherMember, Fault.CUT);
                                    setFault(otherMember, oneMember, Fault.CUT);
                                }));
    }

    private void run() {
        ByteBuffer buffer = ByteBuffer.allocate(MAX_DATAGRAM_BYTES);
        try {
            while (!closed) {
                long waitMillis =
                        delayed.isEmpty()
                                ? 1000
                                : (delayed.peek().dueNanos() - System.nanoTime()) / 1_000_000;
                if (waitMillis > 0) {
                    selector.select(waitMillis);
                } else {
                    selector.selectNow();
                }
                for (SelectionKey key : selector.selectedKeys()) {
                    receive((DatagramChannel) key.channel(), (Integer) key.attachment(), buffer);
                }
                selector.selectedKeys().clear();
                while (!delayed.isEmpty() && delayed.peek().dueNanos() <= System.nanoTime()) {
                    DelayedDatagram datagram = delayed.poll();
                    proxyChannels
                            .get(datagram.sender())
                            .send(
                                    ByteBuffer.wrap(datagram.bytes()),
                                    memberAddresses.get(datagram.receiver()));
                }
            }
        } catch (IOException | ClosedSelectorException e) {
            if (!closed) {
                throw new AssertionError(e);
            }
        }
    }

    private void receive(DatagramChannel proxyChannel, int receiver, ByteBuffer buffer)
            throws IOException {
        buffer.clear();
        for (SocketAddress source = proxyChannel.receive(buffer);
                source != null;
                source = proxyChannel.receive(buffer)) {
            Integer sender = membersByAddress.get(source);
            if (sender != null) {
                byte[] datagram = new byte[buffer.flip().remaining()];
                buffer.get(datagram);
                forward(sender, receiver, datagram);
            }
            buffer.clear();
        }
    }

    private void forward(int sender, int receiver, byte[] datagram) {
        Fault fault;
        synchronized (faults) {
            fault = faults[sender][receiver];
        }
        SplittableRandom random = randoms[sender][receiver];
        double lossDraw = random.nextDouble(); // always the same number of draws for each datagram
        double duplicationDraw = random.nextDouble();
        double[] delayDraws = {random.nextDouble(), random.nextDouble()};
        for (int i = 0;
                i < (duplicationDraw < fault.duplicationRate() ? 2 : 1)
                        && lossDraw >= fault.lossRate();
                i++) {
            long dueNanos =
                    System.nanoTime()
                            + (long)
                                    ((fault.delayMillis() + delayDraws[i] * fault.jitterMillis())
                                            * 1e6);
            delayed.add(new DelayedDatagram(dueNanos, datagramCount++, sender, receiver, datagram));
        }
    }

    /** Sends what is no member's to a member's own socket. */
    void sendFromUnknownAddress(int receiver, byte[]... datagrams) throws IOException {
        try (DatagramChannel channel = DatagramChannel.open()) {
            channel.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            for (byte[] datagram : datagrams) {
                channel.send(ByteBuffer.wrap(datagram), memberAddresses.get(receiver));
            }
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        selector.wakeup();
        for (DatagramChannel proxyChannel : proxyChannels) {
            proxyChannel.close();
        }
        selector.close();
    }
}
