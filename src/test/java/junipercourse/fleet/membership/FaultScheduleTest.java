package junipercourse.fleet.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Seeded schedules of faults, and the checks themselves against deliberately broken code. */
class FaultScheduleTest {
    /**
     * Schedules to run; a long run is {@code mvn test -Dtest=FaultScheduleTest -Dschedules=100000}.
     */
    private static final long SCHEDULES = Long.getLong("schedules", 10_000);

    private static final long FIRST_SEED = Long.getLong("schedules.first", 1);

    @Test
    void noScheduleOfFaultsViolatesAnInvariant() {
        long startNanos = System.nanoTime();
        List<String> violations =
                LongStream.range(FIRST_SEED, FIRST_SEED + SCHEDULES)
                        .parallel()
                        .mapToObj(seed -> FaultSchedule.findViolations(seed, InjectedFault.NONE))
                        .flatMap(List::stream)
                        .toList();
        double seconds = (System.nanoTime() - startNanos) / 1e9;
        System.out.printf(
                "%d schedules, %.0f a minute, %d violations%n",
                SCHEDULES, SCHEDULES * 60 / seconds, violations.size());
        assertEquals(List.of(), violations.subList(0, Math.min(5, violations.size())));
    }

    /** Each injected fault of the code is detected within a few schedules. */
    @ParameterizedTest
    @EnumSource(
            mode = EnumSource.Mode.EXCLUDE,
            names = {"NONE", "LOCAL_STALL_IGNORED"})
    void invariantsDetectEachInjectedFault(InjectedFault fault) {
        boolean undetected =
                LongStream.range(1, 30)
                        .parallel()
                        .allMatch(
                                seed ->
                                        FaultSchedule.run(seed, fault)
                                                .network
                                                .invariants
                                                .violations
                                                .isEmpty());
        assertFalse(undetected, fault + " was not detected");
    }
}
