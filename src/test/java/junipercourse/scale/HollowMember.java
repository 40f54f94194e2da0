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
import junipercourse.fleet.transport.HollowTransport;
import junipercourse.fleet.transport.TransportCounters;

/**
 * A dispatcher that is a member of the fleet and nothing else: the real view on a real socket,
 * without front, engines and log. One after the other of its lives runs on its thread; the counts
 * go on over all of them.
 */
final class HollowMember implements MembershipListener, HollowTransport.Path {
    /**
     * Between the farewell of a life and the start of its successor: as long as a process takes to
     * start.
     */
    private static final double RESTART_SECONDS = 0.5;

    /** As long as {@code FleetService} goes on to say it. */
    private static final double LEAVE_SECONDS = 0.15;

    final int number;
    final FleetConfig config;
    final HollowThread thread;
    final TransportCounters transportCounters = new TransportCounters();
    private final Network network;
    private final UnreachableListener unreachableListener;
    private MembershipProtocol protocol;
    private HollowTransport transport;
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

    /** The newest snapshot of the life that runs, or null. */
    MembershipSnapshot snapshot() {
        return snapshot;
    }

    /** How many lives have begun. */
    int startCount() {
        return startCount;
    }

    /** When the life began that runs; infinity if none does. */
    double startedAt() {
        return startedAt;
    }

    /** Begins a life; called on the thread, as is all that follows. */
    void start() {
        try {
            transport =
                    new HollowTransport(
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
        startCount++; // on this thread alone
        thread.add(this);
        protocol.start(Network.nowSeconds());
    }

    /** The process is gone, with all that it knew. */
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
            thread.selector.selectNow(); // only then the system has the address back
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Says that this life is over, ends it, and begins the next as soon as a process could. */
    void restart() {
        if (protocol != null) {
            protocol.leave(Network.nowSeconds());
            startedAt = Double.POSITIVE_INFINITY;
            snapshot = null;
            thread.schedule(LEAVE_SECONDS, this::kill);
        }
        thread.schedule(LEAVE_SECONDS + RESTART_SECONDS, this::start);
    }

    /** Gives the address back once the thread has ended. */
    void close() throws IOException {
        if (transport != null) {
            transport.close();
        }
    }

    void stalled(double now, double seconds) {
        protocol.stalled(now, seconds);
    }

    void receive() throws IOException {
        transport.receive(
                (from, message) -> {
                    if (protocol != null) {
                        protocol.messageReceived(Network.nowSeconds(), from, message);
                    }
                });
    }

    /** Carries out what is due, and tells when the next is. */
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
            return; // leaves
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
        // the log is no part of what is measured
    }

    @Override
    public double out(String to) {
        return network.sendDelaySeconds(number, to, thread.random);
    }

    @Override
    public double in(String from) {
        return network.receiveDelaySeconds(number, from, thread.random);
    }

    @Override
    public void later(double seconds, Runnable task) {
        thread.schedule(seconds, task);
    }

    /** The part of a product file that would say the same. */
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

    /** Is told of each verdict of a member that another is unreachable. */
    interface UnreachableListener {
        void markedUnreachable(int observer, MemberView target);
    }
}
