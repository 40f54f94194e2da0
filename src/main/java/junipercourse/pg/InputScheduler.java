package junipercourse.pg;

import java.util.Comparator;
import java.util.PriorityQueue;
import junipercourse.net.EventLoop;

/**
 * Divides a share of the event loop's time among the sessions whose clients have sent messages, so
 * that no number of clients that write at full speed keeps the loop from others.
 *
 * <p>While there is time, messages are processed as they arrive. Otherwise sessions wait here, and
 * nothing is read from them; the order is that of weighted fair queueing with equal weights: each
 * message has a virtual finish time, which grows with what its session has sent before, and the
 * lowest one is next. A session with few small messages so waits for hardly any other.
 */
final class InputScheduler {
    /** Share of the elapsed time that messages may take. */
    private static final double TIME_SHARE = 0.3;

    private static final double MAX_AVAILABLE_SECONDS = 0.005;
    private static final double SLICE_INTERVAL_SECONDS = 0.001;

    /** Longest time taken off for one message; the process may have been paused meanwhile. */
    private static final double MAX_COST_SECONDS = 0.02;

    private static final double EXPECTED_MESSAGE_SECONDS = 20e-6;
    private static final double EXPECTED_BYTE_SECONDS = 0.02e-6;

    private final EventLoop loop;
    private final PriorityQueue<WaitingSession> queue =
            new PriorityQueue<>(
                    Comparator.comparingDouble(WaitingSession::virtualFinish)
                            .thenComparingLong(WaitingSession::sequence));
    private double availableSeconds = MAX_AVAILABLE_SECONDS;
    private double refilledAt;
    private double virtualTime;
    private long nextSequence;
    private boolean isSliceScheduled;

    /** A session that waits for its turn. */
    private record WaitingSession(
            Session session,
            Usage usage,
            double virtualStart,
            double virtualFinish,
            long sequence) {}

    /** What one session has taken of the time, and whether it waits for its turn. */
    static final class Usage {
        private double virtualFinish;
        private boolean isWaiting;

        boolean isWaiting() {
            return isWaiting;
        }
    }

    InputScheduler(EventLoop loop) {
        this.loop = loop;
        refilledAt = loop.now();
    }

    /**
     * Whether a message may be processed without waiting. After a stall all that has arrived may:
     * the order of keys is known for messages that are processed as they are read.
     */
    boolean hasCapacity() {
        refill();
        return loop.isCatchingUp() || queue.isEmpty() && availableSeconds > 0;
    }

    private void refill() {
        double now = loop.now();
        availableSeconds =
                Math.min(MAX_AVAILABLE_SECONDS, availableSeconds + (now - refilledAt) * TIME_SHARE);
        refilledAt = now;
    }

    /** Processes the next message of a session and charges the session for it. */
    void processNext(Usage usage, SessionInput input, PgProtocolHandler protocol)
            throws FrontendMessageDecoder.MalformedMessageException {
        int bytesBefore = input.bufferedBytes();
        double startedAt = loop.now();
        protocol.handleNext(input.decoder());
        recordProcessed(usage, bytesBefore - input.bufferedBytes(), startedAt);
    }

    private void recordProcessed(Usage usage, int messageBytes, double startedAt) {
        double seconds = Math.min(MAX_COST_SECONDS, loop.now() - startedAt);
        availableSeconds = Math.max(-MAX_AVAILABLE_SECONDS, availableSeconds - seconds);
        double cost = expectedSeconds(messageBytes);
        usage.virtualFinish = Math.max(virtualTime, usage.virtualFinish) + cost;
        virtualTime += cost / (queue.size() + 1);
    }

    /**
     * Adds a session, whose {@link Session#processDeferred} is called later, once; ignored for one
     * that waits already.
     *
     * @param bufferedBytes of its next message and what has come behind it
     */
    void enqueue(Session session, Usage usage, int bufferedBytes) {
        if (usage.isWaiting) {
            return;
        }
        usage.isWaiting = true;
        double virtualStart = Math.max(virtualTime, usage.virtualFinish);
        queue.add(
                new WaitingSession(
                        session,
                        usage,
                        virtualStart,
                        virtualStart + expectedSeconds(bufferedBytes),
                        nextSequence++));
        scheduleSlice();
    }

    /** Removes a session that has been closed, if it waits. */
    void remove(Usage usage) {
        if (usage.isWaiting) {
            queue.removeIf(waiting -> waiting.usage() == usage);
        }
    }

    private static double expectedSeconds(int bytes) {
        return EXPECTED_MESSAGE_SECONDS + bytes * EXPECTED_BYTE_SECONDS;
    }

    private void scheduleSlice() {
        if (!isSliceScheduled) {
            isSliceScheduled = true;
            loop.scheduleAfter(SLICE_INTERVAL_SECONDS, this::runSlice);
        }
    }

    private void runSlice() {
        isSliceScheduled = false;
        refill();
        while (!queue.isEmpty() && availableSeconds > 0) {
            WaitingSession next = queue.poll();
            next.usage().isWaiting = false;
            virtualTime = Math.max(virtualTime, next.virtualStart());
            next.session().processDeferred();
        }
        if (!queue.isEmpty()) {
            scheduleSlice();
        }
    }
}
