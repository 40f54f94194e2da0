package junipercourse.fleet.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Seeded schedules against the judges, and the judges against code that is broken on purpose. */
class FaultScheduleTest {
    /**
     * Schedules to play; a long run is {@code mvn test -Dtest=FaultScheduleTest
     * -Dschedules=100000}.
     */
    private static final long SCHEDULES = Long.getLong("schedules", 10_000);

    private static final long FIRST = Long.getLong("schedules.first", 1);

    @Test
    void noScheduleOfFaultsBreaksAView() {
        long from = System.nanoTime();
        List<String> found =
                LongStream.range(FIRST, FIRST + SCHEDULES)
                        .parallel()
                        .mapToObj(seed -> FaultSchedule.faultsOf(seed, InjectedFault.NONE))
                        .flatMap(List::stream)
                        .toList();
        double seconds = (System.nanoTime() - from) / 1e9;
        System.out.printf(
                "%d schedules, %.0f a minute, %d faults%n",
                SCHEDULES, SCHEDULES * 60 / seconds, found.size());
        assertEquals(List.of(), found.subList(0, Math.min(5, found.size())));
    }

    /** Each fault put in on purpose is found by a judge within a few schedules. */
    @ParameterizedTest
    @EnumSource(
            mode = EnumSource.Mode.EXCLUDE,
            names = {"NONE", "LOCAL_STALL_IGNORED"})
    void theJudgesFindCodeBrokenOnPurpose(InjectedFault fault) {
        boolean clean =
                LongStream.range(1, 30)
                        .parallel()
                        .allMatch(
                                seed ->
                                        FaultSchedule.play(seed, fault)
                                                .world
                                                .judge
                                                .broken
                                                .isEmpty());
        assertFalse(clean, fault + " was not found");
    }
}
