package junipercourse.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import junipercourse.net.EventLoop;
import org.tinylog.Logger;

/** Starts to listen on an address, and retries while another process holds it. */
final class ListenRetry {
    /** A predecessor may hold the address; clients connect 30 s after the start at the latest. */
    private static final double TIMEOUT_SECONDS = 25;

    private static final double RETRY_SECONDS = 0.1;

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final ListenAction listen;
    private final BooleanSupplier isCancelled;
    private final CompletableFuture<Void> started = new CompletableFuture<>();

    /** Listens on the address; runs on the event loop. */
    interface ListenAction {
        void run() throws IOException;
    }

    /** Once {@code isCancelled}, the start is given up and never completes. */
    ListenRetry(
            EventLoop loop,
            InetSocketAddress address,
            ListenAction listen,
            BooleanSupplier isCancelled) {
        this.loop = loop;
        this.address = address;
        this.listen = listen;
        this.isCancelled = isCancelled;
    }

    /** Returns a future that completes once clients can connect, or with what prevents it. */
    CompletableFuture<Void> start() {
        loop.execute(() -> tryListening(loop.now()));
        return started;
    }

    private void tryListening(double startTime) {
        if (isCancelled.getAsBoolean()) {
            return; // shutting down: whoever waits for the start is exiting too
        }
        double waitedSeconds = loop.now() - startTime;
        try {
            listen.run();
            if (waitedSeconds >= RETRY_SECONDS) {
                Logger.info("{} was in use for {} ms", address, Math.round(waitedSeconds * 1e3));
            }
            started.complete(null);
        } catch (IOException e) {
            retryOrFail(startTime, waitedSeconds, e);
        } catch (RuntimeException e) {
            started.completeExceptionally(e);
        }
    }

    private void retryOrFail(double startTime, double waitedSeconds, IOException failure) {
        if (waitedSeconds < TIMEOUT_SECONDS && PortProbe.isPortInUse(address, failure)) {
            if (waitedSeconds < RETRY_SECONDS) {
                Logger.warn("{} is in use; retrying for up to {} s", address, TIMEOUT_SECONDS);
            }
            loop.scheduleAfter(RETRY_SECONDS, () -> tryListening(startTime));
        } else {
            started.completeExceptionally(
                    new IOException(
                            "cannot listen on "
                                    + address
                                    + ": "
                                    + failure.getMessage()
                                    + "; waited "
                                    + Math.round(waitedSeconds * 1e3)
                                    + " ms"));
        }
    }
}
