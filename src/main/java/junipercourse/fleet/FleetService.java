package junipercourse.fleet;

import java.io.IOException;
import java.security.SecureRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import junipercourse.core.OptionalComponent;
import junipercourse.core.StatusTables;
import junipercourse.fleet.membership.GossipMessage;
import junipercourse.fleet.membership.MembershipListener;
import junipercourse.fleet.membership.MembershipProtocol;
import junipercourse.fleet.membership.MembershipSnapshot;
import junipercourse.fleet.transport.Envelope;
import junipercourse.fleet.transport.UdpTransport;
import junipercourse.liveness.StallDetector;
import junipercourse.net.Clock;
import org.tinylog.Logger;

/**
 * Runs the membership protocol on a thread that alone owns the {@link MembershipProtocol}, owns the
 * transport, and publishes the latest snapshot to all other threads. No thread that serves queries
 * waits for either. A failure ends the membership, is logged and shown in {@code SHOW FLEET}, and
 * does not affect the dispatcher.
 */
public final class FleetService implements OptionalComponent {
    /** Maximum sleep, so that a stall of this process is detected. */
    private static final double MAX_PARK_SECONDS = 0.1;

    /**
     * Delay of a wake-up from which it counts as a stall; ordinary scheduling delays are shorter.
     */
    private static final double STALL_THRESHOLD_SECONDS = 0.15;

    /**
     * After a stall, timers are not evaluated before everything that waited at the socket has been
     * read. Maximum wait for that.
     */
    private static final double MAX_DRAIN_SECONDS = 0.5;

    private static final double DRAIN_POLL_SECONDS = 0.001;

    /** Seconds for which the leave message is repeated. */
    private static final double LEAVE_SECONDS = 0.15;

    /** Maximum wait for the leave at shutdown. */
    private static final long SHUTDOWN_TIMEOUT_MILLIS = 250;

    private static final double NANOS_PER_SECOND = 1e9;
    private static final int MAX_MESSAGES_PER_ITERATION = 1024;

    private final UdpTransport transport;
    private final MembershipProtocol membership;
    private final StallDetector stallDetector;
    private final FleetTable table;
    private final Thread thread = new Thread(this::run, "fleet");
    private final CountDownLatch terminated = new CountDownLatch(1);
    private volatile MembershipSnapshot snapshot;
    private volatile String failure;
    private volatile boolean shuttingDown;
    private volatile long stalls;
    private volatile long messagesHeldBack;
    private long drainTarget;
    private double drainDeadline;

    /**
     * Opens the socket; nothing is sent before {@link #start}.
     *
     * @param name this process's name, by which its incarnations are known
     * @param config the fleet section of the product file
     * @throws IOException if the address cannot be bound at all
     */
    public FleetService(String name, FleetConfig config) throws IOException {
        long seed =
                new SecureRandom()
                        .nextLong(); // the configured seed may be the same for all dispatchers
        Logger.info("fleet: {} of fleet {}, seed {}", name, config.name(), Long.toHexString(seed));
        transport =
                new UdpTransport(
                        config.name(),
                        config.listen(),
                        config.rateLimits(),
                        line -> Logger.warn("fleet: {}", line));
        membership =
                new MembershipProtocol(
                        config.membership(),
                        name,
                        config.advertisedAddress(),
                        config.zone(),
                        config.seeds(),
                        seed,
                        new ProtocolListener());
        stallDetector =
                new StallDetector(
                        MAX_PARK_SECONDS, STALL_THRESHOLD_SECONDS, Double.MAX_VALUE, now(), now());
        table = new FleetTable(config, transport);
        thread.setDaemon(true);
    }

    /** Carries out what the protocol decides, on the fleet thread. */
    private final class ProtocolListener implements MembershipListener {
        @Override
        public void send(String address, GossipMessage message) {
            transport.send(address, message);
        }

        @Override
        public void membershipChanged(MembershipSnapshot newSnapshot) {
            snapshot = newSnapshot;
        }

        @Override
        public void log(String line) {
            Logger.info("fleet: {}", line);
        }
    }

    private static double now() {
        return Clock.SYSTEM.monotonicSeconds();
    }

    /**
     * Returns the latest snapshot, on any thread; null before the first one and after a failure.
     */
    public MembershipSnapshot snapshot() {
        return snapshot;
    }

    @Override
    public void addTables(StatusTables tables) {
        tables.add(
                "fleet",
                rows -> table.fill(rows, snapshot, failure, stalls, messagesHeldBack, now()),
                FleetTable.COLUMNS.toArray(new String[0]));
    }

    @Override
    public void start() {
        thread.start();
        transport.start(thread);
    }

    /** Leaves the fleet and stops the thread. */
    @Override
    public void shutDown() {
        shuttingDown = true;
        LockSupport.unpark(thread);
        try {
            if (!terminated.await(SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
                Logger.warn("fleet: leave was not sent in time");
            }
            transport.close();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            Logger.warn("fleet: cannot close the transport: {}", e);
        }
    }

    private void run() {
        try {
            double now = now();
            stallDetector.restartMeasurement(now);
            membership.start(now);
            double leftAt = Double.POSITIVE_INFINITY;
            while (now < leftAt + LEAVE_SECONDS) {
                boolean drained = runIteration(now);
                if (shuttingDown && leftAt > now) {
                    membership.leave(now);
                    leftAt = now;
                }
                park(drained ? membership.nextTickAt() - now : DRAIN_POLL_SECONDS);
                now = now();
            }
        } catch (RuntimeException e) {
            failure = e.toString();
            snapshot = null; // a stale snapshot must not be used
            Logger.error(e, "fleet: membership has failed; the dispatcher continues without it");
        } finally {
            terminated.countDown();
        }
    }

    /**
     * Runs one loop iteration; returns false if more must be read before timers may be evaluated.
     */
    private boolean runIteration(double now) {
        StallDetector.Stall stall = stallDetector.recordIteration(now);
        if (stall != null) {
            stalls++;
            membership.handleStall(now, stall.durationSeconds());
            drainTarget = transport.drainCount() + 2;
            drainDeadline = now + MAX_DRAIN_SECONDS;
        }
        boolean drained =
                !transport.isBound()
                        || transport.drainCount() >= drainTarget
                        || now > drainDeadline;
        for (int i = 0; i < MAX_MESSAGES_PER_ITERATION; i++) {
            Envelope envelope = transport.poll();
            if (envelope == null) {
                break;
            }
            membership.handleMessage(now, envelope.address(), envelope.message());
        }
        messagesHeldBack = membership.messagesDroppedByBudget();
        if (!drained) {
            transport.wakeUp();
        } else if (now >= membership.nextTickAt()) {
            membership.tick(now);
        }
        return drained;
    }

    private static void park(double seconds) {
        if (seconds > 0) {
            LockSupport.parkNanos((long) (Math.min(seconds, MAX_PARK_SECONDS) * NANOS_PER_SECOND));
        }
    }
}
