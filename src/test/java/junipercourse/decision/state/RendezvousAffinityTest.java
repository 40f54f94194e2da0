package junipercourse.decision.state;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import junipercourse.decision.api.EngineId;
import org.junit.jupiter.api.Test;

class RendezvousAffinityTest {
    @Test
    void prefersTheSameEnginesAtEveryDispatcher() {
        List<List<Long>> preferredIds = new ArrayList<>();
        for (int seed = 1; seed <= 2; seed++) {
            RendezvousAffinity affinity = new RendezvousAffinity();
            List<EngineState> tier = new ArrayList<>();
            for (long id = 1; id <= 60; id++) {
                tier.add(new EngineState(new EngineId(id)));
            }
            Collections.shuffle(tier, new Random(seed));
            preferredIds.add(
                    affinity.preferredEngines(7f, tier, 4, tier.subList(0, 0), 1).stream()
                            .map(engine -> engine.id().value())
                            .toList());
        }
        assertEquals(4, preferredIds.get(0).size());
        assertEquals(preferredIds.get(0), preferredIds.get(1));
    }
}
