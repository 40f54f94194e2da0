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
    private final Listeners acceptors;
    private final StallRecovery stalls;
    private final ReadWatermark tide;
    private final ByteBuffer mark = ByteBuffer.allocateDirect(16);
    private final StreamSourceChannel source;
    private final StreamSinkChannel sink;
    private List<Runnable> nextPass = new ArrayList<>();
    private List<Runnable> thisPass = new ArrayList<>();
    private boolean passOpen;

    /**
     * @param acceptors may hold connections that a mark cannot vouch for
     * @param stalls are caught up with once enough marks came home
     */
    WatermarkProbe(EventLoop loop, IoThread thread, Listeners acceptors, StallRecovery stalls)
            throws IOException {
        this.loop = loop;
        this.thread = thread;
        this.acceptors = acceptors;
        this.stalls = stalls;
        tide = new ReadWatermark(loop.now());
        ChannelPipe<StreamSourceChannel, StreamSinkChannel> pipe = thread.pipe();
        source = pipe.getLeftSide();
        sink = pipe.getRightSide();
        source.getReadSetter().set(c -> came());
        source.resumeReads();
    }

    /** All that came before this time has been read. */
    double readUpTo() {
        return tide.watermark();
    }

    /** Something is left in this pass, so that the mark on its way proves nothing. */
    void leftOver() {
        tide.recordUnreadData();
    }

    /**
     * Runs a task when the second mark from now has come home: sockets were looked for anew twice
     * then.
     */
    void afterNextPass(Runnable task) {
        nextPass.add(task);
    }

    /** The thread has a turn: the first of a pass sees to it that the pass's end is noticed. */
    void turn() {
        if (!passOpen) {
            passOpen = true;
            thread.queue(
                    () -> thread.queue(this::passOver)); // behind what XNIO has queued of this pass
        }
    }

    /** Sends a mark, unless one is on its way. */
    void send() {
        if (tide.isProbePending()) {
            return;
        }
        tide.recordProbeSent(loop.now());
        if (acceptors.markGoesOut(stalls.catchingUp())) {
            tide.recordUnreadData();
        }
        mark.clear().limit(1);
        try {
            sink.write(mark);
        } catch (ClosedChannelException e) {
            Logger.debug("the loop has ended");
        } catch (IOException e) {
            Logger.error(e, "the loop cannot write to its own pipe");
        }
    }

    private void came() {
        loop.enter();
        mark.clear();
        try {
            if (source.read(mark) > 0) {
                tide.recordProbeRead();
            }
        } catch (IOException e) {
            Logger.error(e, "the loop cannot read from its own pipe");
        }
    }

    /** Runs when all sockets of a pass have been dealt with, before the next are looked for. */
    private void passOver() {
        passOpen = false;
        if (acceptors.behind()) {
            tide.recordUnreadData();
        }
        boolean looked = tide.completePass();
        if (looked) {
            List<Runnable> due = thisPass;
            thisPass = nextPass;
            nextPass = new ArrayList<>();
            due.forEach(thread::guarded);
        }
        if (stalls.wantMark(looked, tide.watermark())) {
            send();
        }
    }
}
