package junipercourse.scale;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import junipercourse.fleet.FleetConfig;
import junipercourse.fleet.membership.MembershipSnapshot;
import junipercourse.fleet.membership.MembershipSnapshot.MemberView;
import junipercourse.multiprocess.FleetObservation;
import junipercourse.product.InvalidProductFileException;
import junipercourse.product.ProductReader;

/**
 * A fleet of hollow members and a few real ones. The real ones have the first numbers; five zones
 * and two halves are runs of numbers, so that the real ones are in the first of each. The third
 * zone lies in both halves, since these are to be equal.
 */
final class ScaleFleet implements Closeable {
    private static final int ZONES = 5;

    /**
     * A verdict so soon after a heal or a start may rest on what was so before: 1.1 s and two
     * probes.
     */
    private static final double VERDICT_S = 2;

    final int size;
    final int realCount;
    final Network network;
    final EndpointWatchers listeners;
    final List<HollowThread> threads = new ArrayList<>();
    final List<HollowMember> hollow = new ArrayList<>();
    final List<RealMember> real = new CopyOnWriteArrayList<>();

    /** Those that somebody called unreachable who could reach them, since the last clear. */
    final Set<String> falselyUnreachable = ConcurrentHashMap.newKeySet();

    final AtomicLong falseVerdicts = new AtomicLong();
    private final Path folder;
    private final boolean packaged;
    private final BitSet running = new BitSet();

    /**
     * How many lives of each must have begun: nobody agrees before all that was asked for is so.
     */
    private final int[] lives;

    ScaleFleet(
            Path folder,
            int size,
            int realCount,
            int threadCount,
            boolean packaged,
            double delay,
            long seed)
            throws IOException {
        this.folder = folder;
        this.size = size;
        this.realCount = realCount;
        this.packaged = packaged;
        lives = new int[size];
        network = new Network(size, realCount, delay);
        listeners = new EndpointWatchers(size);
        Path file =
                Files.writeString(
                        folder.resolve("product.xml"), RealMember.product(0, zone(0), seeds()));
        FleetConfig pattern = pattern(file);
        if (size > pattern.membership().maxMembers()) {
            throw new IllegalArgumentException(
                    "a view keeps " + pattern.membership().maxMembers() + " members, not " + size);
        }
        for (int i = 0; i < threadCount; i++) {
            threads.add(new HollowThread(i, seed * 1000 + i));
        }
        for (int i = realCount; i < size; i++) {
            hollow.add(
                    new HollowMember(
                            i,
                            HollowMember.part(i, zone(i), seeds(), pattern),
                            threads.get(i % threadCount),
                            network,
                            this::said));
        }
    }

    /** Bounds and times of all, hollow or real, come from one product file. */
    private static FleetConfig pattern(Path file) {
        try {
            return ProductReader.read(file.toString()).fleet();
        } catch (InvalidProductFileException e) {
            throw new IllegalArgumentException("the tool's own product file", e);
        }
    }

    String zone(int member) {
        return "z" + (long) member * ZONES / size;
    }

    /** Members of the last zone, a fifth; no real one. */
    IntStream lastZone() {
        return IntStream.range(realCount, size).filter(i -> zone(i).equals("z" + (ZONES - 1)));
    }

    /** Two hollow ones of the first zone and one of the second half. */
    private List<String> seeds() {
        return IntStream.of(realCount, realCount + 1, size / 2 + 1)
                .mapToObj(Network::address)
                .toList();
    }

    int[] halves() {
        return IntStream.range(0, size).map(i -> i * 2 / size).toArray();
    }

    HollowMember hollow(int member) {
        return hollow.get(member - realCount);
    }

    /** Starts all, the real ones first, since these take longer to be there. */
    void startAll() throws IOException {
        for (int i = 0; i < realCount; i++) {
            real.add(new RealMember(i, folder, RealMember.product(i, zone(i), seeds()), packaged));
            running.set(i);
        }
        IntStream.range(realCount, size).forEach(this::start);
    }

    void start(int member) {
        lives[member]++;
        running.set(member);
        hollow(member).home.execute(hollow(member)::start);
        listeners.start(member);
    }

    void kill(int member) {
        running.clear(member);
        hollow(member).home.execute(hollow(member)::kill);
        listeners.stop(member);
    }

    /** It leaves and is there again half a second later. */
    void restart(int member) {
        lives[member]++;
        hollow(member).home.execute(hollow(member)::restart);
        listeners.stop(member);
        listeners.start(member);
    }

    /** The hollow ones that run. */
    IntStream runningHollow() {
        return running.stream().filter(i -> i >= realCount);
    }

    private void said(int by, MemberView seen) {
        int about = number(seen);
        double since = seen.statusSince() - VERDICT_S;
        if (about < realCount
                ? network.together(by, about, since)
                : stands(about, seen, since)
                        && network.together(by, about, since)
                        && hollow(by).startedAt() < since) {
            falseVerdicts.incrementAndGet();
            falselyUnreachable.add(seen.record().name());
        }
    }

    /** Whether that very life has run since before then. */
    private boolean stands(int member, MemberView seen, double since) {
        MembershipSnapshot own = hollow(member).snapshot();
        return own != null
                && hollow(member).startedAt() < since
                && own.self().incarnation() == seen.record().incarnation();
    }

    private static int number(MemberView seen) {
        return Integer.parseInt(seen.record().name().substring(1));
    }

    /**
     * Null if all hollow members that hear each other agree on who is there; else what is not so.
     */
    String disagreement() {
        int[] sides = network.sides(size);
        MembershipSnapshot[] newest = new MembershipSnapshot[size];
        MembershipSnapshot[] firsts = new MembershipSnapshot[2];
        for (int i : runningHollow().toArray()) {
            MembershipSnapshot s = hollow(i).snapshot();
            if (s == null || !s.converged() || hollow(i).lives() != lives[i]) {
                return "n" + i + (s == null || s.converged() ? " has no view" : " is not settled");
            }
            newest[i] = s;
            if (firsts[sides[i]] == null) {
                firsts[sides[i]] = s;
            } else if (firsts[sides[i]].digest() != s.digest()) {
                return "n" + i + " has another digest";
            }
        }
        BitSet[] there = new BitSet[] {new BitSet(), new BitSet()};
        running.stream().forEach(i -> there[sides[i]].set(i));
        for (int i : runningHollow().toArray()) {
            BitSet seen = new BitSet();
            for (MemberView each : newest[i].members()) {
                seen.set(number(each), each.record().isPresent());
            }
            if (!seen.equals(there[sides[i]])) {
                seen.xor(there[sides[i]]);
                return "n"
                        + i
                        + " is wrong of "
                        + seen.cardinality()
                        + ", n"
                        + seen.nextSetBit(0)
                        + " first";
            }
        }
        return null;
    }

    /**
     * Null if the real ones agree with the hollow ones and are seen by them as the lives that they
     * are.
     */
    String realDisagreement() {
        for (RealMember each : real) {
            FleetObservation look;
            try {
                look = each.look();
            } catch (IOException e) {
                return "n" + each.number + " does not answer: " + e;
            }
            MembershipSnapshot ours =
                    hollow(realCount).snapshot(); // of the first half, as all real ones
            if (ours == null) {
                return "n" + realCount + " has no view";
            }
            String digest = look.figures().get("view.digest");
            if (!look.settled()
                    || !Long.toHexString(ours.digest()).equals(digest)
                    || look.count("view.members") != ours.members().size()) {
                return "n"
                        + each.number
                        + " settled="
                        + look.settled()
                        + " digest="
                        + digest
                        + " members="
                        + look.count("view.members")
                        + ", the hollow ones "
                        + Long.toHexString(ours.digest())
                        + " "
                        + ours.members().size();
            }
            for (MemberView seen : ours.members()) {
                if (number(seen) == each.number && seen.record().incarnation() != look.self()) {
                    return "n" + each.number + " is seen in another life";
                }
            }
        }
        return null;
    }

    @Override
    public void close() throws IOException {
        real.forEach(RealMember::close);
        for (HollowThread thread : threads) {
            thread.close();
        }
        listeners.close();
        for (HollowMember member : hollow) {
            member.close();
        }
    }
}
