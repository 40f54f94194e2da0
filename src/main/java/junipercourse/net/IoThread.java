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
 * XNIO's worker with its one I/O thread: starts it, queues tasks on it and ends it, and keeps a
 * task that fails from costing more than itself.
 */
final class IoThread {
    private final Runnable onTaskFailure;
    private final Consumer<Throwable> onFatalError;
    private final XnioWorker worker;
    private final XnioIoThread thread;

    /**
     * @param onFault is told of each task that failed
     * @param onError is told of an error of the JVM itself, after which the thread may not go on
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

    /** What listening sockets belong to. */
    XnioWorker worker() {
        return worker;
    }

    /** Runs a task on the thread, unguarded; ignored after the end. */
    void enqueue(Runnable task) {
        try {
            thread.execute(task);
        } catch (RejectedExecutionException e) {
            Logger.debug("a task came after the loop's end");
        }
    }

    /**
     * Runs a task on the thread after so many whole milliseconds, unguarded; rejected after the
     * end.
     */
    XnioIoThread.Key executeAfter(long millis, Runnable task) {
        return thread.executeAfter(task, millis, TimeUnit.MILLISECONDS);
    }

    /** A pipe whose both ends are on the thread; it ends with it. */
    ChannelPipe<StreamSourceChannel, StreamSinkChannel> createPipe() throws IOException {
        return thread.createHalfDuplexPipe();
    }

    /** Opens a connection on the thread. */
    IoFuture<StreamConnection> connect(
            InetSocketAddress address, ChannelListener<StreamConnection> opened) {
        return thread.openStreamConnection(
                address, opened, OptionMap.create(Options.TCP_NODELAY, true));
    }

    /** An exception costs the task at hand, never the process; an error of the JVM costs that. */
    void runGuarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | StackOverflowError e) {
            onTaskFailure.run();
            Logger.error(e, "a task failed");
        } catch (Error e) { // XNIO would log it and go on, or lose its thread
            onFatalError.accept(e);
            throw e;
        }
    }

    /** Hands on what a handler met that is no exception. */
    void reportError(Error error) {
        onFatalError.accept(error);
    }

    /** Ends the thread, and with it all that is on it. */
    void stop() {
        worker.shutdownNow();
    }
}
