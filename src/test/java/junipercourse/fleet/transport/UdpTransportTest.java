package junipercourse.fleet.transport;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.util.List;
import junipercourse.fleet.membership.GossipMessage;
import org.junit.jupiter.api.Test;

/**
 * The transport's rings and rate limits on real sockets: no call blocks, and overflow is counted.
 */
class UdpTransportTest {
    private static final RateLimits LIMITS = new RateLimits(1000, 1e6, 1e6, 1e6, 8);

    private static UdpTransport startTransport(InetSocketAddress listen) throws IOException {
        UdpTransport transport = new UdpTransport("f", listen, LIMITS, line -> {});
        transport.start(Thread.currentThread());
        return transport;
    }

    private static GossipMessage message(int sequence) {
        return new GossipMessage(
                "n1", 1, GossipMessage.Kind.PING, sequence, "n2", 5, List.of(), 0, 0);
    }

    @Test
    void overflowIsCountedAndTheRestArrives() throws Exception {
        InetSocketAddress anyPort = new InetSocketAddress("127.0.0.8", 0);
        try (UdpTransport sender = startTransport(anyPort);
                UdpTransport receiver = startTransport(anyPort)) {
            String receiverAddress =
                    "127.0.0.8:" + ((InetSocketAddress) receiver.address()).getPort();
            sender.send("nowhere", message(0));
            await().until(() -> sender.counters().dropped(DropReason.NOT_SENT) == 1);
            for (int i = 0; i < 8; i++) {
                int expectedSent = i + 1;
                sender.send(receiverAddress, message(i));
                await().until(() -> sender.counters().sent() == expectedSent);
            }
            await().until(() -> receiver.counters().received() == 8);
            sender.send(receiverAddress, message(8));
            await().until(() -> receiver.counters().dropped(DropReason.IN_RING_FULL) == 1);
            for (int i = 0; i < 8; i++) {
                assertEquals(message(i), receiver.poll().message());
            }
            while (sender.counters().dropped(DropReason.OVER_RATE) == 0
                    || sender.counters().dropped(DropReason.OUT_RING_FULL) == 0) {
                sender.send(receiverAddress, message(9)); // never blocks
            }
        }
    }

    @Test
    void addressInUseIsRetriedAndForeignAddressFails() throws Exception {
        DatagramSocket holder = new DatagramSocket(new InetSocketAddress("127.0.0.8", 0));
        try (UdpTransport transport =
                startTransport((InetSocketAddress) holder.getLocalSocketAddress())) {
            assertFalse(transport.isBound());
            holder.close();
            await().until(transport::isBound);
        }
        String message =
                assertThrows(
                                IOException.class,
                                () -> startTransport(new InetSocketAddress("192.0.2.1", 7101)))
                        .getMessage();
        assertTrue(message.startsWith("cannot bind fleet address /192.0.2.1:7101"), message);
    }
}
