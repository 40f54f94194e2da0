package junipercourse.fleet.membership;

/**
 * Identifies one incarnation of a member name. All state and messages of the fleet carry both, so
 * that information about a process is not mistaken for information about its successor.
 *
 * <p>An incarnation has a generation in the upper 32 bits and a random number in the lower 32. The
 * generation is the name's highest known one plus one. The random number distinguishes incarnations
 * that began without knowledge of an earlier one: a plain counter would repeat a number once all
 * members that knew the name are lost. Incarnations of a name are compared as numbers.
 *
 * @param name the member's name
 * @param incarnation its incarnation; 0 while it has none
 */
public record MemberId(String name, long incarnation) {
    private static final int RANDOM_BITS = 32;
    private static final long RANDOM_MASK = 0xffff_ffffL;

    /**
     * Returns an incarnation of the generation after the highest known one; its lower 32 bits are
     * those of {@code randomBits}.
     */
    static long nextIncarnation(long highestKnown, long randomBits) {
        return Math.addExact(highestKnown >>> RANDOM_BITS, 1) << RANDOM_BITS
                | randomBits & RANDOM_MASK;
    }

    /** Returns the number of known incarnations of the name up to and including this one. */
    public long generation() {
        return incarnation >>> RANDOM_BITS;
    }

    /** Returns a text for log lines, such as {@code n1 incarnation 4.0a1b2c3d}. */
    @Override
    public String toString() {
        return name
                + " incarnation "
                + generation()
                + "."
                + Long.toHexString(1L << RANDOM_BITS | incarnation & RANDOM_MASK).substring(1);
    }
}
