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
    void promisesNoMoreThanTheLimit() {
        DescriptorBudget all = new DescriptorBudget(100, 20);
        all.allocateShare("a", 40, 8);
        assertEquals(32, all.unallocated());
        assertThrows(IllegalArgumentException.class, () -> all.allocateShare("b", 32, 1));
        all.allocateShare("b", 32, 0);
        assertThrows(IllegalArgumentException.class, () -> new DescriptorBudget(20, 20));
    }

    @Test
    void givesBackOnlyWhatWasTaken() {
        DescriptorBudget.Share s = new DescriptorBudget(100, 20).allocateShare("a", 1, 0);
        assertThrows(IllegalStateException.class, s::markClosing);
        assertTrue(s.tryAcquire());
        assertFalse(s.tryAcquire());
        assertEquals(1, s.refusedCount());
        s.markClosing();
        assertFalse(s.tryAcquire(), "it is not gone yet");
        s.markClosed();
        assertTrue(s.tryAcquire());
        assertThrows(IllegalStateException.class, s::markClosed);
    }

    /** Open and closing ones together never pass the bound and its slack. */
    @Property(seed = "14", tries = 500)
    void neverMoreThanPromised(@ForAll @LongRange(max = 1 << 30) long seed) {
        Random random = new Random(seed);
        DescriptorBudget.Share s = new DescriptorBudget(100, 20).allocateShare("a", 10, 3);
        for (int i = 0; i < 300; i++) {
            switch (random.nextInt(4)) {
                case 0, 1 -> s.tryAcquire();
                case 2 -> {
                    if (s.openCount() > 0) {
                        s.markClosing();
                    }
                }
                default -> {
                    if (s.closingCount() > 0) {
                        s.markClosed();
                    }
                }
            }
            assertTrue(s.openCount() + s.closingCount() <= 13, "seed " + seed);
            assertTrue(s.peak() <= 13);
        }
    }
}
