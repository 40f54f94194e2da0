package junipercourse.scale;

import com.eclipsesource.json.Json;
import java.io.Closeable;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.atomic.AtomicIntegerArray;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.stream.IntStream;
import junipercourse.core.Counters;
import junipercourse.discovery.EndpointWatcher;
import junipercourse.net.EventLoop;
import org.HdrHistogram.ConcurrentHistogram;

/**
 * The real event bus clients of all hollow members on one event loop, with the events that they
 * received and their delay.
 */
final class EndpointWatchers implements Closeable {
    private static final int MAX_EVENTS = 10_000;
    private static final int HISTOGRAM_DIGITS = 3;

    private final FakeEventBus bus = new FakeEventBus();
    private final EventLoop loop = new EventLoop(() -> {}, Throwable::printStackTrace);
    private final EndpointWatcher[] watchers;
    private final AtomicIntegerArray lastEvents;
    private final AtomicLongArray sentNanos = new AtomicLongArray(MAX_EVENTS + 1);

    /** Microseconds from the bus sending an event until a client has received it. */
    private final ConcurrentHistogram lagMicros = new ConcurrentHistogram(HISTOGRAM_DIGITS);

    private volatile int postedCount;

    EndpointWatchers(int size) throws IOException {
        watchers = new EndpointWatcher[size];
        lastEvents = new AtomicIntegerArray(size);
        loop.execute(loop::startStallDetection);
    }

    /**
     * Starts the watcher of a member whose process has started; it subscribes after the events
     * published so far.
     */
    void start(int member) {
        loop.execute(
                () -> {
                    lastEvents.set(member, postedCount);
                    try {
                        watchers[member] =
                                new EndpointWatcher(
                                        loop,
                                        bus.address(),
                                        Json.parse("{\"offset\":" + postedCount + ",\"batch\":[]}")
                                                .asObject(),
                                        List.of("east"),
                                        List.of("std"),
                                        (kind, members) ->
                                                recordReceived(
                                                        member,
                                                        (int) members.get(0).engine().id().value()),
                                        new Counters());
                    } catch (IOException e) {
                        throw new IllegalStateException(e);
                    }
                    watchers[member].start();
                });
    }

    /** Stops the watcher of a member whose process has ended. */
    void stop(int member) {
        loop.execute(
                () -> {
                    if (watchers[member] != null) {
                        watchers[member].reconfigure(null, List.of());
                        watchers[member] = null;
                    }
                });
    }

    private void recordReceived(int member, int event) {
        lastEvents.set(member, event);
        lagMicros.recordValue(Math.max(0, (System.nanoTime() - sentNanos.get(event)) / 1000));
    }

    /** Publishes one event. */
    void post() {
        if (postedCount >= MAX_EVENTS) {
            throw new IllegalStateException("more than " + MAX_EVENTS + " events");
        }
        postedCount++;
        bus.post(number -> sentNanos.set(number, System.nanoTime()));
    }

    /** Whether all these members have received the last published event. */
    boolean haveAllEvents(IntStream members) {
        return members.allMatch(member -> lastEvents.get(member) == postedCount);
    }

    /** Number of clients that are subscribed to the bus. */
    int subscriberCount() {
        return bus.subscriberCount();
    }

    /** Delivery delay in seconds at a percentile over all events and members. */
    double lagSecondsAt(double percentile) {
        return lagMicros.getValueAtPercentile(percentile) / 1e6;
    }

    long receivedCount() {
        return lagMicros.getTotalCount();
    }

    @Override
    public void close() throws IOException {
        loop.stop();
        bus.close();
    }
}
