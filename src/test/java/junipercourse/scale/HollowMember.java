package junipercourse.scale;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.channels.SelectionKey;
import java.util.List;
import junipercourse.config.Config;
import junipercourse.fleet.FleetConfig;
import junipercourse.fleet.membership.GossipMessage;
import junipercourse.fleet.membership.MemberStatus;
import junipercourse.fleet.membership.MembershipListener;
import junipercourse.fleet.membership.MembershipProtocol;
import junipercourse.fleet.membership.MembershipSnapshot;
import junipercourse.fleet.membership.MembershipSnapshot.MemberView;
import junipercourse.fleet.transport.SingleThreadTransport;
import junipercourse.fleet.transport.TransportCounters;

/**
 * A dispatcher reduced to its fleet membership: the real membership protocol on a real socket,
 * without front tier, engines and log. Its incarnations run one after another on one thread; the
 * transport counters accumulate over all of them.
 */
final class HollowMember implements MembershipListener, SingleThreadTransport.NetworkFaults {
    /**
     * Time between the end of an incarnation and the start of its successor: as long as a process
     * takes to start.
     */
    private static final double RESTART_SECONDS = 0.5;

    /** As long as {@code FleetService} keeps announcing that it leaves. */
    private static final double LEAVE_SECONDS = 0.15;

    final int number;
    final FleetConfig config;
    final HollowThread thread;
    final TransportCounters transportCounters = new TransportCounters();
    private final Network network;
    private final UnreachableListener unreachableListener;
    private MembershipProtocol protocol;
    private SingleThreadTransport transport;
    private volatile MembershipSnapshot snapshot;
    private volatile int startCount;
    private volatile double startedAt = Double.POSITIVE_INFINITY;

    HollowMember(
            int number,
            FleetConfig config,
            HollowThread thread,
            Network network,
            UnreachableListener unreachableListener) {
        this.number = number;
        this.config = config;
        this.thread = thread;
        this.network = network;
        this.unreachableListener = unreachableListener;
    }

    static String name(int number) {
        return "n" + number;
    }

    /** The newest snapshot of the running incarnation, or null. */
    MembershipSnapshot snapshot() {
        return snapshot;
    }

    /** Number of incarnations started so far. */
    int startCount() {
        return startCount;
    }

    /** Start time of the running incarnation; infinity if none runs. */
    double startedAt() {
        return startedAt;
    }

    /** Starts an incarnation; this method and those below are called on the member's thread. */
    void start() {
        try {
            transport =
                    new SingleThreadTransport(
                            config.name(),
                            config.listen(),
                            config.rateLimits(),
                            transportCounters,
                            this);
            transport.channel().register(thread.selector, SelectionKey.OP_READ, this);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        protocol =
                new MembershipProtocol(
                        config.membership(),
                        name(number),
                        config.advertisedAddress(),
                        config.zone(),
                        config.seeds(),
                        thread.random.nextLong(),
                        this);
        startedAt = Network.nowSeconds();
        snapshot = null;
        startCount++; // written by this thread alone
        thread.add(this);
        protocol.start(Network.nowSeconds());
    }

    /** Simulates the loss of the process with all its state. */
    void kill() {
        if (protocol == null) {
            return;
        }
        protocol = null;
        snapshot = null;
        startedAt = Double.POSITIVE_INFINITY;
        thread.remove(this);
        try {
            transport.close();
            thread.selector.selectNow(); // the system releases the address only then
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Announces that this incarnation leaves, ends it, and starts the next one after the start-up
     * time of a process.
     */
    void restart() {
        if (protocol != null) {
            protocol.leave(Network.nowSeconds());
            startedAt = Double.POSITIVE_INFINITY;
            snapshot = null;
            thread.schedule(LEAVE_SECONDS, this::kill);
        }
        thread.schedule(LEAVE_SECONDS + RESTART_SECONDS, this::start);
    }

    /** Releases the address after the thread has ended. */
    void close() throws IOException {
        if (transport != null) {
            transport.close();
        }
    }

    void stalled(double now, double seconds) {
        protocol.handleStall(now, seconds);
    }

    void receive() throws IOException {
        transport.receive(
                (from, message) -> {
                    if (protocol != null) {
                        protocol.handleMessage(Network.nowSeconds(), from, message);
                    }
                });
    }

    /** Runs a due protocol tick; returns when the next one is due. */
    double tick(double now) {
        if (now >= protocol.nextTickAt()) {
            protocol.tick(now);
        }
        return protocol.nextTickAt();
    }

    @Override
    public void send(String address, GossipMessage message) {
        transport.send(address, message);
    }

    @Override
    public void membershipChanged(MembershipSnapshot next) {
        if (startedAt == Double.POSITIVE_INFINITY) {
            return; // is leaving
        }
        MembershipSnapshot previous = snapshot;
        double previousTakenAt = previous == null ? startedAt : previous.takenAt();
        snapshot = next;
        List<MemberView> members = next.members();
        for (int i = 0; i < members.size(); i++) {
            MemberView member = members.get(i);
            if (member.record().status() == MemberStatus.UNREACHABLE
                    && member.statusSince() >= previousTakenAt) {
                unreachableListener.markedUnreachable(number, member);
            }
        }
    }

    @Override
    public void log(String line) {
        // logging is not measured
    }

    @Override
    public double sendDelaySeconds(String to) {
        return network.sendDelaySeconds(number, to, thread.random);
    }

    @Override
    public double receiveDelaySeconds(String from) {
        return network.receiveDelaySeconds(number, from, thread.random);
    }

    @Override
    public void schedule(double seconds, Runnable task) {
        thread.schedule(seconds, task);
    }

    /** Builds the fleet configuration that an equivalent product file would yield. */
    static FleetConfig createConfig(
            int number, String zone, List<String> seeds, FleetConfig template) {
        return new FleetConfig(
                template.name(),
                Config.parseAddress("listen", Network.address(number)),
                Network.address(number),
                zone,
                seeds,
                template.rateLimits(),
                template.membership());
    }

    /** Receives each verdict of a member that another member is unreachable. */
    interface UnreachableListener {
        void markedUnreachable(int observer, MemberView target);
    }
}
