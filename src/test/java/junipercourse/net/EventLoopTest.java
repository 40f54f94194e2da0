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
    void deadlinesRunInOrderNeverEarlyAndNotWhenCancelled() throws Exception {
        AtomicInteger failedTasks = new AtomicInteger();
        EventLoop loop = new EventLoop(failedTasks::incrementAndGet, e -> {});
        List<String> ran = new CopyOnWriteArrayList<>();
        double start = loop.now();
        loop.execute(
                () -> {
                    loop.scheduleAt(
                            start + 0.060, () -> ran.add("c " + (loop.now() >= start + 0.060)));
                    loop.scheduleAt(
                            start + 0.040, () -> ran.add("b " + (loop.now() >= start + 0.040)));
                    loop.cancel(loop.scheduleAt(start + 0.050, () -> ran.add("cancelled")));
                    loop.scheduleAt(
                            start + 0.020,
                            () -> {
                                ran.add("a");
                                throw new IllegalStateException("ends this task and no other");
                            });
                });
        SocketTestSupport.await(() -> ran.size() == 3);
        loop.stop();
        assertEquals(List.of("a", "b true", "c true"), ran);
        assertEquals(1, failedTasks.get());
    }

    /** XNIO truncates delays to whole milliseconds; the rest must not be spent in a busy loop. */
    @Test
    void eachDeadlineWakesTheLoopAtMostTwiceOnAverage() throws Exception {
        EventLoop loop = new EventLoop(() -> {}, e -> {});
        AtomicInteger remaining = new AtomicInteger(50);
        Runnable[] next = new Runnable[1];
        next[0] =
                () -> {
                    if (remaining.decrementAndGet() > 0) {
                        loop.scheduleAfter(0.0027, next[0]);
                    }
                };
        loop.execute(next[0]);
        SocketTestSupport.await(() -> remaining.get() == 0);
        loop.stop();
        assertTrue(
                loop.wakeUpCount() <= 100,
                "woken " + loop.wakeUpCount() + " times for 50 deadlines");
    }

    /**
     * Small writes that the system delays would be lost with a close: TCP_NODELAY is set on both
     * sides.
     */
    @Test
    void everyConnectionHasNoDelaySet() throws Exception {
        EventLoop loop = new EventLoop(() -> {}, e -> {});
        Map<String, Boolean> noDelay = new ConcurrentHashMap<>();
        loop.execute(
                () -> {
                    try {
                        InetSocketAddress anyPort =
                                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
                        InetSocketAddress listenAddress =
                                loop.listen(
                                                anyPort,
                                                5,
                                                c -> noDelay.put("accepted", isNoDelaySet(c)))
                                        .getLocalAddress(InetSocketAddress.class);
                        loop.dial(
                                listenAddress,
                                2,
                                c -> noDelay.put("connected", isNoDelaySet(c)),
                                f -> {});
                        ServerSocketChannel existing = ServerSocketChannel.open().bind(anyPort);
                        loop.listen(
                                existing,
                                5,
                                c ->
                                        noDelay.put(
                                                "accepted from an existing socket",
                                                isNoDelaySet(c)));
                        loop.dial(
                                (InetSocketAddress) existing.getLocalAddress(),
                                2,
                                c -> {},
                                f -> {});
                    } catch (IOException e) {
                        throw new UncheckedIOException(e);
                    }
                });
        SocketTestSupport.await(() -> noDelay.size() == 3);
        loop.stop();
        assertEquals(Set.of(true), Set.copyOf(noDelay.values()), noDelay.toString());
    }

    private static boolean isNoDelaySet(StreamConnection connection) {
        try {
            return connection.getOption(Options.TCP_NODELAY);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
