package junipercourse.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Instant;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.tinylog.Logger;
import org.xnio.ChannelListener;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * The one I/O thread, which owns all state of the program, and the deadlines that hang on it. Everything
 * here but {@link #execute} and {@link #stop} is called on that thread.
 */
public final class Loop {
    private static final int BACKLOG = 512;

    private final Runnable onFault;
    private final XnioWorker worker;
    private final XnioIoThread thread;
    private final Deadlines deadlines = new Deadlines();
    private XnioIoThread.Key wakeUp;
    private double wakeAt = Double.POSITIVE_INFINITY;
    private int wakeUps;

    /** {@code onFault} is told of each task that failed. */
    public Loop(Runnable onFault) throws IOException {
        this.onFault = onFault;
        worker = Xnio.getInstance().createWorker(OptionMap.builder()
                .set(Options.WORKER_IO_THREADS, 1)
                .set(Options.WORKER_TASK_CORE_THREADS, 1)
                .set(Options.WORKER_TASK_MAX_THREADS, 1)
                .set(Options.WORKER_NAME, "junipercourse")
                .getMap());
        thread = worker.getIoThread();
    }

    /** Unix time in seconds. */
    public static double now() {
        Instant t = Instant.now();
        return t.getEpochSecond() + t.getNano() / 1e9;
    }

    /** Runs a task on the I/O thread, after what has come in by now. */
    public void execute(Runnable task) {
        try {
            thread.execute(() -> guarded(task));
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
        for (Runnable due = deadlines.poll(now()); due != null; due = deadlines.poll(now())) {
            guarded(due);
        }
        rearm();
    }

    /** An exception costs the task at hand, never the process. */
    private void guarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            onFault.run();
            Logger.error(e, "a task failed");
        }
    }

    /** Listens on an address; each accepted connection is handed over on the I/O thread. */
    public AcceptingChannel<StreamConnection> listen(InetSocketAddress address,
            Consumer<StreamConnection> accepted) throws IOException {
        ChannelListener<AcceptingChannel<StreamConnection>> onAccept = server -> {
            try {
                for (StreamConnection c = server.accept(); c != null; c = server.accept()) {
                    StreamConnection connection = c;
                    execute(() -> accepted.accept(connection));
                }
            } catch (IOException e) {
                Logger.warn("accept failed: {}", e.getMessage());
            }
        };
        AcceptingChannel<StreamConnection> server = worker.createStreamConnectionServer(address, onAccept,
                OptionMap.builder().set(Options.BACKLOG, BACKLOG).set(Options.REUSE_ADDRESSES, true)
                        .set(Options.TCP_NODELAY, true).getMap());
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
