package junipercourse.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

class DescriptorBudgetTest {
    @Test
    void rejectsSharesBeyondTheLimit() {
        DescriptorBudget budget = new DescriptorBudget(100, 20);
        budget.allocateShare("a", 40, 8);
        assertEquals(32, budget.unallocated());
        assertThrows(IllegalArgumentException.class, () -> budget.allocateShare("b", 32, 1));
        budget.allocateShare("b", 32, 0);
        assertThrows(IllegalArgumentException.class, () -> new DescriptorBudget(20, 20));
    }

    @Test
    void rejectsClosingMoreThanWasAcquired() {
        DescriptorBudget.Share share = new DescriptorBudget(100, 20).allocateShare("a", 1, 0);
        assertThrows(IllegalStateException.class, share::markClosing);
        assertTrue(share.tryAcquire());
        assertFalse(share.tryAcquire());
        assertEquals(1, share.refusedCount());
        share.markClosing();
        assertFalse(share.tryAcquire(), "the closing descriptor is not released yet");
        share.markClosed();
        assertTrue(share.tryAcquire());
        assertThrows(IllegalStateException.class, share::markClosed);
    }

    /** Open and closing descriptors together never exceed the limit of the share and its slack. */
    @Property(seed = "14", tries = 500)
    void openAndClosingNeverExceedMaxOpenPlusSlack(@ForAll @LongRange(max = 1 << 30) long seed) {
        Random random = new Random(seed);
        DescriptorBudget.Share share = new DescriptorBudget(100, 20).allocateShare("a", 10, 3);
        for (int i = 0; i < 300; i++) {
            switch (random.nextInt(4)) {
                case 0, 1 -> share.tryAcquire();
                case 2 -> {
                    if (share.openCount() > 0) {
                        share.markClosing();
                    }
                }
                default -> {
                    if (share.closingCount() > 0) {
                        share.markClosed();
                    }
                }
            }
            assertTrue(share.openCount() + share.closingCount() <= 13, "seed " + seed);
            assertTrue(share.peak() <= 13);
        }
    }
}
