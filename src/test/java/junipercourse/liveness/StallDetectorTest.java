package junipercourse.liveness;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class StallDetectorTest {
    private static final double BEAT = 0.02;
    private static final double STALL = 0.1;

    private static StallDetector at(double now) {
        return new StallDetector(BEAT, STALL, 0.25, now, 1000 + now);
    }

    /** Gap between two turns; the stall that it is, 0 for none; what of it counts as attended. */
    @ParameterizedTest
    @CsvSource({
        "0, 0, 0",
        "0.02, 0, 0.02",
        "0.11, 0, 0.11",
        "0.13, 0.13, 0.12",
        "0.2, 0.2, 0.12",
        "10, 10, 0.12",
        "3600, 3600, 0.12",
        "-5, 0, 0"
    })
    void aGapLongerThanABeatIsAStallAndIsNotAttended(double gap, double stall, double attended) {
        StallDetector a = at(50);
        StallDetector.Stall found = a.recordIteration(50 + gap);
        assertEquals(stall, found == null ? 0 : found.durationSeconds(), 1e-9);
        assertEquals(attended, a.responsiveSeconds(), 1e-9);
        if (found != null) {
            assertEquals(50, found.startTime());
        }
    }

    /** How the wall clock moves against the monotonic one, and the step that is told. */
    @ParameterizedTest
    @CsvSource({"0.1, 0", "-0.1, 0", "0.3, 0.3", "-0.3, -0.3", "3600, 3600", "-86400, -86400"})
    void aStepOfTheWallClockIsToldOnceAndIsNoStall(double moved, double told) {
        StallDetector a = at(50);
        assertNull(a.recordIteration(50.01));
        assertEquals(told, a.detectClockStep(50.01, 1050.01 + moved), 1e-9);
        assertEquals(0, a.detectClockStep(50.02, 1050.02 + moved), 1e-9);
        assertEquals(
                50.02, a.toLoopTime(1050.02 + told), 1e-9, "what others tell follows the clock");
    }

    @Test
    void theStartIsNoStall() {
        StallDetector a = at(50);
        a.restartMeasurement(53);
        assertNull(a.recordIteration(53.01));
    }

    /**
     * Attended time and stalls together are the time that passed, less than the allowance of each
     * gap.
     */
    @Property(seed = "11", tries = 500)
    void attendedAndStalledAddUp(@ForAll @Size(max = 60) List<@DoubleRange(max = 4) Double> gaps) {
        StallDetector a = at(0);
        double now = 0;
        double stalled = 0;
        int stalls = 0;
        for (double gap : gaps) {
            now += gap;
            StallDetector.Stall s = a.recordIteration(now);
            stalls += s == null ? 0 : 1;
            stalled += s == null ? 0 : s.durationSeconds();
        }
        assertTrue(a.responsiveSeconds() <= now + 1e-9);
        assertEquals(now, a.responsiveSeconds() + stalled - stalls * (BEAT + STALL), 1e-6);
    }
}
