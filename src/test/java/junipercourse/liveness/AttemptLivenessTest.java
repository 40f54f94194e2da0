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
     * Asked last at 100; now, seconds attended since, and what a call without an answer then tells.
     */
    @ParameterizedTest
    @CsvSource({
        "100.6, 0.6, ASK_AGAIN",
        "102.1, 2.1, ASK_AGAIN",
        "102.6, 2.6, ASK_AGAIN",
        "102.7, 2.7, ENGINE_LOST",
        "110, 10, ENGINE_LOST",
        "110, 0.12, LEFT_ALONE",
        "102.4, 0.12, ASK_AGAIN",
        "110, 2.1, ENGINE_LOST"
    })
    void silenceIsHeldAgainstTheEngineOnlyWhileWeAttended(
            double now, double attended, Assessment verdict) {
        AttemptLiveness e = new AttemptLiveness();
        e.recordCallStarted(100, 50);
        e.recordCallCompleted(100);
        assertEquals(verdict, e.assessUnansweredCall(now, 50 + attended));
    }

    @Test
    void whatWasNeverWrittenRunsNowhere() {
        AttemptLiveness e = new AttemptLiveness();
        assertFalse(e.mayHaveReachedEngine());
        assertEquals(Double.NEGATIVE_INFINITY, e.latestExpiryTime());
        assertEquals(Assessment.POLL_AGAIN, e.assessUnansweredCall(500, 500));
    }

    @Test
    void aCallThatIsOnItsWayMayArriveAtAnyTimeUntilItsConnectionIsReset() {
        AttemptLiveness e = new AttemptLiveness();
        e.recordCallStarted(100, 50);
        assertEquals(Double.POSITIVE_INFINITY, e.latestExpiryTime());
        assertEquals(Assessment.POLL_AGAIN, e.assessUnansweredCall(200, 150));
        e.recordCallCompleted(200);
        assertEquals(202.65, e.latestExpiryTime(), 1e-9);
    }

    /**
     * Two calls so far apart, so much of it attended: has the engine dropped it for want of our
     * asking?
     */
    @ParameterizedTest
    @CsvSource({
        "0.3, 0.3, false",
        "1.7, 0.1, false",
        "1.9, 0.1, true",
        "10, 0.12, true",
        "3, 3, false"
    })
    void theEngineIsNotToBlameForWhatItDroppedDuringOurStall(
            double apart, double attended, boolean byUs) {
        AttemptLiveness e = new AttemptLiveness();
        e.recordCallStarted(100, 50);
        e.recordCallCompleted(100);
        e.recordCallStarted(100 + apart, 50 + attended);
        assertEquals(byUs, e.mayHaveExpiredUnpolled());
        e.recordResponse();
        assertFalse(e.mayHaveExpiredUnpolled(), "it knew the query when it answered");
        assertTrue(e.hasEngineResponded());
    }

    /**
     * A simple engine drops the query 2 s after the last call that arrived (a held one is answered
     * after 0.25 s). A call is answered, or lies in a cut network and arrives at any time until its
     * connection is reset. For random calls, cuts and stalls, the attempt is never said to be over
     * while that engine would still run it, and it is, within what is allowed for the way, once the
     * last call is answered or reset.
     */
    @Property(seed = "13", tries = 3000)
    void neverSaidToBeOverWhileASimpleEngineStillRunsIt(
            @ForAll @LongRange(max = 1 << 30) long seed) {
        Random random = new Random(seed);
        AttemptLiveness e = new AttemptLiveness();
        double now = 100;
        double attended = 0;
        double lastOver = Double.NaN;
        double runsUntil = Double.NEGATIVE_INFINITY;
        for (int i = 0; i < 30; i++) {
            boolean stall = random.nextInt(4) == 0;
            double gap = stall ? random.nextDouble() * 6 : random.nextDouble() * 0.8;
            now += gap;
            attended += Math.min(gap, 0.12 + (stall ? 0 : 1));
            boolean over =
                    e.mayHaveReachedEngine()
                            && e.assessUnansweredCall(now, attended) != Assessment.POLL_AGAIN;
            assertFalse(
                    over && now < runsUntil,
                    "over at " + now + ", runs until " + runsUntil + ", seed " + seed);
            assertFalse(now >= e.latestExpiryTime() && now < runsUntil, "gone, seed " + seed);
            if (over) {
                return;
            }
            if (random.nextInt(3) > 0) {
                e.recordCallStarted(now, attended);
                assertEquals(
                        Double.POSITIVE_INFINITY, e.latestExpiryTime(), "on its way, seed " + seed);
                double way =
                        random.nextInt(3) == 0
                                ? random.nextDouble() * 6
                                : random.nextDouble() * 0.25;
                double arrives =
                        now
                                + random.nextDouble()
                                        * (way + AttemptLiveness.READ_DELAY_MARGIN_SECONDS);
                now += way;
                attended += Math.min(way, 0.72);
                e.recordCallCompleted(now);
                lastOver = now;
                runsUntil =
                        Math.max(
                                runsUntil,
                                arrives
                                        + AttemptLiveness.LONG_POLL_SECONDS
                                        + AttemptLiveness.QUERY_EXPIRY_SECONDS);
            }
        }
        if (e.mayHaveReachedEngine()) {
            assertEquals(
                    lastOver
                            + AttemptLiveness.LONG_POLL_SECONDS
                            + AttemptLiveness.QUERY_EXPIRY_SECONDS
                            + AttemptLiveness.READ_DELAY_MARGIN_SECONDS,
                    e.latestExpiryTime(),
                    1e-9,
                    "seed " + seed);
            assertTrue(
                    e.assessUnansweredCall(e.latestExpiryTime() + 0.001, attended)
                            != Assessment.POLL_AGAIN);
        }
    }
}
