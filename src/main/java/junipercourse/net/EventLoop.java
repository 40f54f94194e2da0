package junipercourse.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.util.function.Consumer;
import junipercourse.liveness.ArrivalInterval;
import junipercourse.liveness.StallDetector;
import junipercourse.liveness.StallStatistics;
import org.xnio.StreamConnection;
import org.xnio.channels.AcceptingChannel;

/**
 * The single I/O thread, which owns all state of the program, and its deadlines. All methods but
 * {@link #execute} and {@link #stop} must be called on that thread.
 *
 * <p>A heartbeat runs an iteration at least every {@link #HEARTBEAT_SECONDS}, so that a longer gap
 * is detected as a stall. After a stall, all bytes that arrived during it are read before any
 * deadline runs, so that the delay is not blamed on peers ({@link StallRecovery}).
 */
public final class EventLoop {
    /** Longest regular time between iterations; well below that between two queries of a key. */
    private static final double HEARTBEAT_SECONDS = 0.02;

    private final Clock clock;
    private final double origin;
    private final IoThread thread;
    private final WakeupTimer wakeupTimer;
    private final StallRecovery stallRecovery;
    private final Listeners listeners;
    private final WatermarkProbe watermarkProbe;

    /**
     * One buffer is shared by all reads of this thread, another by all writes: handlers must not
     * keep references to them.
     */
    private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(16 * 1024);

    private final ByteBuffer writeBuffer = ByteBuffer.allocateDirect(64 * 1024);

    /**
     * @param onTaskFailure runs after each task that failed
     * @param onFatalError receives an error of the JVM, after which the thread may not continue
     */
    public EventLoop(Runnable onTaskFailure, Consumer<Throwable> onFatalError) throws IOException {
        this(onTaskFailure, onFatalError, Clock.SYSTEM);
    }

    /** Creates a loop that uses the given clocks. */
    public EventLoop(Runnable onTaskFailure, Consumer<Throwable> onFatalError, Clock clock)
            throws IOException {
        this.clock = clock;
        this.origin = clock.unixSeconds() - clock.monotonicSeconds();
        thread = new IoThread(onTaskFailure, onFatalError);
        wakeupTimer = new WakeupTimer(this, thread);
        stallRecovery = new StallRecovery(this, thread, wakeupTimer, clock, HEARTBEAT_SECONDS);
        listeners = new Listeners(this, thread);
        watermarkProbe = new WatermarkProbe(this, thread, listeners, stallRecovery);
    }

    /** Starts the heartbeat and the detection of stalls; earlier gaps belong to startup. */
    public void startStallDetection() {
        stallRecovery.startDetection();
        heartbeat();
    }

    /** Seconds that never step: Unix time at startup, advanced by the monotonic clock. */
    public double now() {
        return origin + clock.monotonicSeconds();
    }

    /** Converts a Unix time in seconds, received from another process, to loop time. */
    public double toLoopTime(double unixSeconds) {
        return stallRecovery.toLoopTime(unixSeconds);
    }

    ByteBuffer readBuffer() {
        return readBuffer;
    }

    ByteBuffer writeBuffer() {
        return writeBuffer;
    }

    // ---- stalls and the read watermark ----

    /** Seconds in which this process could read its sockets; measures the silence of peers. */
    public double responsiveSeconds() {
        return stallRecovery.responsiveSeconds();
    }

    /** The interval in which bytes read now arrived, on a socket read until empty before. */
    public ArrivalInterval arrival() {
        return watermarkProbe.arrivalSince(connectionWatermark());
    }

    /** The same on a connection that is accepted now and may have waited for that. */
    ArrivalInterval arrivalOnNewConnection() {
        return watermarkProbe.arrivalSince(readWatermark());
    }

    /** All bytes that arrived on accepted connections before this time have been read. */
    double connectionWatermark() {
        return watermarkProbe.connectionWatermark();
    }

    /** All bytes that arrived before this time have been read, also by connecting clients. */
    public double readWatermark() {
        return watermarkProbe.readWatermark();
    }

    /** Statistics of stalls and clock steps. */
    public StallStatistics stallStatistics() {
        return stallRecovery.statistics();
    }

    /**
     * Adds a listener, called for each stall once all bytes that arrived during it have been read,
     * and before any deadline runs.
     */
    public void addStallListener(Consumer<StallDetector.Stall> listener) {
        stallRecovery.addStallListener(listener);
    }

    /** Whether a stall has ended and bytes that arrived during it are still being read. */
    public boolean isCatchingUp() {
        return stallRecovery.isCatchingUp();
    }

    /** Runs a task now or, while the loop is catching up after a stall, once it has caught up. */
    public void runWhenCaughtUp(Runnable task) {
        stallRecovery.runWhenCaughtUp(task);
    }

    /** Must be called first by every callback on the I/O thread. */
    void recordActivity() {
        stallRecovery.recordActivity();
        watermarkProbe.recordActivity();
    }

    /**
     * Sets whether connections may be waiting unaccepted, along with bytes from their clients:
     * while they may, nothing proves that all bytes that arrived have been read.
     */
    public void setBacklogged(boolean backlogged) {
        listeners.setBacklogged(backlogged);
        if (backlogged) {
            watermarkProbe.markIncomplete();
        }
    }

    private void heartbeat() {
        // first, so that an exception below does not end the heartbeat
        thread.executeAfter((long) (HEARTBEAT_SECONDS * 1e3), this::heartbeat);
        recordActivity();
        watermarkProbe.sendProbe();
        stallRecovery.onHeartbeat();
    }

    /**
     * Runs a task after two more selector passes: by then the descriptors of sockets that are
     * closed now have been released.
     */
    public void runAfterNextPass(Runnable task) {
        watermarkProbe.runAfterNextPass(task);
    }

    // ---- tasks and deadlines ----

    /** Runs a task on the I/O thread, after the events that are queued already. */
    public void execute(Runnable task) {
        thread.enqueue(
                () -> {
                    recordActivity();
                    thread.runGuarded(task);
                });
    }

    /** Runs a task at a loop time unless it is cancelled before. */
    public DeadlineQueue.Entry scheduleAt(double time, Runnable task) {
        return wakeupTimer.scheduleAt(time, task);
    }

    /** Runs a task after a delay unless it is cancelled before. */
    public DeadlineQueue.Entry scheduleAfter(double seconds, Runnable task) {
        return scheduleAt(now() + seconds, task);
    }

    /** Cancels a deadline; null and a deadline that has passed are ignored. */
    public void cancel(DeadlineQueue.Entry entry) {
        wakeupTimer.cancel(entry);
    }

    /** How often deadlines have woken the loop. */
    int wakeUpCount() {
        return wakeupTimer.wakeUpCount();
    }

    /** Reports an error of the JVM that a handler threw. */
    void reportError(Error error) {
        thread.reportError(error);
    }

    // ---- connections ----

    /**
     * Listens on an address and passes each accepted connection to {@code onAccepted} on the I/O
     * thread. While {@code maxConnections} are open, further ones wait unaccepted in the kernel
     * queue.
     */
    public AcceptingChannel<StreamConnection> listen(
            InetSocketAddress address, int maxConnections, Consumer<StreamConnection> onAccepted)
            throws IOException {
        return listeners.listen(address, maxConnections, onAccepted);
    }

    /** Accepts on a socket that is listening already. */
    public AcceptingChannel<StreamConnection> listen(
            ServerSocketChannel socket, int maxConnections, Consumer<StreamConnection> onAccepted)
            throws IOException {
        return listeners.listen(socket, maxConnections, onAccepted);
    }

    /**
     * Closes a listening socket after accepting the connections that wait in its queue, as far as
     * its limit of connections allows.
     */
    public void drainAndClose(AcceptingChannel<StreamConnection> server, Runnable onDrained) {
        listeners.drainAndClose(server, onDrained);
    }

    /** Opens a connection; exactly one of the two callbacks is called later, on the I/O thread. */
    public Dial dial(
            InetSocketAddress address,
            double timeoutSeconds,
            Consumer<StreamConnection> onConnected,
            Consumer<Dial.Failure> onFailed) {
        PendingConnect dial = new PendingConnect(this, onConnected, onFailed);
        dial.watch(thread.connect(address, dial::complete), timeoutSeconds);
        return dial;
    }

    /** Stops the I/O thread. */
    public void stop() {
        thread.stop();
    }
}
