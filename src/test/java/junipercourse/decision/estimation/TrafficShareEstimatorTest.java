package junipercourse.decision.estimation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import junipercourse.SocketTestSupport;
import org.junit.jupiter.api.Test;

class TrafficShareEstimatorTest {
    private static final double REQUESTS_PER_SECOND = 20;

    private final TrafficShareEstimator traffic =
            new TrafficShareEstimator(SocketTestSupport.settings());

    private double receiveRequests(double from, double seconds) {
        double end = from + seconds;
        for (double time = from; time < end; time += 1 / REQUESTS_PER_SECOND) {
            traffic.recordRequest(time);
        }
        return end;
    }

    @Test
    void followsTheRateOfRequests() {
        traffic.start(0);
        receiveRequests(0, 120);
        assertEquals(REQUESTS_PER_SECOND, traffic.requestsPerSecond(), 1);
    }

    /** Guards against a rate below 0 after a pause, which later requests raised only slowly. */
    @Test
    void rateFallsToNothingDuringAPauseAndNoFurther() {
        traffic.start(0);
        double pauseStart = receiveRequests(0, 120);
        traffic.recordRequest(pauseStart + 600);
        assertTrue(traffic.requestsPerSecond() >= 0, "rate " + traffic.requestsPerSecond());
    }
}
