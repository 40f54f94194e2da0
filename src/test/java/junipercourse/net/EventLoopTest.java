package junipercourse.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import junipercourse.SocketTestSupport;
import org.junit.jupiter.api.Test;
import org.xnio.Options;
import org.xnio.StreamConnection;

class EventLoopTest {
    @Test
    void deadlinesComeInOrderNeverEarlyAndNotWhenTakenBack() throws Exception {
        AtomicInteger faults = new AtomicInteger();
        EventLoop loop = new EventLoop(faults::incrementAndGet, e -> {});
        List<String> got = new CopyOnWriteArrayList<>();
        double start = loop.now();
        loop.execute(
                () -> {
                    loop.scheduleAt(
                            start + 0.060, () -> got.add("c " + (loop.now() >= start + 0.060)));
                    loop.scheduleAt(
                            start + 0.040, () -> got.add("b " + (loop.now() >= start + 0.040)));
                    loop.cancel(loop.scheduleAt(start + 0.050, () -> got.add("taken back")));
                    loop.scheduleAt(
                            start + 0.020,
                            () -> {
                                got.add("a");
                                throw new IllegalStateException("costs this task and no other");
                            });
                });
        SocketTestSupport.await(() -> got.size() == 3);
        loop.stop();
        assertEquals(List.of("a", "b true", "c true"), got);
        assertEquals(1, faults.get());
    }

    /** XNIO cuts delays to whole milliseconds; the rest of one must not be spent in a busy loop. */
    @Test
    void aDeadlineWakesTheLoopAboutOnce() throws Exception {
        EventLoop loop = new EventLoop(() -> {}, e -> {});
        AtomicInteger left = new AtomicInteger(50);
        Runnable[] next = new Runnable[1];
        next[0] =
                () -> {
                    if (left.decrementAndGet() > 0) {
                        loop.scheduleAfter(0.0027, next[0]);
                    }
                };
        loop.execute(next[0]);
        SocketTestSupport.await(() -> left.get() == 0);
        loop.stop();
        assertTrue(
                loop.wakeUpCount() <= 100,
                "woken " + loop.wakeUpCount() + " times for 50 deadlines");
    }

    /**
     * Small writes that the system holds back would go down with a close: on both sides none are.
     */
    @Test
    void noConnectionHoldsSmallWritesBack() throws Exception {
        EventLoop loop = new EventLoop(() -> {}, e -> {});
        Map<String, Boolean> noDelay = new ConcurrentHashMap<>();
        loop.execute(
                () -> {
                    try {
                        InetSocketAddress any =
                                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
                        InetSocketAddress at =
                                loop.listen(any, 5, c -> noDelay.put("accepted", isSet(c)))
                                        .getLocalAddress(InetSocketAddress.class);
                        loop.dial(at, 2, c -> noDelay.put("dialled", isSet(c)), f -> {});
                        ServerSocketChannel held = ServerSocketChannel.open().bind(any);
                        loop.listen(
                                held, 5, c -> noDelay.put("accepted from a held socket", isSet(c)));
                        loop.dial((InetSocketAddress) held.getLocalAddress(), 2, c -> {}, f -> {});
                    } catch (IOException e) {
                        throw new UncheckedIOException(e);
                    }
                });
        SocketTestSupport.await(() -> noDelay.size() == 3);
        loop.stop();
        assertEquals(Set.of(true), Set.copyOf(noDelay.values()), noDelay.toString());
    }

    private static boolean isSet(StreamConnection connection) {
        try {
            return connection.getOption(Options.TCP_NODELAY);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
