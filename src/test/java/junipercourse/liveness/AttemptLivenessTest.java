package junipercourse.liveness;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import junipercourse.liveness.AttemptLiveness.Assessment;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class AttemptLivenessTest {
    /**
     * The last call completed at 100. Columns: now, responsive seconds since, expected conclusion
     * from a call without an answer.
     */
    @ParameterizedTest
    @CsvSource({
        "100.6, 0.6, POLL_AGAIN",
        "102.1, 2.1, POLL_AGAIN",
        "102.6, 2.6, POLL_AGAIN",
        "102.7, 2.7, ENGINE_LOST",
        "110, 10, ENGINE_LOST",
        "110, 0.12, NOT_POLLED",
        "102.4, 0.12, POLL_AGAIN",
        "110, 2.1, ENGINE_LOST"
    })
    void engineIsAssessedAsLostOnlyIfProcessWasResponsive(
            double now, double responsiveSeconds, Assessment expected) {
        AttemptLiveness liveness = new AttemptLiveness();
        liveness.recordCallStarted(100, 50);
        liveness.recordCallCompleted(100);
        assertEquals(expected, liveness.assessUnansweredCall(now, 50 + responsiveSeconds));
    }

    @Test
    void attemptWithoutWrittenCallHasNotReachedEngine() {
        AttemptLiveness liveness = new AttemptLiveness();
        assertFalse(liveness.mayHaveReachedEngine());
        assertEquals(Double.NEGATIVE_INFINITY, liveness.latestExpiryTime());
        assertEquals(Assessment.POLL_AGAIN, liveness.assessUnansweredCall(500, 500));
    }

    @Test
    void callInFlightMayArriveAtAnyTimeUntilItsConnectionIsReset() {
        AttemptLiveness liveness = new AttemptLiveness();
        liveness.recordCallStarted(100, 50);
        assertEquals(Double.POSITIVE_INFINITY, liveness.latestExpiryTime());
        assertEquals(Assessment.POLL_AGAIN, liveness.assessUnansweredCall(200, 150));
        liveness.recordCallCompleted(200);
        assertEquals(202.65, liveness.latestExpiryTime(), 1e-9);
    }

    /**
     * Columns: seconds between two calls, responsive seconds of these, whether the engine may have
     * dropped the query because it was not polled.
     */
    @ParameterizedTest
    @CsvSource({
        "0.3, 0.3, false",
        "1.7, 0.1, false",
        "1.9, 0.1, true",
        "10, 0.12, true",
        "3, 3, false"
    })
    void queryMayHaveExpiredUnpolledAfterStallBetweenCalls(
            double gapSeconds, double responsiveSeconds, boolean expiredUnpolled) {
        AttemptLiveness liveness = new AttemptLiveness();
        liveness.recordCallStarted(100, 50);
        liveness.recordCallCompleted(100);
        liveness.recordCallStarted(100 + gapSeconds, 50 + responsiveSeconds);
        assertEquals(expiredUnpolled, liveness.mayHaveExpiredUnpolled());
        liveness.recordResponse();
        assertFalse(
                liveness.mayHaveExpiredUnpolled(),
                "the engine still had the query when it answered");
        assertTrue(liveness.hasEngineResponded());
    }

    /**
     * A model engine drops the query 2 s after the last call that arrived; it holds a poll for 0.25
     * s before it answers. A call is answered, or stays in a buffer of a partitioned network and
     * arrives at any time until its connection is reset. For random calls, partitions and stalls,
     * an attempt must never be assessed as expired while that engine would still run it, and must
     * be assessed as expired after the last call is answered or reset, within the margin for late
     * reading.
     */
    @Property(seed = "13", tries = 3000)
    void attemptIsNotAssessedAsExpiredWhileModelEngineRunsIt(
            @ForAll @LongRange(max = 1 << 30) long seed) {
        Random random = new Random(seed);
        AttemptLiveness liveness = new AttemptLiveness();
        double now = 100;
        double responsiveSeconds = 0;
        double lastCallCompletedAt = Double.NaN;
        double runsUntil = Double.NEGATIVE_INFINITY;
        for (int i = 0; i < 30; i++) {
            boolean isStall = random.nextInt(4) == 0;
            double gap = isStall ? random.nextDouble() * 6 : random.nextDouble() * 0.8;
            now += gap;
            responsiveSeconds += Math.min(gap, 0.12 + (isStall ? 0 : 1));
            boolean expired =
                    liveness.mayHaveReachedEngine()
                            && liveness.assessUnansweredCall(now, responsiveSeconds)
                                    != Assessment.POLL_AGAIN;
            assertFalse(
                    expired && now < runsUntil,
                    "assessed as expired at "
                            + now
                            + ", runs until "
                            + runsUntil
                            + ", seed "
                            + seed);
            assertFalse(
                    now >= liveness.latestExpiryTime() && now < runsUntil,
                    "past the latest expiry time but still running, seed " + seed);
            if (expired) {
                return;
            }
            if (random.nextInt(3) > 0) {
                liveness.recordCallStarted(now, responsiveSeconds);
                assertEquals(
                        Double.POSITIVE_INFINITY,
                        liveness.latestExpiryTime(),
                        "call in flight, seed " + seed);
                double callSeconds =
                        random.nextInt(3) == 0
                                ? random.nextDouble() * 6
                                : random.nextDouble() * 0.25;
                double arrivesAt =
                        now
                                + random.nextDouble()
                                        * (callSeconds + AttemptLiveness.READ_DELAY_MARGIN_SECONDS);
                now += callSeconds;
                responsiveSeconds += Math.min(callSeconds, 0.72);
                liveness.recordCallCompleted(now);
                lastCallCompletedAt = now;
                runsUntil =
                        Math.max(
                                runsUntil,
                                arrivesAt
                                        + AttemptLiveness.LONG_POLL_SECONDS
                                        + AttemptLiveness.QUERY_EXPIRY_SECONDS);
            }
        }
        if (liveness.mayHaveReachedEngine()) {
            assertEquals(
                    lastCallCompletedAt
                            + AttemptLiveness.LONG_POLL_SECONDS
                            + AttemptLiveness.QUERY_EXPIRY_SECONDS
                            + AttemptLiveness.READ_DELAY_MARGIN_SECONDS,
                    liveness.latestExpiryTime(),
                    1e-9,
                    "seed " + seed);
            assertTrue(
                    liveness.assessUnansweredCall(
                                    liveness.latestExpiryTime() + 0.001, responsiveSeconds)
                            != Assessment.POLL_AGAIN);
        }
    }
}
