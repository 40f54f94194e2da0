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
    private static final int IN_A_NET = 250;

    private final Map<String, Integer> numbers = new HashMap<>();
    private final int realCount;
    private volatile Faults faults;

    /** All that is wrong, from a time on. Members hear each other if their sides are equal. */
    private record Faults(int[] sides, double loss, double delay, double since) {
        boolean none() {
            return sides == null && loss == 0 && delay == 0;
        }

        boolean apart(int one, int other) {
            return sides != null && sides[one] != sides[other];
        }
    }

    Network(int size, int realCount, double delay) {
        this.realCount = realCount;
        for (int i = 0; i < size; i++) {
            numbers.put(address(i), i);
        }
        faults = new Faults(null, 0, delay, now());
    }

    /**
     * An address of its own for each, so that rates for each address hold as they do in service.
     */
    static String address(int member) {
        return "127.77." + member / IN_A_NET + "." + (1 + member % IN_A_NET) + ":" + PORT;
    }

    static double now() {
        return Clock.SYSTEM.monotonicSeconds();
    }

    /** From now on, members of different sides do not hear each other. */
    void cut(int[] sides) {
        faults = new Faults(sides.clone(), faults.loss, faults.delay, now());
    }

    void heal() {
        faults = new Faults(null, faults.loss, faults.delay, now());
    }

    /** From now on each datagram is lost with this probability. */
    void lose(double share) {
        faults = new Faults(faults.sides, share, faults.delay, now());
    }

    /** The side of each member; the same for all while there is no cut. */
    int[] sides(int size) {
        int[] sides = faults.sides;
        return sides == null ? new int[size] : Arrays.copyOf(sides, size);
    }

    /** Whether these have heard each other since before that time. */
    boolean together(int one, int other, double since) {
        Faults f = faults;
        return !f.apart(one, other) && (f.sides != null || f.since < since || f.loss > 0);
    }

    /** Seconds that a datagram to an address is held back; below 0 if it is lost. */
    double fate(int from, String to, SplittableRandom random) {
        Faults f = faults;
        if (f.none()) {
            return 0;
        }
        Integer number = numbers.get(to);
        if (number != null && f.apart(from, number) || f.loss > 0 && random.nextDouble() < f.loss) {
            return -1;
        }
        return f.delay * random.nextDouble();
    }

    /** The same for one that came: only real ones' have not met their fate yet. */
    double fateOfHeard(int by, String from, SplittableRandom random) {
        if (faults.none()) {
            return 0;
        }
        Integer number = numbers.get(from);
        return number != null && number < realCount ? fate(by, from, random) : 0;
    }
}
