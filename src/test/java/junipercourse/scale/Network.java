package junipercourse.scale;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import junipercourse.net.Clock;

/**
 * The network between the members, of which hollow ones hold both ends and real ones none: cuts,
 * loss and delay are put where a hollow member sends, and where it hears a real one. Between two
 * real ones there is no fault, so they all are in one region. Each datagram's fate is drawn by its
 * thread's seeded generator.
 */
final class Network {
    private static final int PORT = 7101;
    private static final int MEMBERS_PER_SUBNET = 250;

    private final Map<String, Integer> memberNumbers = new HashMap<>();
    private final int realCount;
    private volatile Faults faults;

    /** All that is wrong, from a time on. Members hear each other if their sides are equal. */
    private record Faults(
            int[] sides, double lossProbability, double maxDelaySeconds, double sinceSeconds) {
        boolean isEmpty() {
            return sides == null && lossProbability == 0 && maxDelaySeconds == 0;
        }

        boolean areSeparated(int one, int other) {
            return sides != null && sides[one] != sides[other];
        }
    }

    Network(int size, int realCount, double maxDelaySeconds) {
        this.realCount = realCount;
        for (int i = 0; i < size; i++) {
            memberNumbers.put(address(i), i);
        }
        faults = new Faults(null, 0, maxDelaySeconds, nowSeconds());
    }

    /**
     * An address of its own for each, so that rates for each address hold as they do in service.
     */
    static String address(int member) {
        return "127.77."
                + member / MEMBERS_PER_SUBNET
                + "."
                + (1 + member % MEMBERS_PER_SUBNET)
                + ":"
                + PORT;
    }

    static double nowSeconds() {
        return Clock.SYSTEM.monotonicSeconds();
    }

    /** From now on, members of different sides do not hear each other. */
    void partition(int[] sides) {
        faults =
                new Faults(
                        sides.clone(),
                        faults.lossProbability,
                        faults.maxDelaySeconds,
                        nowSeconds());
    }

    void heal() {
        faults = new Faults(null, faults.lossProbability, faults.maxDelaySeconds, nowSeconds());
    }

    /** From now on each datagram is lost with this probability. */
    void setLossProbability(double probability) {
        faults = new Faults(faults.sides, probability, faults.maxDelaySeconds, nowSeconds());
    }

    /** The side of each member; the same for all while there is no cut. */
    int[] sides(int size) {
        int[] sides = faults.sides;
        return sides == null ? new int[size] : Arrays.copyOf(sides, size);
    }

    /** Whether these have heard each other since before that time. */
    boolean couldCommunicateSince(int one, int other, double since) {
        Faults current = faults;
        return !current.areSeparated(one, other)
                && (current.sides != null
                        || current.sinceSeconds < since
                        || current.lossProbability > 0);
    }

    /** Seconds that a datagram to an address is held back; below 0 if it is lost. */
    double sendDelaySeconds(int sender, String address, SplittableRandom random) {
        Faults current = faults;
        if (current.isEmpty()) {
            return 0;
        }
        Integer number = memberNumbers.get(address);
        if (number != null && current.areSeparated(sender, number)
                || current.lossProbability > 0 && random.nextDouble() < current.lossProbability) {
            return -1;
        }
        return current.maxDelaySeconds * random.nextDouble();
    }

    /** The same for one that came: only real ones' have not met their fate yet. */
    double receiveDelaySeconds(int receiver, String address, SplittableRandom random) {
        if (faults.isEmpty()) {
            return 0;
        }
        Integer number = memberNumbers.get(address);
        return number != null && number < realCount
                ? sendDelaySeconds(receiver, address, random)
                : 0;
    }
}
