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
 *   <li>2.5 s ({@link #SILENCE_TIMEOUT_SECONDS}) until the silence is noticed, and nothing more: a
 *       pause between two dials is counted from the first of them, so that after a silence none is
 *       left;
 *   <li>1.0 s ({@link #DIAL_TIMEOUT_SECONDS}) more for a connection that does not come up;
 *   <li>2.5 s more for one that comes up and brings no whole frame, be it mute or dribbling, and
 *       twice that for each further one in a row;
 *   <li>0.5 s ({@link #MAX_BACKOFF_SECONDS}) more at most for each that is refused, closed or
 *       garbled;
 * </ul>
 *
 * 6.0 s with one of each of the first three. What comes between is the network's. After a longer
 * outage, the next dial is due at most 1.0 s after the bus has returned, or 5.0 s ({@link
 * #SILENCE_MOST_S}) if it had taken connections all the time and said nothing on them. A stall of
 * our own adds its length: silence is counted from when the bytes that came during it were read.
 */
public final class EndpointWatcher {
    private static final double DIAL_TIMEOUT_SECONDS = 1.0;
    private static final double SILENCE_TIMEOUT_SECONDS = 2.5; // an empty frame comes each second

    /**
     * Guards a bus that is slow to speak, to many at once, against being left each time before it
     * does.
     */
    private static final double MAX_SILENCE_TIMEOUT_SECONDS = 5.0;

    /** Between two dials, from one to the next: at most ten a second, whatever the bus does. */
    private static final double INITIAL_BACKOFF_SECONDS = 0.1;

    private static final double MAX_BACKOFF_SECONDS = 0.5;

    /** Takes the news of the list. */
    public interface Listener {
        void onEndpointUpdate(EndpointUpdateKind updateKind, List<EngineEndpoint> endpoints);
    }

    private final EventLoop loop;
    private final InitialEventsReader reader;
    private InetSocketAddress busAddress;
    private final Listener listener;
    private final Counters counters;
    private EventLoop.Dial dial;
    private Watch watch;
    private DeadlineQueue.Entry redialTimer;
    private double lastDialSeconds = Double.NEGATIVE_INFINITY;
    private double backoffSeconds = INITIAL_BACKOFF_SECONDS;
    private double silenceTimeoutSeconds = SILENCE_TIMEOUT_SECONDS;
    private List<InitialEventsReader.Event> initialEvents = List.of();
    private long lastOffset;

    /**
     * Reads the events of the start, so that a fault in them is told before anything runs.
     *
     * @param bus the event bus, or null: then the list stays as it is known
     * @param known the events of the start, or null
     * @param zones the settings' list, as is {@code kinds}
     */
    public EndpointWatcher(
            EventLoop loop,
            InetSocketAddress busAddress,
            JsonObject initialEvents,
            List<String> zones,
            List<String> engineKinds,
            Listener listener,
            Counters counters) {
        this.loop = loop;
        this.busAddress = busAddress;
        this.listener = listener;
        this.counters = counters;
        this.reader = new InitialEventsReader(zones, engineKinds);
        if (initialEvents != null) {
            this.initialEvents = reader.read(initialEvents);
            lastOffset = InitialEventsReader.readLastOffset(initialEvents);
        }
    }

    /**
     * Tells the events of the start, then connects, and does so again whenever the connection is
     * lost.
     */
    public void start() {
        for (InitialEventsReader.Event event : initialEvents) {
            publish(event, EndpointUpdateKind.CACHED);
        }
        initialEvents = List.of();
        if (busAddress != null) {
            dial();
        }
    }

    private void publish(InitialEventsReader.Event event, EndpointUpdateKind fullListKind) {
        lastOffset = Math.max(lastOffset, event.offset());
        listener.onEndpointUpdate(
                event.isFullList() ? fullListKind : EndpointUpdateKind.DELTA, event.endpoints());
    }

    /**
     * Reads and checks the events that a new configuration holds; null holds none. For any thread.
     */
    public List<InitialEventsReader.Event> readInitialEvents(JsonObject json) {
        return json == null ? List.of() : reader.read(json);
    }

    /**
     * Takes on a new configuration: tells those of its events that are new here, and if the event
     * bus has another address, connects there at once, from the last event, and leaves the old one.
     */
    public void reconfigure(
            InetSocketAddress newBusAddress, List<InitialEventsReader.Event> newEvents) {
        newEvents.stream()
                .filter(event -> event.offset() > lastOffset)
                .forEach(event -> publish(event, EndpointUpdateKind.FULL));
        if (Objects.equals(newBusAddress, busAddress)) {
            return;
        }
        busAddress = newBusAddress;
        disconnect();
        backoffSeconds = INITIAL_BACKOFF_SECONDS;
        silenceTimeoutSeconds = SILENCE_TIMEOUT_SECONDS;
        if (busAddress != null) {
            dial();
        }
    }

    /** The one place where the connection, or the wait for one, is given up. */
    private void disconnect() {
        loop.cancel(redialTimer);
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
        lastDialSeconds = loop.now();
        dial =
                loop.dial(
                        busAddress,
                        DIAL_TIMEOUT_SECONDS,
                        this::startWatch,
                        failure -> scheduleRedial());
    }

    private void startWatch(StreamConnection stream) {
        dial = null;
        counters.increment(Count.ROSTER_CONNECTED);
        watch = new Watch(stream);
    }

    /**
     * Connects anew, after a pause since the last dial that grows while no connection brings
     * anything.
     */
    private void scheduleRedial() {
        disconnect();
        redialTimer =
                loop.scheduleAt(Math.max(loop.now(), lastDialSeconds + backoffSeconds), this::dial);
        backoffSeconds = Math.min(MAX_BACKOFF_SECONDS, backoffSeconds * 2);
    }

    /** One connection to the event bus; once it is left, nothing that it still brings counts. */
    private final class Watch implements Connection.Handler {
        private final WatchFrameDecoder decoder = new WatchFrameDecoder();
        private final Connection connection;
        private DeadlineQueue.Entry silenceTimer;
        private boolean hasReceivedFrame;

        Watch(StreamConnection stream) {
            connection = new Connection(loop, stream, this);
            connection.write(ByteBuffer.allocate(Long.BYTES).putLong(lastOffset).array());
            restartSilenceTimer();
        }

        private void restartSilenceTimer() {
            loop.cancel(silenceTimer);
            silenceTimer =
                    loop.scheduleAfter(
                            silenceTimeoutSeconds,
                            () -> {
                                Logger.warn("the event bus is silent; connecting again");
                                if (!hasReceivedFrame) {
                                    silenceTimeoutSeconds =
                                            Math.min(
                                                    MAX_SILENCE_TIMEOUT_SECONDS,
                                                    silenceTimeoutSeconds * 2);
                                }
                                scheduleRedial();
                            });
        }

        @Override
        public void received(ByteBuffer bytes) {
            decoder.add(bytes);
            try {
                for (WatchFrameDecoder.Frame frame = decoder.decodeNext();
                        frame != null;
                        frame = watch == this ? decoder.decodeNext() : null) {
                    handleFrame(frame);
                }
            } catch (WatchFrameDecoder.MalformedFrameException e) {
                counters.increment(Count.ROSTER_GARBLED);
                Logger.warn("event bus: {}; connecting again", e.getMessage());
                scheduleRedial();
            }
        }

        /** A whole frame is the one sign of life: bytes that complete none may come for ever. */
        private void handleFrame(WatchFrameDecoder.Frame frame) {
            hasReceivedFrame = true;
            backoffSeconds = INITIAL_BACKOFF_SECONDS;
            silenceTimeoutSeconds = SILENCE_TIMEOUT_SECONDS;
            restartSilenceTimer();
            if (frame.kind() != WatchFrameDecoder.Kind.EMPTY && frame.offset() > lastOffset) {
                lastOffset = frame.offset();
                listener.onEndpointUpdate(
                        frame.kind() == WatchFrameDecoder.Kind.FULL
                                ? EndpointUpdateKind.FULL
                                : EndpointUpdateKind.DELTA,
                        frame.endpoints());
            }
        }

        void close() {
            loop.cancel(silenceTimer);
            connection.close();
        }

        @Override
        public void handlerFailed() {
            counters.increment(Count.INTERNAL_ERRORS);
            disconnected();
        }

        @Override
        public void disconnected() {
            if (watch == this) {
                scheduleRedial();
            }
        }
    }
}
