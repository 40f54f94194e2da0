package junipercourse.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * A cold engine with more dispatchers than run today. {@link ModuleAtSize} measures what this test
 * asserts.
 */
class ModuleAtSizeTest {
    private static final long SEED = 34_000;

    @Test
    void usesAColdEngineWithinItsLimitWith180Dispatchers() {
        int engineCount = ModuleAtSize.engineCount(180);
        EngineReplacementSimulation.ReplacementResult result =
                new EngineReplacementSimulation(
                                SlowStartSite.MAIN, 0.02, 180, engineCount, 0.7, SEED)
                        .evaluate();
        String description = "seed " + SEED + ": " + result;
        double slowStartSeconds = SlowStartSite.MAIN.guarantees().slowStartSeconds();
        assertEquals(
                0,
                result.ramp().overloadedWindows(),
                "windows over N + 2 sqrt(N) + 2, " + description);
        assertTrue(
                result.firstQueryAgeSeconds() < slowStartSeconds,
                "no query during slow start, " + description);
        assertTrue(
                result.ramp().usedCapacityShare() > 0.05,
                "unused during slow start, " + description);
        assertTrue(
                result.fullShareAgeSeconds() < slowStartSeconds + 3,
                "full share reached too late, " + description);
    }
}
