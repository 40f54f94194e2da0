package junipercourse.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.util.ArrayList;
import java.util.List;
import junipercourse.liveness.ArrivalInterval;
import junipercourse.liveness.ReadWatermark;
import org.tinylog.Logger;
import org.xnio.ChannelPipe;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * Sends probes to the event loop itself through a pipe and tracks the selector passes that receive
 * them: {@link ReadWatermark} derives from them up to which time everything has been read. The pipe
 * is closed with the thread.
 */
final class WatermarkProbe {
    private final EventLoop loop;
    private final IoThread thread;
    private final Listeners listeners;
    private final StallRecovery stallRecovery;
    private final ReadWatermark watermark;

    /** The same for accepted connections alone, whatever waits to be accepted. */
    private final ReadWatermark connectionWatermark;

    private final ByteBuffer probeBuffer = ByteBuffer.allocateDirect(16);
    private final StreamSourceChannel source;
    private final StreamSinkChannel sink;
    private List<Runnable> nextPassTasks = new ArrayList<>();
    private List<Runnable> thisPassTasks = new ArrayList<>();
    private boolean passInProgress;

    /**
     * @param listeners may have connections waiting that a probe does not cover
     * @param stallRecovery has caught up once enough probes have returned
     */
    WatermarkProbe(
            EventLoop loop, IoThread thread, Listeners listeners, StallRecovery stallRecovery)
            throws IOException {
        this.loop = loop;
        this.thread = thread;
        this.listeners = listeners;
        this.stallRecovery = stallRecovery;
        watermark = new ReadWatermark(loop.now());
        connectionWatermark = new ReadWatermark(loop.now());
        ChannelPipe<StreamSourceChannel, StreamSinkChannel> pipe = thread.createPipe();
        source = pipe.getLeftSide();
        sink = pipe.getRightSide();
        source.getReadSetter().set(c -> receiveProbe());
        source.resumeReads();
    }

    /** All bytes that arrived before this time have been read. */
    double readWatermark() {
        return watermark.watermark();
    }

    /** The interval in which bytes read now arrived, if no earlier than at a watermark. */
    ArrivalInterval arrivalSince(double earliest) {
        double readAt = loop.now();
        return new ArrivalInterval(Math.min(readAt, earliest), readAt);
    }

    /**
     * All bytes that arrived on accepted connections before this time have been read, but for
     * connections that were left unread in a pass and know it.
     */
    double connectionWatermark() {
        return connectionWatermark.watermark();
    }

    /** Connections are left unaccepted in this pass, so that the pending probe proves less. */
    void markIncomplete() {
        watermark.recordUnreadData();
    }

    /**
     * Runs a task when the second probe from now has returned: by then two selector passes have
     * run.
     */
    void runAfterNextPass(Runnable task) {
        nextPassTasks.add(task);
    }

    /** Records that the thread is running; the first call in a pass schedules {@link #endPass}. */
    void recordActivity() {
        if (!passInProgress) {
            passInProgress = true;
            thread.enqueue(
                    () -> thread.enqueue(this::endPass)); // after what XNIO queued in this pass
        }
    }

    /** Sends a probe, unless one is pending. */
    void sendProbe() {
        if (watermark.isProbePending()) {
            return;
        }
        double now = loop.now();
        watermark.recordProbeSent(now);
        connectionWatermark.recordProbeSent(now);
        if (listeners.mayMissConnections(stallRecovery.isCatchingUp())) {
            watermark.recordUnreadData();
        }
        probeBuffer.clear().limit(1);
        try {
            sink.write(probeBuffer);
        } catch (ClosedChannelException e) {
            Logger.debug("the event loop has stopped: no further probe");
        } catch (IOException e) {
            Logger.error(e, "cannot write a probe to the pipe of the event loop");
        }
    }

    private void receiveProbe() {
        loop.recordActivity();
        probeBuffer.clear();
        try {
            if (source.read(probeBuffer) > 0) {
                watermark.recordProbeRead();
                connectionWatermark.recordProbeRead();
            }
        } catch (IOException e) {
            Logger.error(e, "cannot read a probe from the pipe of the event loop");
        }
    }

    /** Runs after all ready sockets of a pass have been processed, before the next selection. */
    private void endPass() {
        passInProgress = false;
        if (listeners.hasWaitingConnections()) {
            watermark.recordUnreadData();
        }
        boolean probeReturned = watermark.completePass();
        connectionWatermark.completePass();
        if (probeReturned) {
            List<Runnable> dueTasks = thisPassTasks;
            thisPassTasks = nextPassTasks;
            nextPassTasks = new ArrayList<>();
            dueTasks.forEach(thread::runGuarded);
        }
        if (stallRecovery.needsProbe(probeReturned, watermark.watermark())) {
            sendProbe();
        }
    }
}
