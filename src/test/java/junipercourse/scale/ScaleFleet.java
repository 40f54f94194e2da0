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
 * A fleet of hollow members and a few real ones. The real members have the lowest numbers. Five
 * zones and two halves are ranges of numbers, so the real members are in the first of each. The
 * third zone spans both halves, since the halves have equal size.
 */
final class ScaleFleet implements Closeable {
    private static final int ZONE_COUNT = 5;

    /**
     * For this long after a heal or a start, a verdict may still result from the state before: 1.1
     * s and two probes.
     */
    private static final double VERDICT_SETTLE_SECONDS = 2;

    final int size;
    final int realCount;
    final Network network;
    final EndpointWatchers endpointWatchers;
    final List<HollowThread> threads = new ArrayList<>();
    final List<HollowMember> hollow = new ArrayList<>();
    final List<RealMember> realMembers = new CopyOnWriteArrayList<>();

    /**
     * Members that were marked unreachable by a member that could reach them, since the last clear.
     */
    final Set<String> falselyUnreachable = ConcurrentHashMap.newKeySet();

    final AtomicLong falseVerdicts = new AtomicLong();
    private final Path folder;
    private final boolean packaged;
    private final BitSet running = new BitSet();

    /**
     * How many incarnations of each member must have started before the fleet can count as agreed.
     */
    private final int[] startCounts;

    ScaleFleet(
            Path folder,
            int size,
            int realCount,
            int threadCount,
            boolean packaged,
            double maxDelaySeconds,
            long seed)
            throws IOException {
        this.folder = folder;
        this.size = size;
        this.realCount = realCount;
        this.packaged = packaged;
        startCounts = new int[size];
        network = new Network(size, realCount, maxDelaySeconds);
        endpointWatchers = new EndpointWatchers(size);
        Path productFile =
                Files.writeString(
                        folder.resolve("product.xml"), RealMember.product(0, zone(0), seeds()));
        FleetConfig template = readTemplate(productFile);
        if (size > template.membership().maxMembers()) {
            throw new IllegalArgumentException(
                    "a view keeps " + template.membership().maxMembers() + " members, not " + size);
        }
        for (int i = 0; i < threadCount; i++) {
            threads.add(new HollowThread(i, seed * 1000 + i));
        }
        for (int i = realCount; i < size; i++) {
            hollow.add(
                    new HollowMember(
                            i,
                            HollowMember.createConfig(i, zone(i), seeds(), template),
                            threads.get(i % threadCount),
                            network,
                            this::recordUnreachable));
        }
    }

    /**
     * Reads the product file from which the limits and times of all members, hollow or real, come.
     */
    private static FleetConfig readTemplate(Path file) {
        try {
            return ProductReader.read(file.toString()).fleet();
        } catch (InvalidProductFileException e) {
            throw new IllegalArgumentException("cannot read the generated product file", e);
        }
    }

    String zone(int member) {
        return "z" + (long) member * ZONE_COUNT / size;
    }

    /** Hollow members of the last zone, a fifth of the fleet. */
    IntStream lastZone() {
        return IntStream.range(realCount, size).filter(i -> zone(i).equals("z" + (ZONE_COUNT - 1)));
    }

    /** Two hollow members of the first zone and one of the second half. */
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

    /** Starts all members, the real ones first, since they take longer to start. */
    void startAll() throws IOException {
        for (int i = 0; i < realCount; i++) {
            realMembers.add(
                    new RealMember(i, folder, RealMember.product(i, zone(i), seeds()), packaged));
            running.set(i);
        }
        IntStream.range(realCount, size).forEach(this::start);
    }

    void start(int member) {
        startCounts[member]++;
        running.set(member);
        hollow(member).thread.execute(hollow(member)::start);
        endpointWatchers.start(member);
    }

    void kill(int member) {
        running.clear(member);
        hollow(member).thread.execute(hollow(member)::kill);
        endpointWatchers.stop(member);
    }

    /** Makes a member leave and start again half a second later. */
    void restart(int member) {
        startCounts[member]++;
        hollow(member).thread.execute(hollow(member)::restart);
        endpointWatchers.stop(member);
        endpointWatchers.start(member);
    }

    /** The running hollow members. */
    IntStream runningHollow() {
        return running.stream().filter(i -> i >= realCount);
    }

    private void recordUnreachable(int observer, MemberView view) {
        int target = numberOf(view);
        double sinceSeconds = view.statusSince() - VERDICT_SETTLE_SECONDS;
        if (target < realCount
                ? network.couldCommunicateSince(observer, target, sinceSeconds)
                : hasRunSince(target, view, sinceSeconds)
                        && network.couldCommunicateSince(observer, target, sinceSeconds)
                        && hollow(observer).startedAt() < sinceSeconds) {
            falseVerdicts.incrementAndGet();
            falselyUnreachable.add(view.record().name());
        }
    }

    /** Whether the incarnation in the view has run since before that time. */
    private boolean hasRunSince(int member, MemberView view, double sinceSeconds) {
        MembershipSnapshot snapshot = hollow(member).snapshot();
        return snapshot != null
                && hollow(member).startedAt() < sinceSeconds
                && snapshot.self().incarnation() == view.record().incarnation();
    }

    private static int numberOf(MemberView member) {
        return Integer.parseInt(member.record().name().substring(1));
    }

    /**
     * Returns null if all hollow members that can communicate agree on who is present; otherwise a
     * description of the first disagreement.
     */
    String findDisagreement() {
        int[] sides = network.sides(size);
        MembershipSnapshot[] snapshots = new MembershipSnapshot[size];
        MembershipSnapshot[] firstOfSide = new MembershipSnapshot[2];
        for (int i : runningHollow().toArray()) {
            MembershipSnapshot snapshot = hollow(i).snapshot();
            if (snapshot == null
                    || !snapshot.converged()
                    || hollow(i).startCount() != startCounts[i]) {
                return "n"
                        + i
                        + (snapshot == null || snapshot.converged()
                                ? " has no view"
                                : " is not settled");
            }
            snapshots[i] = snapshot;
            if (firstOfSide[sides[i]] == null) {
                firstOfSide[sides[i]] = snapshot;
            } else if (firstOfSide[sides[i]].digest() != snapshot.digest()) {
                return "n" + i + " has another digest";
            }
        }
        BitSet[] expected = new BitSet[] {new BitSet(), new BitSet()};
        running.stream().forEach(i -> expected[sides[i]].set(i));
        for (int i : runningHollow().toArray()) {
            BitSet present = new BitSet();
            for (MemberView view : snapshots[i].members()) {
                present.set(numberOf(view), view.record().isPresent());
            }
            if (!present.equals(expected[sides[i]])) {
                present.xor(expected[sides[i]]);
                return "n"
                        + i
                        + " is wrong of "
                        + present.cardinality()
                        + ", n"
                        + present.nextSetBit(0)
                        + " first";
            }
        }
        return null;
    }

    /**
     * Returns null if the real members agree with the hollow ones and these know their current
     * incarnations; otherwise a description of the first disagreement.
     */
    String findRealDisagreement() {
        for (RealMember member : realMembers) {
            FleetObservation observation;
            try {
                observation = member.observe();
            } catch (IOException e) {
                return "n" + member.number + " does not answer: " + e;
            }
            MembershipSnapshot hollowSnapshot =
                    hollow(realCount).snapshot(); // in the first half, as are all real members
            if (hollowSnapshot == null) {
                return "n" + realCount + " has no view";
            }
            String digest = observation.valuesByName().get("view.digest");
            if (!observation.isConverged()
                    || !Long.toHexString(hollowSnapshot.digest()).equals(digest)
                    || observation.count("view.members") != hollowSnapshot.members().size()) {
                return "n"
                        + member.number
                        + " settled="
                        + observation.isConverged()
                        + " digest="
                        + digest
                        + " members="
                        + observation.count("view.members")
                        + ", the hollow ones "
                        + Long.toHexString(hollowSnapshot.digest())
                        + " "
                        + hollowSnapshot.members().size();
            }
            for (MemberView view : hollowSnapshot.members()) {
                if (numberOf(view) == member.number
                        && view.record().incarnation() != observation.self()) {
                    return "n" + member.number + " is seen in another life";
                }
            }
        }
        return null;
    }

    @Override
    public void close() throws IOException {
        realMembers.forEach(RealMember::close);
        for (HollowThread thread : threads) {
            thread.close();
        }
        endpointWatchers.close();
        for (HollowMember member : hollow) {
            member.close();
        }
    }
}
