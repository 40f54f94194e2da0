package junipercourse.discovery;

import com.eclipsesource.json.JsonObject;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Objects;
import junipercourse.core.Backend.EngineEndpoint;
import junipercourse.core.Counters;
import junipercourse.core.Counters.Count;
import junipercourse.decision.api.EndpointUpdateKind;
import junipercourse.net.Connection;
import junipercourse.net.DeadlineQueue;
import junipercourse.net.EventLoop;
import org.tinylog.Logger;
import org.xnio.StreamConnection;

/**
 * Follows the event bus from the last event it has, over as many connections as that takes, one at
 * a time.
 *
 * <p>An event counts as told 7 s after it is in the event bus, whether it arrived or not
 * (PROTOCOL). So from the last whole frame of a watch to a new watch takes, where the bus takes one
 * by then:
 *
 * <ul>
 *   <li>2.5 s ({@link #SILENCE_S}) until the silence is noticed, and nothing more: a pause between
 *       two dials is counted from the first of them, so that after a silence none is left;
 *   <li>1.0 s ({@link #DIAL_TIMEOUT_S}) more for a connection that does not come up;
 *   <li>2.5 s more for one that comes up and brings no whole frame, be it mute or dribbling, and
 *       twice that for each further one in a row;
 *   <li>0.5 s ({@link #RETRY_MOST_S}) more at most for each that is refused, closed or garbled;
 * </ul>
 *
 * 6.0 s with one of each of the first three. What comes between is the network's. After a longer
 * outage, the next dial is due at most 1.0 s after the bus has returned, or 5.0 s ({@link
 * #SILENCE_MOST_S}) if it had taken connections all the time and said nothing on them. A stall of
 * our own adds its length: silence is counted from when the bytes that came during it were read.
 */
public final class EndpointWatcher {
    private static final double DIAL_TIMEOUT_S = 1.0;
    private static final double SILENCE_S = 2.5; // an empty frame comes each second

    /**
     * Guards a bus that is slow to speak, to many at once, against being left each time before it
     * does.
     */
    private static final double SILENCE_MOST_S = 5.0;

    /** Between two dials, from one to the next: at most ten a second, whatever the bus does. */
    private static final double RETRY_FIRST_S = 0.1;

    private static final double RETRY_MOST_S = 0.5;

    /** Takes the news of the list. */
    public interface Listener {
        void onEndpointUpdate(EndpointUpdateKind updateKind, List<EngineEndpoint> endpoints);
    }

    private final EventLoop loop;
    private final InitialEventsReader reader;
    private InetSocketAddress bus;
    private final Listener listener;
    private final Counters counters;
    private EventLoop.Dial dial;
    private Watch watch;
    private DeadlineQueue.Entry redial;
    private double dialledAt = Double.NEGATIVE_INFINITY;
    private double retry = RETRY_FIRST_S;
    private double patience = SILENCE_S;
    private List<InitialEventsReader.Event> known = List.of();
    private long last;

    /**
     * Reads the events of the start, so that a fault in them is told before anything runs.
     *
     * @param bus the event bus, or null: then the list stays as it is known
     * @param known the events of the start, or null
     * @param zones the settings' list, as is {@code kinds}
     */
    public EndpointWatcher(
            EventLoop loop,
            InetSocketAddress bus,
            JsonObject known,
            List<String> zones,
            List<String> kinds,
            Listener listener,
            Counters counters) {
        this.loop = loop;
        this.bus = bus;
        this.listener = listener;
        this.counters = counters;
        this.reader = new InitialEventsReader(zones, kinds);
        if (known != null) {
            this.known = reader.read(known);
            last = InitialEventsReader.offset(known);
        }
    }

    /**
     * Tells the events of the start, then connects, and does so again whenever the connection is
     * lost.
     */
    public void start() {
        for (InitialEventsReader.Event e : known) {
            tell(e, EndpointUpdateKind.CACHED);
        }
        known = List.of();
        if (bus != null) {
            dial();
        }
    }

    private void tell(InitialEventsReader.Event e, EndpointUpdateKind whole) {
        last = Math.max(last, e.offset());
        listener.onEndpointUpdate(e.isFullList() ? whole : EndpointUpdateKind.DELTA, e.endpoints());
    }

    /**
     * Reads and checks the events that a new configuration holds; null holds none. For any thread.
     */
    public List<InitialEventsReader.Event> readInitialEvents(JsonObject newlyKnown) {
        return newlyKnown == null ? List.of() : reader.read(newlyKnown);
    }

    /**
     * Takes on a new configuration: tells those of its events that are new here, and if the event
     * bus has another address, connects there at once, from the last event, and leaves the old one.
     */
    public void reconfigure(InetSocketAddress newBus, List<InitialEventsReader.Event> newlyKnown) {
        newlyKnown.stream()
                .filter(e -> e.offset() > last)
                .forEach(e -> tell(e, EndpointUpdateKind.FULL));
        if (Objects.equals(newBus, bus)) {
            return;
        }
        bus = newBus;
        leave();
        retry = RETRY_FIRST_S;
        patience = SILENCE_S;
        if (bus != null) {
            dial();
        }
    }

    /** The one place where the connection, or the wait for one, is given up. */
    private void leave() {
        loop.cancel(redial);
        if (dial != null) {
            dial.cancel();
            dial = null;
        }
        if (watch != null) {
            watch.close();
            watch = null;
        }
    }

    private void dial() {
        dialledAt = loop.now();
        dial = loop.dial(bus, DIAL_TIMEOUT_S, this::connected, why -> again());
    }

    private void connected(StreamConnection connection) {
        dial = null;
        counters.increment(Count.ROSTER_CONNECTED);
        watch = new Watch(connection);
    }

    /**
     * Connects anew, after a pause since the last dial that grows while no connection brings
     * anything.
     */
    private void again() {
        leave();
        redial = loop.scheduleAt(Math.max(loop.now(), dialledAt + retry), this::dial);
        retry = Math.min(RETRY_MOST_S, retry * 2);
    }

    /** One connection to the event bus; once it is left, nothing that it still brings counts. */
    private final class Watch implements Connection.Handler {
        private final WatchFrameDecoder frames = new WatchFrameDecoder();
        private final Connection link;
        private DeadlineQueue.Entry silence;
        private boolean spoke;

        Watch(StreamConnection connection) {
            link = new Connection(loop, connection, this);
            link.write(ByteBuffer.allocate(Long.BYTES).putLong(last).array());
            listen();
        }

        private void listen() {
            loop.cancel(silence);
            silence =
                    loop.scheduleAfter(
                            patience,
                            () -> {
                                Logger.warn("the event bus is silent; connecting again");
                                if (!spoke) {
                                    patience = Math.min(SILENCE_MOST_S, patience * 2);
                                }
                                again();
                            });
        }

        @Override
        public void received(ByteBuffer bytes) {
            frames.add(bytes);
            try {
                for (WatchFrameDecoder.Frame f = frames.next();
                        f != null;
                        f = watch == this ? frames.next() : null) {
                    take(f);
                }
            } catch (WatchFrameDecoder.MalformedFrameException e) {
                counters.increment(Count.ROSTER_GARBLED);
                Logger.warn("event bus: {}; connecting again", e.getMessage());
                again();
            }
        }

        /** A whole frame is the one sign of life: bytes that complete none may come for ever. */
        private void take(WatchFrameDecoder.Frame f) {
            spoke = true;
            retry = RETRY_FIRST_S;
            patience = SILENCE_S;
            listen();
            if (f.kind() != WatchFrameDecoder.Kind.NOTHING && f.number() > last) {
                last = f.number();
                listener.onEndpointUpdate(
                        f.kind() == WatchFrameDecoder.Kind.WHOLE
                                ? EndpointUpdateKind.FULL
                                : EndpointUpdateKind.DELTA,
                        f.members());
            }
        }

        void close() {
            loop.cancel(silence);
            link.close();
        }

        @Override
        public void handlerFailed() {
            counters.increment(Count.INTERNAL_ERRORS);
            disconnected();
        }

        @Override
        public void disconnected() {
            if (watch == this) {
                again();
            }
        }
    }
}
