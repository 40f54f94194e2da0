package junipercourse.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.ServerSocketChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import junipercourse.liveness.Arrival;
import junipercourse.liveness.Attention;
import junipercourse.liveness.StallLog;
import junipercourse.liveness.Tide;
import org.tinylog.Logger;
import org.xnio.ChannelListener;
import org.xnio.ChannelPipe;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;
import org.xnio.nio.ExistingTcpServer;

/**
 * The one I/O thread, which owns all state of the program, and the deadlines that hang on it. Everything
 * here but {@link #execute} and {@link #stop} is called on that thread.
 *
 * <p>It beats: at least every {@link #BEAT_S} it has a turn, so that a gap of its own shows as such. After
 * one,
 * all that came meanwhile is read before any deadline is run: what was late here is not held against others.
 */
public final class Loop {
    private static final int BACKLOG = 512;
    /** Between turns at most, while nothing is wrong; well under what lies between two requests of a key. */
    private static final double BEAT_S = 0.02;
    /** A gap this much longer than a beat is a stall; single turns of a busy core come close to it. */
    private static final double STALL_S = 0.1;
    /** The wall clock is corrected by less than this all the time. */
    private static final double STEP_S = 0.25;
    /** After a stall, deadlines wait for all that came during it no longer than this. */
    private static final double CATCH_UP_MOST_S = 0.3;
    /** The first pass accepts what waited, the second reads it. */
    private static final int MARKS_TO_CATCH_UP = 2;
    /**
     * Once there is room again, the acceptor is woken within a pass, accepts in the next, and is read then.
     */
    private static final int MARKS_BEHIND = 3;

    private final Runnable onFault;
    private final Consumer<Throwable> onError;
    private final Clock clock;
    private final double origin;
    private final XnioWorker worker;
    private final XnioIoThread thread;
    private final Deadlines deadlines = new Deadlines();
    private final Attention attention;
    private final Tide tide;
    private final StallLog stallLog = new StallLog();
    /** One buffer serves all reads of this thread, another all writes: handlers keep no reference to them. */
    private final ByteBuffer input = ByteBuffer.allocateDirect(16 * 1024);
    private final ByteBuffer output = ByteBuffer.allocateDirect(64 * 1024);
    private final ByteBuffer mark = ByteBuffer.allocateDirect(16);
    private final StreamSourceChannel markSource;
    private final StreamSinkChannel markSink;
    private final List<Consumer<Attention.Stall>> stallListeners = new ArrayList<>();
    private final ArrayDeque<Runnable> afterCatchUp = new ArrayDeque<>();
    private List<Runnable> nextPass = new ArrayList<>();
    private List<Runnable> thisPass = new ArrayList<>();
    private XnioIoThread.Key wakeUp;
    private double wakeAt = Double.POSITIVE_INFINITY;
    private double stalledUntil = Double.NaN;
    private Attention.Stall stall;
    private boolean passOpen;
    private final List<InetSocketAddress> listening = new ArrayList<>();
    private boolean attending;
    private long handedOver;
    private long toHandOver;
    private boolean backlog;
    private int marksBehind;
    private int marksToCome;
    private int wakeUps;

    /**
     * @param onFault is told of each task that failed
     * @param onError is told of an error of the JVM itself, after which the thread may not go on
     */
    public Loop(Runnable onFault, Consumer<Throwable> onError) throws IOException {
        this(onFault, onError, Clock.SYSTEM);
    }

    /** A loop on clocks of the caller's. */
    public Loop(Runnable onFault, Consumer<Throwable> onError, Clock clock) throws IOException {
        this.onFault = onFault;
        this.onError = onError;
        this.clock = clock;
        this.origin = clock.unix() - clock.monotonic();
        this.attention = new Attention(BEAT_S, STALL_S, STEP_S, now(), clock.unix());
        this.tide = new Tide(now());
        worker = Xnio.getInstance().createWorker(OptionMap.builder()
                .set(Options.WORKER_IO_THREADS, 1)
                .set(Options.WORKER_TASK_CORE_THREADS, 1)
                .set(Options.WORKER_TASK_MAX_THREADS, 1)
                .set(Options.WORKER_NAME, "junipercourse")
                .getMap());
        thread = worker.getIoThread();
        thread.setUncaughtExceptionHandler((t, e) -> onError.accept(e));
        ChannelPipe<StreamSourceChannel, StreamSinkChannel> pipe = thread.createHalfDuplexPipe();
        markSource = pipe.getLeftSide();
        markSink = pipe.getRightSide();
        markSource.getReadSetter().set(c -> markCame());
        markSource.resumeReads();
    }

    /** From now on the loop beats, and gaps of its own are stalls. What comes before is the start. */
    public void attend() {
        attention.restart(now());
        attending = true;
        beat();
    }

    /** Unix time at the start and from there on monotonic: seconds that never step. */
    public double now() {
        return origin + clock.monotonic();
    }

    /** Turns a Unix time told by others, in seconds, into the loop's. */
    public double fromUnix(double unix) {
        return attention.fromUnix(unix);
    }

    ByteBuffer input() {
        return input;
    }

    ByteBuffer output() {
        return output;
    }

    // ---- attention ----

    /** Seconds in which this process has attended to its sockets: what silences are measured with. */
    public double attended() {
        return attention.attended();
    }

    /** When bytes that are read now have come, on a socket that was read to its end before. */
    public Arrival arrival() {
        double at = now();
        return new Arrival(Math.min(at, tide.readUpTo()), at);
    }

    /** All that came before this time has been read. */
    public double readUpTo() {
        return tide.readUpTo();
    }

    /** Figures of stalls. */
    public StallLog stallLog() {
        return stallLog;
    }

    /** Is told of each stall once all that came during it was read, and before any deadline is run. */
    public void onStall(Consumer<Attention.Stall> listener) {
        stallListeners.add(listener);
    }

    /** Whether a stall has ended and what came during it is still being read. */
    public boolean catchingUp() {
        return stall != null;
    }

    /** Runs a task at once or, while a stall is being caught up with, when that is done. */
    public void whenCaughtUp(Runnable task) {
        if (catchingUp()) {
            afterCatchUp.add(task);
        } else {
            guarded(task);
        }
    }

    /** To be called first whenever the thread gets to do something. */
    void enter() {
        double now = now();
        Attention.Stall found = attending ? attention.turn(now) : null;
        if (found != null) {
            marksToCome = MARKS_TO_CATCH_UP;
            stall = stall == null ? found : new Attention.Stall(stall.from(), now);
            stalledUntil = now;
        }
        if (!passOpen) {
            passOpen = true;
            queue(() -> queue(this::passOver)); // behind what XNIO has queued of this pass
        }
    }

    /**
     * Whether connections may be waiting unaccepted, and with them what their clients have written: as long
     * as
     * that is so, nothing proves that all that came has been read.
     */
    public void backlog(boolean mayWait) {
        backlog = mayWait;
        if (mayWait) {
            marksBehind = MARKS_BEHIND;
            tide.leftOver();
        }
    }

    private void beat() {
        try { // first of all, so that no fault in this beat makes it the last
            thread.executeAfter(this::beat, (long) (BEAT_S * 1e3), TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            Logger.debug("the loop has ended");
        }
        enter();
        sendMark();
        double wall = clock.unix();
        double step = attention.step(now(), wall);
        if (step != 0) {
            stallLog.step(step);
            Logger.warn("the system's clock has stepped by {} s, or the machine was suspended", step);
        }
        if (catchingUp() && now() > stalledUntil + CATCH_UP_MOST_S) {
            caughtUp();
        }
    }

    private void sendMark() {
        if (tide.running()) {
            return;
        }
        tide.send(now());
        if (catchingUp() || marksBehind > 0) {
            countWaiting();
        }
        if (marksBehind > 0) {
            tide.leftOver();
            marksBehind -= backlog ? 0 : 1;
        }
        mark.clear().limit(1);
        try {
            markSink.write(mark);
        } catch (ClosedChannelException e) {
            Logger.debug("the loop has ended");
        } catch (IOException e) {
            Logger.error(e, "the loop cannot write to its own pipe");
        }
    }

    private void markCame() {
        enter();
        mark.clear();
        try {
            if (markSource.read(mark) > 0) {
                tide.seen();
            }
        } catch (IOException e) {
            Logger.error(e, "the loop cannot read from its own pipe");
        }
    }

    /** Runs when all sockets of a pass have been dealt with, before the next are looked for. */
    private void passOver() {
        passOpen = false;
        if (handedOver < toHandOver) {
            tide.leftOver();
        }
        boolean looked = tide.passOver();
        if (looked) {
            List<Runnable> due = thisPass;
            thisPass = nextPass;
            nextPass = new ArrayList<>();
            due.forEach(this::guarded);
        }
        if (catchingUp()) {
            if (looked && tide.readUpTo() >= stalledUntil) {
                marksToCome--;
            }
            if (marksToCome <= 0) {
                caughtUp();
            } else {
                sendMark();
            }
        }
    }

    /**
     * Guards against an acceptor that is not done: what waits now comes first, since the queue is one. Where
     * the
     * system does not tell how many wait, time must do.
     */
    private void countWaiting() {
        int waiting = listening.stream().mapToInt(a -> Math.max(0, AcceptQueue.waiting(a))).sum();
        toHandOver = handedOver + waiting;
    }

    private void caughtUp() {
        Attention.Stall ended = stall;
        stall = null;
        stallLog.stall(ended, clock.unix());
        stallLog.caughtUp(now() - ended.to());
        Logger.warn("this process did nothing for {} ms; read what came meanwhile in {} ms",
                Math.round(ended.length() * 1e3), Math.round((now() - ended.to()) * 1e3));
        stallListeners.forEach(l -> guarded(() -> l.accept(ended)));
        for (Runnable task = afterCatchUp.poll(); task != null; task = afterCatchUp.poll()) {
            guarded(task);
        }
        fire();
    }

    /**
     * Runs a task once the sockets have been looked for anew twice: by then the descriptors of what is closed
     * now have been given back to the system.
     */
    public void afterNextPass(Runnable task) {
        nextPass.add(task);
    }

    // ---- tasks and deadlines ----

    /** Runs a task on the I/O thread, after what has come in by now. */
    public void execute(Runnable task) {
        queue(() -> {
            enter();
            guarded(task);
        });
    }

    private void queue(Runnable task) {
        try {
            thread.execute(task);
        } catch (RejectedExecutionException e) {
            Logger.debug("a task came after the loop's end");
        }
    }

    /** Runs a task at a time unless it is taken back before. */
    public Deadlines.Entry at(double time, Runnable task) {
        Deadlines.Entry entry = deadlines.add(time, task);
        rearm();
        return entry;
    }

    /** Runs a task after so many seconds unless it is taken back before. */
    public Deadlines.Entry after(double seconds, Runnable task) {
        return at(now() + seconds, task);
    }

    /** Takes a deadline back; null and one that has passed are ignored. */
    public void cancel(Deadlines.Entry entry) {
        deadlines.remove(entry);
    }

    private void rearm() {
        double next = deadlines.next();
        if (next >= wakeAt) {
            return;
        }
        if (wakeUp != null) {
            wakeUp.remove();
            wakeUp = null;
        }
        wakeAt = next;
        // XNIO cuts a delay to whole milliseconds, and one under a millisecond to none: rounded down, the
        // rest of each deadline's last millisecond would be spent in a busy loop.
        long millis = (long) Math.ceil(Math.max(0, next - now()) * 1e3);
        try {
            wakeUp = thread.executeAfter(this::fire, millis, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            Logger.debug("a deadline came after the loop's end");
        }
    }

    /** How often deadlines have woken the loop. */
    int wakeUps() {
        return wakeUps;
    }

    private void fire() {
        wakeUps++;
        wakeUp = null;
        wakeAt = Double.POSITIVE_INFINITY;
        enter();
        if (catchingUp()) { // caughtUp comes back here
            return;
        }
        for (Runnable due = deadlines.poll(now()); due != null; due = deadlines.poll(now())) {
            guarded(due);
        }
        rearm();
    }

    /** An exception costs the task at hand, never the process; an error of the JVM costs that. */
    private void guarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | StackOverflowError e) {
            onFault.run();
            Logger.error(e, "a task failed");
        } catch (Error e) { // XNIO would log it and go on, or lose its thread
            onError.accept(e);
            throw e;
        }
    }

    /** Hands on what a handler met that is no exception. */
    void failed(Error error) {
        onError.accept(error);
    }

    /**
     * Listens on an address; each accepted connection is handed over on the I/O thread. Once {@code most} are
     * open, others wait in the system's queue, unaccepted, until one has closed.
     */
    public AcceptingChannel<StreamConnection> listen(InetSocketAddress address, int most,
            Consumer<StreamConnection> accepted) throws IOException {
        return accepting(worker.createStreamConnectionServer(address, onAccept(accepted),
                OptionMap.builder().addAll(accepts(most)).set(Options.BACKLOG, BACKLOG)
                        .set(Options.REUSE_ADDRESSES, true).getMap()));
    }

    /** The same on a socket that listens already. */
    public AcceptingChannel<StreamConnection> listen(ServerSocketChannel socket, int most,
            Consumer<StreamConnection> accepted) throws IOException {
        return accepting(ExistingTcpServer.on(worker, socket, onAccept(accepted), accepts(most)));
    }

    private static OptionMap accepts(int most) {
        return OptionMap.builder().set(Options.CONNECTION_HIGH_WATER, most)
                .set(Options.CONNECTION_LOW_WATER, most).set(Options.TCP_NODELAY, true).getMap();
    }

    private ChannelListener<AcceptingChannel<StreamConnection>> onAccept(Consumer<StreamConnection> accepted) {
        return server -> {
            enter();
            try {
                for (StreamConnection c = server.accept(); c != null; c = server.accept()) {
                    StreamConnection connection = c;
                    handedOver++;
                    guarded(() -> accepted.accept(connection));
                }
            } catch (IOException e) {
                Logger.warn("accept failed: {}", e.getMessage());
            }
        };
    }

    private AcceptingChannel<StreamConnection> accepting(AcceptingChannel<StreamConnection> server) {
        listening.add(server.getLocalAddress(InetSocketAddress.class));
        server.resumeAccepts();
        return server;
    }

    /** Opens a connection; exactly one of the two is called, later, on the I/O thread. */
    public Dial dial(InetSocketAddress address, double timeout, Consumer<StreamConnection> connected,
            Consumer<DialFailure> failed) {
        Dial dial = new Dial(this, connected, failed);
        IoFuture<StreamConnection> future = thread.openStreamConnection(address, dial::open,
                OptionMap.create(Options.TCP_NODELAY, true));
        dial.watch(future, timeout);
        return dial;
    }

    /** Why a connection did not come up. */
    public enum DialFailure { REFUSED, TIMED_OUT }

    /** A connection that is being opened. */
    public static final class Dial {
        private final Loop loop;
        private final Consumer<StreamConnection> connected;
        private final Consumer<DialFailure> failed;
        private IoFuture<StreamConnection> future;
        private Deadlines.Entry deadline;
        private boolean over;

        private Dial(Loop loop, Consumer<StreamConnection> connected, Consumer<DialFailure> failed) {
            this.loop = loop;
            this.connected = connected;
            this.failed = failed;
        }

        private void watch(IoFuture<StreamConnection> opening, double timeout) {
            future = opening;
            deadline = loop.after(timeout, () -> fail(DialFailure.TIMED_OUT));
            opening.addNotifier((f, none) -> {
                if (f.getStatus() == IoFuture.Status.FAILED) {
                    loop.execute(() -> fail(DialFailure.REFUSED));
                }
            }, null);
        }

        private void open(StreamConnection connection) {
            loop.enter();
            if (over) { // it came up just after it was given up
                Link.closeQuietly(connection);
                return;
            }
            over = true;
            loop.cancel(deadline);
            connected.accept(connection);
        }

        private void fail(DialFailure why) {
            if (!over) {
                cancel();
                failed.accept(why);
            }
        }

        /** Gives the connection up; neither side is called. */
        public void cancel() {
            over = true;
            loop.cancel(deadline);
            future.cancel();
        }
    }

    /** Ends the I/O thread. */
    public void stop() {
        worker.shutdownNow();
    }
}
