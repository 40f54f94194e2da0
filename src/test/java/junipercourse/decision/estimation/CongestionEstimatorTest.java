package junipercourse.decision.estimation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import junipercourse.decision.state.Tier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class CongestionEstimatorTest {
    private final CongestionEstimator congestion = new CongestionEstimator(3, 2, 1.5);

    @Test
    void returnsUsualFactorBeforeAnySample() {
        assertEquals(1.5, congestion.slowdownFactor(0));
    }

    /** Ten queries a second of 0.3 s of work each, of which the given share is answered. */
    @ParameterizedTest
    @CsvSource({
        "0.3, 1, 1.05, 1.25",
        "0.9, 1, 2.4, 3.05",
        "0.6, 0.5, 2.8, 4.05",
        "0.3, 0, 4.0, 7.0"
    })
    void followsThreadsHeldOverWorkCompletedWithinSeconds(
            double threadsHeld, double answeredShare, double minFactor, double maxFactor) {
        double pendingAnswers = 0;
        for (int i = 1; i <= 60; i++) {
            pendingAnswers += answeredShare;
            double completed = Math.floor(pendingAnswers);
            pendingAnswers -= completed;
            congestion.addAttempt(i * 0.1, Tier.FRONT, threadsHeld, 0.3 * completed);
        }
        assertTrue(
                congestion.slowdownFactor(6) >= minFactor
                        && congestion.slowdownFactor(6) <= maxFactor,
                "factor " + congestion.slowdownFactor(6));
    }

    @Test
    void forgetsCongestionThatHasEnded() {
        congestion.addAttempt(0, Tier.BACK, 100, 0);
        congestion.addAttempt(20, Tier.BACK, 1, 1);
        assertTrue(congestion.slowdownFactor(20) < 1.5, "factor " + congestion.slowdownFactor(20));
    }

    /** Guards against a factor that stays high as long as no attempt is sent. */
    @Test
    void returnsToThePriorWithoutFurtherAttempts() {
        congestion.addAttempt(0, Tier.BACK, 100, 1);
        assertTrue(congestion.slowdownFactor(0, Tier.BACK) > 10);
        assertEquals(1.5, congestion.slowdownFactor(30), 0.01);
        assertEquals(1.5, congestion.slowdownFactor(30, Tier.BACK), 0.01);
    }

    @Test
    void reportsCongestionOfASingleTier() {
        for (int i = 0; i < 50; i++) {
            congestion.addAttempt(i * 0.1, Tier.FRONT, 0.6, 0.5);
            congestion.addAttempt(i * 0.1, Tier.BACK, 2, 0.2);
        }
        assertTrue(
                congestion.slowdownFactor(5, Tier.FRONT) < 1.5
                        && congestion.slowdownFactor(5, Tier.BACK) > 4,
                congestion.slowdownFactor(5, Tier.FRONT)
                        + ", "
                        + congestion.slowdownFactor(5, Tier.BACK));
    }
}
