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
    private static final int EVENTS_MOST = 10_000;
    private static final int DIGITS = 3;

    private final FakeEventBus bus = new FakeEventBus();
    private final EventLoop loop = new EventLoop(() -> {}, Throwable::printStackTrace);
    private final EndpointWatcher[] clients;
    private final AtomicIntegerArray last;
    private final AtomicLongArray toldAt = new AtomicLongArray(EVENTS_MOST + 1);

    /** Microseconds from the bus' writing to each client's having an event. */
    private final ConcurrentHistogram lag = new ConcurrentHistogram(DIGITS);

    private volatile int posted;

    EndpointWatchers(int size) throws IOException {
        clients = new EndpointWatcher[size];
        last = new AtomicIntegerArray(size);
        loop.execute(loop::startStallDetection);
    }

    /** The member's process has started: its client begins with the events up to now. */
    void start(int member) {
        loop.execute(
                () -> {
                    last.set(member, posted);
                    try {
                        clients[member] =
                                new EndpointWatcher(
                                        loop,
                                        bus.address(),
                                        Json.parse("{\"offset\":" + posted + ",\"batch\":[]}")
                                                .asObject(),
                                        List.of("east"),
                                        List.of("std"),
                                        (kind, members) ->
                                                heard(
                                                        member,
                                                        (int) members.get(0).engine().id().value()),
                                        new Counters());
                    } catch (IOException e) {
                        throw new IllegalStateException(e);
                    }
                    clients[member].start();
                });
    }

    /** The member's process has ended. */
    void stop(int member) {
        loop.execute(
                () -> {
                    if (clients[member] != null) {
                        clients[member].reconfigure(null, List.of());
                        clients[member] = null;
                    }
                });
    }

    private void heard(int member, int event) {
        last.set(member, event);
        lag.recordValue(Math.max(0, (System.nanoTime() - toldAt.get(event)) / 1000));
    }

    /** Posts one event. */
    void post() {
        if (posted >= EVENTS_MOST) {
            throw new IllegalStateException("more than " + EVENTS_MOST + " events");
        }
        posted++;
        bus.post(number -> toldAt.set(number, System.nanoTime()));
    }

    /** Whether all these have all that was posted. */
    boolean haveAll(IntStream members) {
        return members.allMatch(member -> last.get(member) == posted);
    }

    /** How many the bus tells now. */
    int listening() {
        return bus.listeners();
    }

    /** Seconds that an event took, at a percentile over events and members. */
    double lagAt(double percentile) {
        return lag.getValueAtPercentile(percentile) / 1e6;
    }

    long heardInAll() {
        return lag.getTotalCount();
    }

    @Override
    public void close() throws IOException {
        loop.stop();
        bus.close();
    }
}
