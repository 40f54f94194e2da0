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
 * The hollow members' bus clients, the real ones, all on one loop; what they heard, and how late.
 */
final class EndpointWatchers implements Closeable {
    private static final int MAX_EVENTS = 10_000;
    private static final int HISTOGRAM_DIGITS = 3;

    private final FakeEventBus bus = new FakeEventBus();
    private final EventLoop loop = new EventLoop(() -> {}, Throwable::printStackTrace);
    private final EndpointWatcher[] watchers;
    private final AtomicIntegerArray lastEvents;
    private final AtomicLongArray sentNanos = new AtomicLongArray(MAX_EVENTS + 1);

    /** Microseconds from the bus' writing to each client's having an event. */
    private final ConcurrentHistogram lagMicros = new ConcurrentHistogram(HISTOGRAM_DIGITS);

    private volatile int postedCount;

    EndpointWatchers(int size) throws IOException {
        watchers = new EndpointWatcher[size];
        lastEvents = new AtomicIntegerArray(size);
        loop.execute(loop::startStallDetection);
    }

    /** The member's process has started: its client begins with the events up to now. */
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

    /** The member's process has ended. */
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

    /** Posts one event. */
    void post() {
        if (postedCount >= MAX_EVENTS) {
            throw new IllegalStateException("more than " + MAX_EVENTS + " events");
        }
        postedCount++;
        bus.post(number -> sentNanos.set(number, System.nanoTime()));
    }

    /** Whether all these have all that was posted. */
    boolean haveAllEvents(IntStream members) {
        return members.allMatch(member -> lastEvents.get(member) == postedCount);
    }

    /** How many the bus tells now. */
    int subscriberCount() {
        return bus.subscriberCount();
    }

    /** Seconds that an event took, at a percentile over events and members. */
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
