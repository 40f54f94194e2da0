package junipercourse.scale;

import java.io.IOException;
import java.nio.channels.ClosedSelectorException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import junipercourse.liveness.StallDetector;

/**
 * One thread with a selector that runs many hollow members. It handles its own stalls as {@code
 * FleetService} does: after a stall, no tick runs until all pending datagrams have been read or
 * half a second has passed.
 */
final class HollowThread {
    /** As in {@code FleetService}. */
    private static final double MAX_PARK_SECONDS = 0.1;

    private static final double STALL_SECONDS = 0.15;
    private static final double MAX_CATCH_UP_SECONDS = 0.5;

    final SplittableRandom random;
    final Selector selector = Selector.open();
    final Thread thread;
    private final List<HollowMember> members = new ArrayList<>();
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final PriorityQueue<DelayedTask> delayedTasks = new PriorityQueue<>();
    private final StallDetector stallDetector =
            new StallDetector(
                    MAX_PARK_SECONDS,
                    STALL_SECONDS,
                    Double.MAX_VALUE,
                    Network.nowSeconds(),
                    Network.nowSeconds());
    private volatile boolean closed;
    private volatile long stalls;
    private volatile String failure;
    private double nextTickSeconds;
    private double catchUpUntilSeconds = Double.NEGATIVE_INFINITY;
    private long nextSequence;

    private record DelayedTask(double dueSeconds, long sequence, Runnable task)
            implements Comparable<DelayedTask> {
        @Override
        public int compareTo(DelayedTask other) {
            int order = Double.compare(dueSeconds, other.dueSeconds);
            return order == 0 ? Long.compare(sequence, other.sequence) : order;
        }
    }

    HollowThread(int number, long seed) throws IOException {
        random = new SplittableRandom(seed);
        thread = new Thread(this::run, "hollow-" + number);
        thread.setDaemon(true);
        thread.start();
    }

    /** Runs a task on the thread in its next iteration. */
    void execute(Runnable task) {
        tasks.add(task);
        selector.wakeup();
    }

    /** Runs a task after a delay; called on the thread. */
    void schedule(double seconds, Runnable task) {
        delayedTasks.add(new DelayedTask(Network.nowSeconds() + seconds, nextSequence++, task));
    }

    /** Adds a member to this thread; called on the thread. */
    void add(HollowMember member) {
        members.add(member);
        nextTickSeconds = 0;
    }

    void remove(HollowMember member) {
        members.remove(member);
    }

    /** Number of stalls of this thread so far. */
    long stalls() {
        return stalls;
    }

    /** The failure that ended the thread, or null. */
    String failure() {
        return failure;
    }

    private void run() {
        try {
            stallDetector.restartMeasurement(Network.nowSeconds());
            while (!closed) {
                runIteration();
            }
        } catch (IOException | RuntimeException | Error e) {
            if (!closed || !(e instanceof ClosedSelectorException)) {
                failure = thread.getName() + ": " + e;
                e.printStackTrace();
            }
        }
    }

    private void runIteration() throws IOException {
        double waitSeconds =
                Math.min(
                                nextTickSeconds,
                                delayedTasks.isEmpty()
                                        ? Double.MAX_VALUE
                                        : delayedTasks.peek().dueSeconds)
                        - Network.nowSeconds();
        if (catchUpUntilSeconds > 0 || waitSeconds <= 0 || !tasks.isEmpty()) {
            selector.selectNow();
        } else {
            selector.select(
                    Math.max(1, (long) Math.ceil(Math.min(waitSeconds, MAX_PARK_SECONDS) * 1e3)));
        }
        double now = Network.nowSeconds();
        StallDetector.Stall stall = stallDetector.recordIteration(now);
        if (stall != null) {
            stalls++;
            members.forEach(member -> member.stalled(now, stall.durationSeconds()));
            catchUpUntilSeconds = now + MAX_CATCH_UP_SECONDS;
        } else if (selector.selectedKeys().isEmpty() || now > catchUpUntilSeconds) {
            catchUpUntilSeconds = Double.NEGATIVE_INFINITY;
        }
        for (SelectionKey key : selector.selectedKeys()) {
            if (key.isValid()) {
                ((HollowMember) key.attachment()).receive();
            }
        }
        selector.selectedKeys().clear();
        if (catchUpUntilSeconds < 0) {
            for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
                task.run();
            }
            while (!delayedTasks.isEmpty()
                    && delayedTasks.peek().dueSeconds <= Network.nowSeconds()) {
                delayedTasks.poll().task.run();
            }
            tickMembers();
        }
    }

    private void tickMembers() {
        if (Network.nowSeconds() >= nextTickSeconds) {
            nextTickSeconds = Double.POSITIVE_INFINITY;
            for (HollowMember member : members) {
                nextTickSeconds = Math.min(nextTickSeconds, member.tick(Network.nowSeconds()));
            }
        }
    }

    void close() throws IOException {
        closed = true;
        selector.wakeup();
        try {
            thread.join(1000);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        selector.close();
    }
}
