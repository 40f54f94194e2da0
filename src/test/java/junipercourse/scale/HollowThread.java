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
 * One thread with a selector for many hollow members. It treats its own stalls as {@code
 * FleetService} does: after one, nothing is judged before all that lay at the sockets is read, or
 * half a second has passed.
 */
final class HollowThread {
    /** As in {@code FleetService}. */
    private static final double PARK_MOST_S = 0.1;

    private static final double STALL_S = 0.15;
    private static final double READ_FIRST_MOST_S = 0.5;

    final SplittableRandom random;
    final Selector selector = Selector.open();
    final Thread thread;
    private final List<HollowMember> members = new ArrayList<>();
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final PriorityQueue<DelayedTask> later = new PriorityQueue<>();
    private final StallDetector attention =
            new StallDetector(PARK_MOST_S, STALL_S, Double.MAX_VALUE, Network.now(), Network.now());
    private volatile boolean closed;
    private volatile long stalls;
    private volatile String failure;
    private double nextTick;
    private double catchUpUntil = Double.NEGATIVE_INFINITY;
    private long sequence;

    private record DelayedTask(double at, long number, Runnable task)
            implements Comparable<DelayedTask> {
        @Override
        public int compareTo(DelayedTask other) {
            int order = Double.compare(at, other.at);
            return order == 0 ? Long.compare(number, other.number) : order;
        }
    }

    HollowThread(int number, long seed) throws IOException {
        random = new SplittableRandom(seed);
        thread = new Thread(this::run, "hollow-" + number);
        thread.setDaemon(true);
        thread.start();
    }

    /** Runs a task on the thread, soon. */
    void execute(Runnable task) {
        tasks.add(task);
        selector.wakeup();
    }

    /** Runs a task on the thread after so many seconds; called there. */
    void later(double seconds, Runnable task) {
        later.add(new DelayedTask(Network.now() + seconds, sequence++, task));
    }

    /** A member lives here from now on; called on the thread. */
    void add(HollowMember member) {
        members.add(member);
        nextTick = 0;
    }

    void remove(HollowMember member) {
        members.remove(member);
    }

    /** Gaps of its own so far. */
    long stalls() {
        return stalls;
    }

    /** What ended the thread, or null. */
    String failure() {
        return failure;
    }

    private void run() {
        try {
            attention.restartMeasurement(Network.now());
            while (!closed) {
                turn();
            }
        } catch (IOException | RuntimeException | Error e) {
            if (!closed || !(e instanceof ClosedSelectorException)) {
                failure = thread.getName() + ": " + e;
                e.printStackTrace();
            }
        }
    }

    private void turn() throws IOException {
        double wait =
                Math.min(nextTick, later.isEmpty() ? Double.MAX_VALUE : later.peek().at)
                        - Network.now();
        if (catchUpUntil > 0 || wait <= 0 || !tasks.isEmpty()) {
            selector.selectNow();
        } else {
            selector.select(Math.max(1, (long) Math.ceil(Math.min(wait, PARK_MOST_S) * 1e3)));
        }
        double now = Network.now();
        StallDetector.Stall stall = attention.recordIteration(now);
        if (stall != null) {
            stalls++;
            members.forEach(member -> member.stalled(now, stall.durationSeconds()));
            catchUpUntil = now + READ_FIRST_MOST_S;
        } else if (selector.selectedKeys().isEmpty() || now > catchUpUntil) {
            catchUpUntil = Double.NEGATIVE_INFINITY;
        }
        for (SelectionKey key : selector.selectedKeys()) {
            if (key.isValid()) {
                ((HollowMember) key.attachment()).receive();
            }
        }
        selector.selectedKeys().clear();
        if (catchUpUntil < 0) {
            for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
                task.run();
            }
            while (!later.isEmpty() && later.peek().at <= Network.now()) {
                later.poll().task.run();
            }
            tick();
        }
    }

    private void tick() {
        if (Network.now() >= nextTick) {
            nextTick = Double.POSITIVE_INFINITY;
            for (HollowMember member : members) {
                nextTick = Math.min(nextTick, member.tick(Network.now()));
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
