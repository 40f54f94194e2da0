package junipercourse.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * A cold engine before more dispatchers than run today; {@link ModuleAtSize} measures what this
 * holds.
 */
class ModuleAtSizeTest {
    private static final long SEED = 34_000;

    @Test
    void queriesOfASecondBefore180Dispatchers() {
        int engines = ModuleAtSize.engines(180);
        EngineReplacementSimulation.Joined d =
                new EngineReplacementSimulation(SlowStartSite.MAIN, 0.02, 180, engines, 0.7, SEED)
                        .joined();
        String what = "seed " + SEED + ": " + d;
        double warm = SlowStartSite.MAIN.rules().slowStartSeconds();
        assertEquals(0, d.cold().over(), "windows over N + 2 root N + 2, " + what);
        assertTrue(d.firstAge() < warm, "no work while cold, " + what);
        assertTrue(d.cold().used() > 0.05, "left idle while cold, " + what);
        assertTrue(d.shareAge() < warm + 3, "its share once warm, " + what);
    }
}
