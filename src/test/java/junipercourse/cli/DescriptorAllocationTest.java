package junipercourse.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks the division of descriptors at each limit that a configuration may set. */
class DescriptorAllocationTest {
    private static final int RESERVED = 28;
    private static final int MIN_LIMIT = 64;
    private static final int MAX_LIMIT = 1024;

    @ParameterizedTest
    @CsvSource({
        "64,11,3,22",
        "72,15,4,25",
        "80,19,6,27",
        "96,26,8,34",
        "128,42,8,50",
        "384,170,8,178",
        "1024,490,8,498"
    })
    void limitIsSplitIntoExpectedShares(int limit, int engines, int closing, int clients) {
        assertEquals(
                new DescriptorAllocation(engines, closing, clients),
                DescriptorAllocation.allocate(limit, limit - RESERVED));
    }

    /** Every descriptor is allocated, clients get their third, and engines keep a quarter. */
    @Test
    void clientShareExceedsAThirdAtEveryLimit() {
        for (int limit = MIN_LIMIT; limit <= MAX_LIMIT; limit++) {
            int available = limit - RESERVED;
            DescriptorAllocation allocation = DescriptorAllocation.allocate(limit, available);
            assertEquals(
                    available,
                    allocation.engines() + allocation.closing() + allocation.clients(),
                    "limit " + limit);
            assertTrue(allocation.clients() > limit / 3, "limit " + limit + ": " + allocation);
            assertTrue(
                    allocation.engines() + allocation.closing() >= available / 4,
                    "limit " + limit + ": " + allocation);
        }
    }

    /** With a second address, engines keep some descriptors even where a third does not fit. */
    @ParameterizedTest
    @ValueSource(ints = {64, 72, 80, 96, 128, 192, 256, 1024})
    void enginesKeepDescriptorsWithAdminAddress(int limit) {
        int available = limit - RESERVED - 10 - Math.min(24, limit / 16);
        DescriptorAllocation allocation = DescriptorAllocation.allocate(limit, available);
        assertEquals(available, allocation.engines() + allocation.closing() + allocation.clients());
        assertTrue(
                allocation.clients() > limit / 3
                        || allocation.clients() == available - available / 4,
                allocation.toString());
        assertTrue(allocation.engines() >= 4, allocation.toString());
    }
}
