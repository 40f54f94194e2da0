package junipercourse.net;

import java.util.function.Consumer;
import org.xnio.IoFuture;
import org.xnio.StreamConnection;

/**
 * A connection attempt in progress. It ends once, in one of three ways: the connection is handed
 * over, the attempt fails, or it is cancelled; a connection that is established after that is
 * closed here.
 */
final class PendingConnect implements Dial {
    private final EventLoop loop;
    private final Consumer<StreamConnection> onConnected;
    private final Consumer<Dial.Failure> onFailed;
    private IoFuture<StreamConnection> future;
    private DeadlineQueue.Entry deadline;
    private boolean done;

    PendingConnect(
            EventLoop loop,
            Consumer<StreamConnection> onConnected,
            Consumer<Dial.Failure> onFailed) {
        this.loop = loop;
        this.onConnected = onConnected;
        this.onFailed = onFailed;
    }

    /** Limits the time that the attempt may take. */
    void watch(IoFuture<StreamConnection> connectFuture, double timeoutSeconds) {
        future = connectFuture;
        deadline = loop.scheduleAfter(timeoutSeconds, () -> fail(Dial.Failure.TIMED_OUT));
        connectFuture.addNotifier(
                (finished, attachment) -> {
                    if (finished.getStatus() == IoFuture.Status.FAILED) {
                        loop.execute(() -> fail(Dial.Failure.REFUSED));
                    }
                },
                null);
    }

    /** Called when the connection is established. */
    void complete(StreamConnection connection) {
        loop.recordActivity();
        if (done) { // established just after the attempt ended
            Connection.closeQuietly(connection);
            return;
        }
        done = true;
        loop.cancel(deadline);
        onConnected.accept(connection);
    }

    private void fail(Dial.Failure failure) {
        if (!done) {
            cancel();
            onFailed.accept(failure);
        }
    }

    @Override
    public void cancel() {
        done = true;
        loop.cancel(deadline);
        future.cancel();
    }
}
