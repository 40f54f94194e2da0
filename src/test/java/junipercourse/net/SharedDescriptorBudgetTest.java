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

/** Two processes that share one limit; either may learn of the claim of the other late. */
class SharedDescriptorBudgetTest {
    private static final int LIMIT = 100;
    private static final int RESERVED = 10;

    /** One process: the claim it published last, and the claim that its budget has applied. */
    private static final class SharingProcess {
        final DescriptorBudget budget = new DescriptorBudget(LIMIT, RESERVED);
        final DescriptorBudget.Share share = budget.allocateShare("all", 80, 5);
        int publishedClaim = RESERVED;
        int appliedClaim = RESERVED;
    }

    /**
     * Connections that the system has accepted are counted, also beyond the limit, and can be
     * released.
     */
    @Example
    void connectionsAcceptedBeyondTheBudgetAreCounted() {
        SharingProcess process = new SharingProcess();
        process.budget.applyClaim(RESERVED, true);
        assertFalse(process.share.tryAcquire(), "no descriptor is available");
        process.share.acquireUnconditionally();
        assertEquals(RESERVED + 1, process.budget.used());
        process.share.markClosing();
        process.share.markClosed();
        assertEquals(RESERVED, process.budget.used());
    }

    /**
     * A step is a claim of one process, its applying the claim, its opening as many as it may, or
     * the close of one. In any order, both together never use more than the limit.
     */
    @Property(seed = "20261202", tries = 2000)
    void twoProcessesTogetherStayWithinTheLimit(
            @ForAll @IntRange(min = 0, max = 70) int openBefore,
            @ForAll @Size(min = 5, max = 80) List<@IntRange(min = 0, max = 7) Integer> steps) {
        SharingProcess[] processes = {new SharingProcess(), new SharingProcess()};
        processes[0].appliedClaim = processes[0].publishedClaim = LIMIT; // no sibling before
        for (int i = 0; i < openBefore; i++) {
            processes[0].share.tryAcquire();
        }
        processes[1].budget.applyClaim(processes[1].publishedClaim, true);
        for (int step : steps) {
            SharingProcess process = processes[step % 2];
            switch (step / 2) {
                case 0 ->
                        process.publishedClaim =
                                DescriptorBudget.claim(
                                        process.appliedClaim,
                                        processes[1 - step % 2].publishedClaim,
                                        LIMIT);
                case 1 -> {
                    process.budget.applyClaim(process.publishedClaim, true);
                    process.appliedClaim = process.budget.allowed();
                }
                case 2 -> {
                    while (process.share.tryAcquire()) {
                        continue;
                    }
                }
                default -> {
                    if (process.share.openCount() > 0) {
                        process.share.markClosing();
                        process.share.markClosed();
                    }
                }
            }
            int sum = processes[0].budget.used() + processes[1].budget.used();
            assertTrue(
                    sum <= LIMIT,
                    () -> sum + " after " + steps + " with " + openBefore + " before");
        }
    }
}
