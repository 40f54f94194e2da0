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
    private static final double MAX_ITERATION_GAP_SECONDS = 0.02;
    private static final double STALL_THRESHOLD_SECONDS = 0.1;

    private static StallDetector detectorStartedAt(double now) {
        return new StallDetector(
                MAX_ITERATION_GAP_SECONDS, STALL_THRESHOLD_SECONDS, 0.25, now, 1000 + now);
    }

    /**
     * Columns: gap between two iterations, stall detected (0 for none), responsive seconds counted.
     */
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
    void gapAboveThresholdIsStallAndNotResponsiveTime(
            double gapSeconds, double stallSeconds, double responsiveSeconds) {
        StallDetector detector = detectorStartedAt(50);
        StallDetector.Stall detected = detector.recordIteration(50 + gapSeconds);
        assertEquals(stallSeconds, detected == null ? 0 : detected.durationSeconds(), 1e-9);
        assertEquals(responsiveSeconds, detector.responsiveSeconds(), 1e-9);
        if (detected != null) {
            assertEquals(50, detected.startTime());
        }
    }

    /** Columns: change of the wall clock against the monotonic clock, step reported. */
    @ParameterizedTest
    @CsvSource({"0.1, 0", "-0.1, 0", "0.3, 0.3", "-0.3, -0.3", "3600, 3600", "-86400, -86400"})
    void wallClockStepIsReportedOnceAndIsNoStall(double clockChange, double reportedStep) {
        StallDetector detector = detectorStartedAt(50);
        assertNull(detector.recordIteration(50.01));
        assertEquals(reportedStep, detector.detectClockStep(50.01, 1050.01 + clockChange), 1e-9);
        assertEquals(0, detector.detectClockStep(50.02, 1050.02 + clockChange), 1e-9);
        assertEquals(
                50.02,
                detector.toLoopTime(1050.02 + reportedStep),
                1e-9,
                "conversion of Unix times must follow the wall clock");
    }

    @Test
    void gapBeforeRestartIsNoStall() {
        StallDetector detector = detectorStartedAt(50);
        detector.restartMeasurement(53);
        assertNull(detector.recordIteration(53.01));
    }

    /**
     * Responsive time and stalls add up to the elapsed time, except that the regular gap and the
     * threshold are counted in both for each stall.
     */
    @Property(seed = "11", tries = 500)
    void responsiveAndStalledTimeAddUpToElapsedTime(
            @ForAll @Size(max = 60) List<@DoubleRange(max = 4) Double> gaps) {
        StallDetector detector = detectorStartedAt(0);
        double now = 0;
        double stalledSeconds = 0;
        int stallCount = 0;
        for (double gap : gaps) {
            now += gap;
            StallDetector.Stall stall = detector.recordIteration(now);
            stallCount += stall == null ? 0 : 1;
            stalledSeconds += stall == null ? 0 : stall.durationSeconds();
        }
        assertTrue(detector.responsiveSeconds() <= now + 1e-9);
        assertEquals(
                now,
                detector.responsiveSeconds()
                        + stalledSeconds
                        - stallCount * (MAX_ITERATION_GAP_SECONDS + STALL_THRESHOLD_SECONDS),
                1e-6);
    }
}
