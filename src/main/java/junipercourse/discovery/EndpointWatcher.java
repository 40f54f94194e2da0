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
import junipercourse.net.Dial;
import junipercourse.net.EventLoop;
import org.tinylog.Logger;
import org.xnio.StreamConnection;

/**
 * Follows the event bus over one connection at a time, starting after the last event received.
 *
 * <p>The protocol counts an event as delivered 7 s after the event bus has it, whether it arrived
 * or not. The time from the last complete frame of a watch to the next watch is therefore bounded,
 * if the bus accepts connections by then:
 *
 * <ul>
 *   <li>2.5 s ({@link #SILENCE_SECONDS}) until silence is detected; no backoff follows, since it is
 *       counted from the start of the previous dial;
 *   <li>1.0 s ({@link #DIAL_TIMEOUT_SECONDS}) for a connection that is not established;
 *   <li>2.5 s for a connection that delivers no complete frame, whether it sends nothing or single
 *       bytes, and twice that for each further one in a row;
 *   <li>up to 0.5 s ({@link #MAX_BACKOFF_SECONDS}) for each that is refused, closed or malformed.
 * </ul>
 *
 * One each of the first three takes 6.0 s; network delay is extra. After a longer outage the next
 * dial starts within 1.0 s of the bus's return, or within 5.0 s ({@link #MAX_SILENCE_SECONDS}) if
 * the bus accepted connections but sent nothing. A stall of the event loop adds its length: silence
 * is counted from the time when the bytes that arrived during the stall are read.
 */
public final class EndpointWatcher {
    private static final double DIAL_TIMEOUT_SECONDS = 1.0;
    private static final double SILENCE_SECONDS = 2.5; // an empty frame arrives each second

    /** Gives a bus that serves many clients slowly enough time to send its first frame. */
    private static final double MAX_SILENCE_SECONDS = 5.0;

    /** Minimum time between the starts of two dials: at most ten dials per second. */
    private static final double INITIAL_BACKOFF_SECONDS = 0.1;

    private static final double MAX_BACKOFF_SECONDS = 0.5;

    /** Receives updates of the endpoint list. */
    public interface Listener {
        void onEndpointUpdate(EndpointUpdateKind updateKind, List<EngineEndpoint> endpoints);
    }

    private final EventLoop loop;
    private final InitialEventsReader reader;
    private InetSocketAddress busAddress;
    private final Listener listener;
    private final Counters counters;
    private Dial dial;
    private Watch watch;
    private DeadlineQueue.Entry redialTimer;
    private double lastDialSeconds = Double.NEGATIVE_INFINITY;
    private double backoffSeconds = INITIAL_BACKOFF_SECONDS;
    private double silenceSeconds = SILENCE_SECONDS;
    private List<InitialEventsReader.Event> initialEvents = List.of();
    private long lastOffset;

    /**
     * Reads the initial events at once, so that an error in them is reported before startup.
     *
     * @param busAddress the event bus; null if the endpoint list never changes
     * @param initialEvents the events from the configuration; may be null
     * @param zones zone names from the settings
     * @param engineKinds engine kind names from the settings
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

    /** Publishes the initial events, then connects and reconnects after each lost connection. */
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

    /** Reads and validates the events of a new configuration, null for none. Thread-safe. */
    public List<InitialEventsReader.Event> readInitialEvents(JsonObject json) {
        return json == null ? List.of() : reader.read(json);
    }

    /**
     * Applies a new configuration: publishes events newer than the last one, and if the bus address
     * has changed, disconnects and connects to the new address, continuing after the last event.
     */
    public void reconfigure(InetSocketAddress newBus, List<InitialEventsReader.Event> newEvents) {
        newEvents.stream()
                .filter(event -> event.offset() > lastOffset)
                .forEach(event -> publish(event, EndpointUpdateKind.FULL));
        if (Objects.equals(newBus, busAddress)) {
            return;
        }
        busAddress = newBus;
        disconnect();
        backoffSeconds = INITIAL_BACKOFF_SECONDS;
        silenceSeconds = SILENCE_SECONDS;
        if (busAddress != null) {
            dial();
        }
    }

    /** Closes the connection, or cancels the dial or the wait for the next dial. */
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
        dial = loop.dial(busAddress, DIAL_TIMEOUT_SECONDS, this::startWatch, error -> redial());
    }

    private void startWatch(StreamConnection stream) {
        dial = null;
        counters.increment(Count.ROSTER_CONNECTED);
        watch = new Watch(stream);
    }

    /** Disconnects and dials again after a backoff that doubles until a frame arrives. */
    private void redial() {
        disconnect();
        redialTimer =
                loop.scheduleAt(Math.max(loop.now(), lastDialSeconds + backoffSeconds), this::dial);
        backoffSeconds = Math.min(MAX_BACKOFF_SECONDS, backoffSeconds * 2);
    }

    /** One connection to the event bus; frames that arrive after it was replaced are ignored. */
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
            silenceTimer = loop.scheduleAfter(silenceSeconds, this::handleSilence);
        }

        private void handleSilence() {
            Logger.warn("no complete frame from the event bus in time; reconnecting");
            if (!hasReceivedFrame) {
                silenceSeconds = Math.min(MAX_SILENCE_SECONDS, silenceSeconds * 2);
            }
            redial();
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
                Logger.warn("malformed data from the event bus: {}; reconnecting", e.getMessage());
                redial();
            }
        }

        /** Only a complete frame restarts the timer: incomplete bytes could arrive forever. */
        private void handleFrame(WatchFrameDecoder.Frame frame) {
            hasReceivedFrame = true;
            backoffSeconds = INITIAL_BACKOFF_SECONDS;
            silenceSeconds = SILENCE_SECONDS;
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
                redial();
            }
        }
    }
}
