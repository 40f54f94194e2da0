package junipercourse.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.util.ArrayList;
import java.util.List;
import junipercourse.liveness.ReadWatermark;
import org.tinylog.Logger;
import org.xnio.ChannelPipe;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * The marks that the loop sends to itself through a pipe, and the passes over the sockets that they
 * come home in: what {@link ReadWatermark} needs to know up to which time everything has been read.
 * The pipe ends with the thread.
 */
final class WatermarkProbe {
    private final EventLoop loop;
    private final IoThread thread;
    private final Listeners listeners;
    private final StallRecovery stallRecovery;
    private final ReadWatermark watermark;
    private final ByteBuffer probeBuffer = ByteBuffer.allocateDirect(16);
    private final StreamSourceChannel source;
    private final StreamSinkChannel sink;
    private List<Runnable> nextPassTasks = new ArrayList<>();
    private List<Runnable> thisPassTasks = new ArrayList<>();
    private boolean passInProgress;

    /**
     * @param acceptors may hold connections that a mark cannot vouch for
     * @param stalls are caught up with once enough marks came home
     */
    WatermarkProbe(
            EventLoop loop, IoThread thread, Listeners listeners, StallRecovery stallRecovery)
            throws IOException {
        this.loop = loop;
        this.thread = thread;
        this.listeners = listeners;
        this.stallRecovery = stallRecovery;
        watermark = new ReadWatermark(loop.now());
        ChannelPipe<StreamSourceChannel, StreamSinkChannel> pipe = thread.createPipe();
        source = pipe.getLeftSide();
        sink = pipe.getRightSide();
        source.getReadSetter().set(c -> receiveProbe());
        source.resumeReads();
    }

    /** All that came before this time has been read. */
    double readWatermark() {
        return watermark.watermark();
    }

    /** Something is left in this pass, so that the mark on its way proves nothing. */
    void markIncomplete() {
        watermark.recordUnreadData();
    }

    /**
     * Runs a task when the second mark from now has come home: sockets were looked for anew twice
     * then.
     */
    void runAfterNextPass(Runnable task) {
        nextPassTasks.add(task);
    }

    /** The thread has a turn: the first of a pass sees to it that the pass's end is noticed. */
    void recordActivity() {
        if (!passInProgress) {
            passInProgress = true;
            thread.enqueue(
                    () ->
                            thread.enqueue(
                                    this::endPass)); // behind what XNIO has queued of this pass
        }
    }

    /** Sends a mark, unless one is on its way. */
    void sendProbe() {
        if (watermark.isProbePending()) {
            return;
        }
        watermark.recordProbeSent(loop.now());
        if (listeners.mayMissConnections(stallRecovery.isCatchingUp())) {
            watermark.recordUnreadData();
        }
        probeBuffer.clear().limit(1);
        try {
            sink.write(probeBuffer);
        } catch (ClosedChannelException e) {
            Logger.debug("the loop has ended");
        } catch (IOException e) {
            Logger.error(e, "the loop cannot write to its own pipe");
        }
    }

    private void receiveProbe() {
        loop.recordActivity();
        probeBuffer.clear();
        try {
            if (source.read(probeBuffer) > 0) {
                watermark.recordProbeRead();
            }
        } catch (IOException e) {
            Logger.error(e, "the loop cannot read from its own pipe");
        }
    }

    /** Runs when all sockets of a pass have been dealt with, before the next are looked for. */
    private void endPass() {
        passInProgress = false;
        if (listeners.hasWaitingConnections()) {
            watermark.recordUnreadData();
        }
        boolean probeReturned = watermark.completePass();
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
