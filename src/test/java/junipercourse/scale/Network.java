package junipercourse.scale;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import junipercourse.net.Clock;

/**
 * Simulates network faults between the members. Partitions, loss and delay are applied where a
 * hollow member sends, and where it receives from a real member, since real members apply none
 * themselves. Traffic between two real members has no faults, so they must all be on one side of a
 * partition. Each thread's seeded generator decides the loss and delay of its datagrams.
 */
final class Network {
    private static final int PORT = 7101;
    private static final int MEMBERS_PER_SUBNET = 250;

    private final Map<String, Integer> memberNumbers = new HashMap<>();
    private final int realCount;
    private volatile Faults faults;

    /** The faults in effect since a time. Members can communicate if their sides are equal. */
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

    /** Each member has its own address, so that per-address rate limits apply as in production. */
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

    /** From now on, members on different sides cannot communicate. */
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

    /** From now on, each datagram is lost with this probability. */
    void setLossProbability(double probability) {
        faults = new Faults(faults.sides, probability, faults.maxDelaySeconds, nowSeconds());
    }

    /** The side of each member; the same for all without a partition. */
    int[] sides(int size) {
        int[] sides = faults.sides;
        return sides == null ? new int[size] : Arrays.copyOf(sides, size);
    }

    /** Whether these members have been able to communicate since before that time. */
    boolean couldCommunicateSince(int one, int other, double since) {
        Faults current = faults;
        return !current.areSeparated(one, other)
                && (current.sides != null
                        || current.sinceSeconds < since
                        || current.lossProbability > 0);
    }

    /** Delay of a datagram to an address; negative if it is lost. */
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

    /**
     * Delay of a received datagram; negative if it is lost. Only for datagrams from real members;
     * hollow members apply faults when they send.
     */
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
