package junipercourse.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import junipercourse.core.Counters.Count;
import junipercourse.decision.api.AttemptOutcome;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Fixes the labels under which SHOW COUNTERS shows the outcomes of attempts. */
class AttemptOutcomeCountTest {
    @ParameterizedTest
    @CsvSource({
        "OK, ok",
        "ERROR, error",
        "REJECTED, turned_away",
        "TIMEOUT, timeout",
        "UNREACHABLE, unreachable",
        "RESET, reset",
        "CANCELLED, cancelled",
        "OBSOLETE, moot",
        "NOT_SENT, unsent"
    })
    void outcomeIsCountedUnderItsLabel(AttemptOutcome outcome, String label) {
        Count count = Count.forOutcome(outcome);
        assertEquals("ends", count.category());
        assertEquals(label, count.label());
    }
}
