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
    private static final double RESTART_S = 0.5;

    /** As long as {@code FleetService} goes on to say it. */
    private static final double LEAVE_S = 0.15;

    final int number;
    final FleetConfig part;
    final HollowThread home;
    final TransportCounters tally = new TransportCounters();
    private final Network network;
    private final UnreachableListener verdicts;
    private MembershipProtocol view;
    private HollowTransport link;
    private volatile MembershipSnapshot snapshot;
    private volatile int lives;
    private volatile double startedAt = Double.POSITIVE_INFINITY;

    HollowMember(
            int number,
            FleetConfig part,
            HollowThread home,
            Network network,
            UnreachableListener verdicts) {
        this.number = number;
        this.part = part;
        this.home = home;
        this.network = network;
        this.verdicts = verdicts;
    }

    static String name(int number) {
        return "n" + number;
    }

    /** The newest snapshot of the life that runs, or null. */
    MembershipSnapshot snapshot() {
        return snapshot;
    }

    /** How many lives have begun. */
    int lives() {
        return lives;
    }

    /** When the life began that runs; infinity if none does. */
    double startedAt() {
        return startedAt;
    }

    /** Begins a life; called on the thread, as is all that follows. */
    void start() {
        try {
            link = new HollowTransport(part.name(), part.listen(), part.rateLimits(), tally, this);
            link.channel().register(home.selector, SelectionKey.OP_READ, this);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        view =
                new MembershipProtocol(
                        part.membership(),
                        name(number),
                        part.advertisedAddress(),
                        part.zone(),
                        part.seeds(),
                        home.random.nextLong(),
                        this);
        startedAt = Network.now();
        snapshot = null;
        lives++; // on this thread alone
        home.add(this);
        view.start(Network.now());
    }

    /** The process is gone, with all that it knew. */
    void kill() {
        if (view == null) {
            return;
        }
        view = null;
        snapshot = null;
        startedAt = Double.POSITIVE_INFINITY;
        home.remove(this);
        try {
            link.close();
            home.selector.selectNow(); // only then the system has the address back
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Says that this life is over, ends it, and begins the next as soon as a process could. */
    void restart() {
        if (view != null) {
            view.leave(Network.now());
            startedAt = Double.POSITIVE_INFINITY;
            snapshot = null;
            home.later(LEAVE_S, this::kill);
        }
        home.later(LEAVE_S + RESTART_S, this::start);
    }

    /** Gives the address back once the thread has ended. */
    void close() throws IOException {
        if (link != null) {
            link.close();
        }
    }

    void stalled(double now, double seconds) {
        view.stalled(now, seconds);
    }

    void receive() throws IOException {
        link.receive(
                (from, word) -> {
                    if (view != null) {
                        view.messageReceived(Network.now(), from, word);
                    }
                });
    }

    /** Carries out what is due, and tells when the next is. */
    double tick(double now) {
        if (now >= view.nextTickAt()) {
            view.tick(now);
        }
        return view.nextTickAt();
    }

    @Override
    public void send(String address, GossipMessage word) {
        link.send(address, word);
    }

    @Override
    public void membershipChanged(MembershipSnapshot next) {
        if (startedAt == Double.POSITIVE_INFINITY) {
            return; // leaves
        }
        MembershipSnapshot before = snapshot;
        double from = before == null ? startedAt : before.takenAt();
        snapshot = next;
        List<MemberView> members = next.members();
        for (int i = 0; i < members.size(); i++) {
            MemberView seen = members.get(i);
            if (seen.record().status() == MemberStatus.UNREACHABLE && seen.statusSince() >= from) {
                verdicts.said(number, seen);
            }
        }
    }

    @Override
    public void log(String line) {
        // the log is no part of what is measured
    }

    @Override
    public double out(String to) {
        return network.fate(number, to, home.random);
    }

    @Override
    public double in(String from) {
        return network.fateOfHeard(number, from, home.random);
    }

    @Override
    public void later(double seconds, Runnable task) {
        home.later(seconds, task);
    }

    /** The part of a product file that would say the same. */
    static FleetConfig part(int number, String zone, List<String> seeds, FleetConfig pattern) {
        return new FleetConfig(
                pattern.name(),
                Config.parseAddress("listen", Network.address(number)),
                Network.address(number),
                zone,
                seeds,
                pattern.rateLimits(),
                pattern.membership());
    }

    /** Is told of each verdict of a member that another is unreachable. */
    interface UnreachableListener {
        void said(int by, MemberView seen);
    }
}
