package junipercourse.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;
import junipercourse.liveness.ArrivalInterval;
import junipercourse.liveness.StallDetector;
import junipercourse.liveness.StallStatistics;
import org.tinylog.Logger;
import org.xnio.StreamConnection;
import org.xnio.channels.AcceptingChannel;

/**
 * The one I/O thread, which owns all state of the program, and the deadlines that hang on it.
 * Everything here but {@link #execute} and {@link #stop} is called on that thread.
 *
 * <p>It beats: at least every {@link #HEARTBEAT_SECONDS} it has a turn, so that a gap of its own
 * shows as such. After one, all that came meanwhile is read before any deadline is run: what was
 * late here is not held against others ({@link StallRecovery}).
 */
public final class EventLoop {
    /**
     * Between turns at most, while nothing is wrong; well under what lies between two requests of a
     * key.
     */
    private static final double HEARTBEAT_SECONDS = 0.02;

    private final Clock clock;
    private final double origin;
    private final IoThread thread;
    private final WakeupTimer wakeupTimer;
    private final StallRecovery stallRecovery;
    private final Listeners listeners;
    private final WatermarkProbe watermarkProbe;

    /**
     * One buffer serves all reads of this thread, another all writes: handlers keep no reference to
     * them.
     */
    private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(16 * 1024);

    private final ByteBuffer writeBuffer = ByteBuffer.allocateDirect(64 * 1024);

    /**
     * @param onFault is told of each task that failed
     * @param onError is told of an error of the JVM itself, after which the thread may not go on
     */
    public EventLoop(Runnable onTaskFailure, Consumer<Throwable> onFatalError) throws IOException {
        this(onTaskFailure, onFatalError, Clock.SYSTEM);
    }

    /** A loop on clocks of the caller's. */
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

    /**
     * From now on the loop beats, and gaps of its own are stalls. What comes before is the start.
     */
    public void startStallDetection() {
        stallRecovery.startDetection();
        heartbeat();
    }

    /** Unix time at the start and from there on monotonic: seconds that never step. */
    public double now() {
        return origin + clock.monotonicSeconds();
    }

    /** Turns a Unix time told by others, in seconds, into the loop's. */
    public double fromUnix(double unix) {
        return stallRecovery.fromUnix(unix);
    }

    ByteBuffer readBuffer() {
        return readBuffer;
    }

    ByteBuffer writeBuffer() {
        return writeBuffer;
    }

    // ---- attention ----

    /**
     * Seconds in which this process has attended to its sockets: what silences are measured with.
     */
    public double attendedSeconds() {
        return stallRecovery.attendedSeconds();
    }

    /** When bytes that are read now have come, on a socket that was read to its end before. */
    public ArrivalInterval arrival() {
        double readAt = now();
        return new ArrivalInterval(Math.min(readAt, watermarkProbe.readWatermark()), readAt);
    }

    /** All that came before this time has been read. */
    public double readWatermark() {
        return watermarkProbe.readWatermark();
    }

    /** Figures of stalls. */
    public StallStatistics stallStatistics() {
        return stallRecovery.statistics();
    }

    /**
     * Is told of each stall once all that came during it was read, and before any deadline is run.
     */
    public void addStallListener(Consumer<StallDetector.Stall> listener) {
        stallRecovery.addStallListener(listener);
    }

    /** Whether a stall has ended and what came during it is still being read. */
    public boolean isCatchingUp() {
        return stallRecovery.isCatchingUp();
    }

    /** Runs a task at once or, while a stall is being caught up with, when that is done. */
    public void runWhenCaughtUp(Runnable task) {
        stallRecovery.runWhenCaughtUp(task);
    }

    /** To be called first whenever the thread gets to do something. */
    void recordActivity() {
        stallRecovery.recordActivity();
        watermarkProbe.recordActivity();
    }

    /**
     * Whether connections may be waiting unaccepted, and with them what their clients have written:
     * as long as that is so, nothing proves that all that came has been read.
     */
    public void setBacklogged(boolean mayWait) {
        listeners.setBacklogged(mayWait);
        if (mayWait) {
            watermarkProbe.markIncomplete();
        }
    }

    private void heartbeat() {
        try { // first of all, so that no fault in this beat makes it the last
            thread.executeAfter((long) (HEARTBEAT_SECONDS * 1e3), this::heartbeat);
        } catch (RejectedExecutionException e) {
            Logger.debug("the loop has ended");
        }
        recordActivity();
        watermarkProbe.sendProbe();
        stallRecovery.onHeartbeat();
    }

    /**
     * Runs a task once the sockets have been looked for anew twice: by then the descriptors of what
     * is closed now have been given back to the system.
     */
    public void runAfterNextPass(Runnable task) {
        watermarkProbe.runAfterNextPass(task);
    }

    // ---- tasks and deadlines ----

    /** Runs a task on the I/O thread, after what has come in by now. */
    public void execute(Runnable task) {
        thread.enqueue(
                () -> {
                    recordActivity();
                    thread.runGuarded(task);
                });
    }

    /** Runs a task at a time unless it is taken back before. */
    public DeadlineQueue.Entry scheduleAt(double time, Runnable task) {
        return wakeupTimer.scheduleAt(time, task);
    }

    /** Runs a task after so many seconds unless it is taken back before. */
    public DeadlineQueue.Entry scheduleAfter(double seconds, Runnable task) {
        return scheduleAt(now() + seconds, task);
    }

    /** Takes a deadline back; null and one that has passed are ignored. */
    public void cancel(DeadlineQueue.Entry entry) {
        wakeupTimer.cancel(entry);
    }

    /** How often deadlines have woken the loop. */
    int wakeUpCount() {
        return wakeupTimer.wakeUpCount();
    }

    /** Hands on what a handler met that is no exception. */
    void reportError(Error error) {
        thread.reportError(error);
    }

    // ---- connections ----

    /**
     * Listens on an address; each accepted connection is handed over on the I/O thread. Once {@code
     * most} are open, others wait in the system's queue, unaccepted, until one has closed.
     */
    public AcceptingChannel<StreamConnection> listen(
            InetSocketAddress address, int maxConnections, Consumer<StreamConnection> onAccepted)
            throws IOException {
        return listeners.listen(address, maxConnections, onAccepted);
    }

    /** The same on a socket that listens already. */
    public AcceptingChannel<StreamConnection> listen(
            ServerSocketChannel socket, int maxConnections, Consumer<StreamConnection> onAccepted)
            throws IOException {
        return listeners.listen(socket, maxConnections, onAccepted);
    }

    /**
     * Closes a listening socket once what waits there is handed over, as far as the bound on it
     * allows.
     */
    public void drainAndClose(AcceptingChannel<StreamConnection> server, Runnable onDrained) {
        listeners.drainAndClose(server, onDrained);
    }

    /** Opens a connection; exactly one of the two is called, later, on the I/O thread. */
    public Dial dial(
            InetSocketAddress address,
            double timeoutSeconds,
            Consumer<StreamConnection> onConnected,
            Consumer<DialFailure> onFailed) {
        PendingConnect dial = new PendingConnect(this, onConnected, onFailed);
        dial.watch(thread.connect(address, dial::complete), timeoutSeconds);
        return dial;
    }

    /** Why a connection did not come up. */
    public enum DialFailure {
        REFUSED,
        TIMED_OUT
    }

    /** A connection that is being opened. */
    public interface Dial {
        /** Gives the connection up; neither side is called. */
        void cancel();
    }

    /** Ends the I/O thread. */
    public void stop() {
        thread.stop();
    }
}
