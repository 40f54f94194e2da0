package junipercourse.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Two processes that share one limit; what one claims, the other may learn late. */
class SharedDescriptorBudgetTest {
    private static final int LIMIT = 100;
    private static final int OWN = 10;

    /** One process: what it told last, and the claim that its loop has not taken on yet. */
    private static final class Side {
        final DescriptorBudget descriptors = new DescriptorBudget(LIMIT, OWN);
        final DescriptorBudget.Share share = descriptors.allocateShare("all", 80, 5);
        int told = OWN;
        int held = OWN;
    }

    /** What the system has accepted is counted, also past the bound, and can be given back. */
    @Example
    void whatIsAcceptedPastTheBoundIsCounted() {
        Side s = new Side();
        s.descriptors.applyClaim(OWN, true);
        assertFalse(s.share.tryAcquire(), "nothing is left to open");
        s.share.acquireUnconditionally();
        assertEquals(OWN + 1, s.descriptors.used());
        s.share.markClosing();
        s.share.markClosed();
        assertEquals(OWN, s.descriptors.used());
    }

    /**
     * A step is one process's claim, its loop's taking that on, an attempt to open as many as it
     * may, or the close of one. Whatever the order, both together never hold more than the limit.
     */
    @Property(seed = "20261202", tries = 2000)
    void bothTogetherStayBelowTheLimit(
            @ForAll @IntRange(min = 0, max = 70) int before,
            @ForAll @Size(min = 5, max = 80) List<@IntRange(min = 0, max = 7) Integer> steps) {
        Side[] sides = {new Side(), new Side()};
        sides[0].held = sides[0].told = LIMIT; // it was alone
        for (int i = 0; i < before; i++) {
            sides[0].share.tryAcquire();
        }
        sides[1].descriptors.applyClaim(sides[1].told, true);
        for (int step : steps) {
            Side s = sides[step % 2];
            switch (step / 2) {
                case 0 -> s.told = DescriptorBudget.claim(s.held, sides[1 - step % 2].told, LIMIT);
                case 1 -> {
                    s.descriptors.applyClaim(s.told, true);
                    s.held = s.descriptors.allowed();
                }
                case 2 -> {
                    while (s.share.tryAcquire()) {
                        continue;
                    }
                }
                default -> {
                    if (s.share.openCount() > 0) {
                        s.share.markClosing();
                        s.share.markClosed();
                    }
                }
            }
            int sum = sides[0].descriptors.used() + sides[1].descriptors.used();
            assertTrue(sum <= LIMIT, () -> sum + " after " + steps + " with " + before + " before");
        }
    }
}
