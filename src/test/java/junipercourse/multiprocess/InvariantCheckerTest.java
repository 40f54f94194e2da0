package junipercourse.multiprocess;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** The checker finds each violation in a forged history and accepts a valid one. */
class InvariantCheckerTest {
    private static FleetObservation observation(
            int observer, int startNumber, long self, String status, long incarnation) {
        return new FleetObservation(
                0,
                observer,
                startNumber,
                self,
                Map.of("n9", new FleetObservation.ObservedMember(status, incarnation)),
                Map.of());
    }

    private static void assertViolation(String expectedPrefix, FleetObservation... history) {
        List<String> violations = InvariantChecker.violations(List.of(history));
        assertEquals(1, violations.size(), violations::toString);
        assertTrue(violations.get(0).startsWith(expectedPrefix), violations::toString);
    }

    @Test
    void violationsInForgedHistoriesAreFound() {
        assertViolation(
                "incarnation decreased",
                observation(0, 1, 5, "alive", 8),
                observation(0, 1, 5, "alive", 7));
        assertViolation(
                "incarnation returned after it had left",
                observation(0, 1, 5, "left", 8),
                observation(0, 1, 5, "alive", 8));
        assertViolation("invalid status", observation(0, 1, 5, "stopped", 8));
        assertViolation(
                "own incarnation",
                observation(0, 1, 5, "alive", 8),
                observation(0, 2, 5, "alive", 8));
        assertEquals(
                List.of(),
                InvariantChecker.violations(
                        List.of(
                                observation(0, 1, 5, "left", 8),
                                observation(1, 1, 3, "alive", 7),
                                observation(0, 1, 6, "alive", 9),
                                observation(0, 2, 7, "alive", 8))));
        assertEquals(
                1,
                InvariantChecker.observationsWithStatus(
                                List.of(
                                        observation(0, 1, 5, "unreachable", 8),
                                        observation(1, 1, 5, "unreachable", 8)),
                                0,
                                java.util.Set.of(1),
                                java.util.Set.of("n9"),
                                "unreachable")
                        .size());
    }

    @Test
    void parsesObservationFromTable() {
        FleetObservation observation =
                FleetObservation.parse(
                        1,
                        2,
                        3,
                        "T D(view settled true - - - -) D(self n1 alive 2.0000000a - 1:2 -)"
                            + " D(member n9 suspect 1.ffffffff 0.1 3:4 east) D(link in 5 - - - -)"
                            + " C(SHOW)");
        assertEquals(
                new FleetObservation(
                        1,
                        2,
                        3,
                        (2L << 32) + 10,
                        Map.of(
                                "n9",
                                new FleetObservation.ObservedMember("suspect", (2L << 32) - 1)),
                        Map.of("view.settled", "true", "link.in", "5")),
                observation);
    }
}
