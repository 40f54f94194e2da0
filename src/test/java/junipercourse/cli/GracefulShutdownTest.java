package junipercourse.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class GracefulShutdownTest {
    /**
     * Answers are due half a second before SIGKILL, which counts up to 3 s of the longest deadline,
     * and up to 5 s for a process that is replaced.
     */
    @ParameterizedTest
    @CsvSource({
        "1.2, 3, 1.4",
        "1.5, 3, 1.7",
        "2.5, 3, 2.7",
        "3.0, 3, 3.2",
        "25, 3, 3.2",
        "300, 3, 3.2",
        "1.2, 5, 1.4",
        "4, 5, 4.2",
        "20, 5, 5.2",
        "0.1, 3, 0.7",
        "0, 3, 0.7"
    })
    void openQueriesAreAnsweredBeforeSigkill(
            double longestDeadlineSeconds, double maxCountedSeconds, double expected) {
        assertEquals(
                expected,
                GracefulShutdown.answerDelaySeconds(longestDeadlineSeconds, maxCountedSeconds),
                1e-9);
    }
}
