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
 * A UDP proxy between dispatchers. Each dispatcher advertises the address of a proxy socket. A
 * datagram from A that arrives at the proxy socket of B is forwarded to B from the proxy socket of
 * A, so each ordered pair has its own link, which can lose, duplicate and delay datagrams and
 * thereby reorder them. The treatment of a pair's n-th datagram depends on the seed, the pair and n
 * alone.
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
     * The faults of the link from one member to another.
     *
     * @param lossRate fraction of the datagrams that is lost
     * @param duplicationRate fraction of the datagrams that arrives twice
     * @param delayMillis minimum delay @param jitterMillis maximum random delay in addition
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
        Thread thread = new Thread(this::run, "proxy");
        thread.setDaemon(true);
        thread.start();
    }

    /** Returns the address to which the member binds its socket. */
    InetSocketAddress listenAddress(int member) {
        return memberAddresses.get(member);
    }

    /** Returns the address to which other members send: that of the member's proxy socket. */
    String advertisedAddress(int member) {
        try {
            InetSocketAddress address =
                    (InetSocketAddress) proxyChannels.get(member).getLocalAddress();
            return address.getAddress().getHostAddress() + ":" + address.getPort();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Sets the fault of the link from one member to another. */
    void setFault(int sender, int receiver, Fault fault) {
        synchronized (faults) {
            faults[sender][receiver] = fault;
        }
    }

    /** Sets the fault of all links. */
    void setAllFaults(Fault fault) {
        for (int sender = 0; sender < faults.length; sender++) {
            for (int receiver = 0; receiver < faults.length; receiver++) {
                setFault(sender, receiver, fault);
            }
        }
    }

    /** Cuts all links between the two sides, in both directions. */
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
        double lossDraw =
                random.nextDouble(); // every datagram draws the same number of random values
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

    /** Sends datagrams to a member's own socket from an address that belongs to no member. */
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
