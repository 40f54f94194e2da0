package junipercourse.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
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
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * The XNIO worker with its single I/O thread: starts it, queues tasks on it and stops it, and
 * confines the failure of a task to that task.
 */
final class IoThread {
    private final Runnable onTaskFailure;
    private final Consumer<Throwable> onFatalError;
    private final XnioWorker worker;
    private final XnioIoThread thread;

    /**
     * @param onTaskFailure runs after each task that failed
     * @param onFatalError receives an error of the JVM, after which the thread may not continue
     */
    IoThread(Runnable onTaskFailure, Consumer<Throwable> onFatalError) throws IOException {
        this.onTaskFailure = onTaskFailure;
        this.onFatalError = onFatalError;
        worker =
                Xnio.getInstance()
                        .createWorker(
                                OptionMap.builder()
                                        .set(Options.WORKER_IO_THREADS, 1)
                                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                                        .set(Options.WORKER_NAME, "junipercourse")
                                        .getMap());
        thread = worker.getIoThread();
        thread.setUncaughtExceptionHandler((t, e) -> onFatalError.accept(e));
    }

    /** The worker that listening sockets belong to. */
    XnioWorker worker() {
        return worker;
    }

    /** Runs a task on the thread without exception handling; ignored after {@link #stop}. */
    void enqueue(Runnable task) {
        try {
            thread.execute(task);
        } catch (RejectedExecutionException e) {
            Logger.debug("the event loop has stopped: a task is ignored");
        }
    }

    /**
     * Runs a task on the thread after a delay, without exception handling. Returns the key to
     * cancel it; null after {@link #stop}, when the task is ignored.
     */
    XnioIoThread.Key executeAfter(long millis, Runnable task) {
        try {
            return thread.executeAfter(task, millis, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            Logger.debug("the event loop has stopped: a delayed task is ignored");
            return null;
        }
    }

    /** Creates a pipe with both ends on the thread; it is closed with the thread. */
    ChannelPipe<StreamSourceChannel, StreamSinkChannel> createPipe() throws IOException {
        return thread.createHalfDuplexPipe();
    }

    /** Opens a connection on the thread. */
    IoFuture<StreamConnection> connect(
            InetSocketAddress address, ChannelListener<StreamConnection> opened) {
        return thread.openStreamConnection(
                address, opened, OptionMap.create(Options.TCP_NODELAY, true));
    }

    /**
     * Runs a task: an exception ends that task and never the process; an error of the JVM ends the
     * process.
     */
    void runGuarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | StackOverflowError e) {
            onTaskFailure.run();
            Logger.error(e, "a task failed");
        } catch (Error e) { // XNIO would log it and continue, or lose its thread
            onFatalError.accept(e);
            throw e;
        }
    }

    /** Reports an error of the JVM that a handler threw. */
    void reportError(Error error) {
        onFatalError.accept(error);
    }

    /** Stops the thread and everything on it. */
    void stop() {
        worker.shutdownNow();
    }
}
