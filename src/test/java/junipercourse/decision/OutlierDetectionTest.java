package junipercourse.decision;

import static junipercourse.decision.DispatcherScenarios.IDEMPOTENT;
import static junipercourse.decision.DispatcherScenarios.NOT_IDEMPOTENT;
import static junipercourse.decision.DispatcherScenarios.trainCutoff;
import static junipercourse.decision.DispatcherScenarios.withFourEngines;
import static junipercourse.decision.RecordingDispatcher.GUARANTEES;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import junipercourse.decision.api.AttemptOutcome;
import org.junit.jupiter.api.Test;

/** Which engines are ejected and reinstated. */
class OutlierDetectionTest {
    /** One broken connection does not eject an engine that answers other requests. */
    @Test
    void ejectsAnAnsweringEngineOnlyAfterThreeFailedConnections() {
        RecordingDispatcher dispatcher =
                new RecordingDispatcher(
                        RecordingDispatcher.settings(GUARANTEES, false, IDEMPOTENT));
        dispatcher.listReadyEngines(1);
        dispatcher.receiveRequest(1, 0, dispatcher.now + 10, 0);
        dispatcher.endAttempt(1, 0, dispatcher.takeSentEngineId(), AttemptOutcome.OK, true);
        dispatcher.receiveRequest(2, 0, dispatcher.now + 10, 0);
        for (int attempt = 0; attempt < 2; attempt++) {
            dispatcher.endAttempt(2, attempt, 1, AttemptOutcome.UNREACHABLE, false);
            assertTrue(
                    dispatcher.takeActions().stream()
                            .noneMatch(action -> action.startsWith("log ejected")));
        }
        dispatcher.endAttempt(2, 2, 1, AttemptOutcome.UNREACHABLE, false);
        assertTrue(
                dispatcher.takeActions().contains("log ejected engine 1: dead"),
                "third failed connection in a row");
    }

    /**
     * A query that fails on one engine after another is the cause itself, so no engine is ejected
     * for it.
     */
    @Test
    void ejectsNoEngineForAPoisonQuery() {
        RecordingDispatcher dispatcher = withFourEngines(IDEMPOTENT);
        for (int i = 0; i < 5; i++) {
            dispatcher.receiveRequest(i, 0, dispatcher.now + 10, 0);
            for (int attempt = 0; attempt < 3; attempt++) {
                dispatcher.endAttempt(
                        i, attempt, dispatcher.takeSentEngineId(), AttemptOutcome.ERROR, false);
            }
            assertEquals(List.of("reject " + i + " 0.5"), dispatcher.takeActions());
        }
    }

    /** A probation attempt tests whether its engine has recovered, so its cutoff does not apply. */
    @Test
    void doesNotCancelAProbation() {
        RecordingDispatcher dispatcher = withFourEngines(IDEMPOTENT);
        trainCutoff(dispatcher, 0);
        for (int i = 0; i < 2; i++) {
            dispatcher.receiveRequest(i, 0, dispatcher.now + 10, 0);
            dispatcher.endAttempt(i, 0, dispatcher.takeSentEngineId(), AttemptOutcome.OK, true);
        }
        dispatcher.receiveRequest(10, 0, dispatcher.now + 10, 0);
        long ejectedId = dispatcher.takeSentEngineId();
        dispatcher.endAttempt(10, 0, ejectedId, AttemptOutcome.RESET, false);
        dispatcher.endAttempt(10, 1, dispatcher.takeSentEngineId(), AttemptOutcome.OK, true);
        dispatcher.advance(1.1);
        for (int i = 11; i < 30; i++) { // one of them is the probation attempt
            dispatcher.receiveRequest(i, 0, dispatcher.now + 10, 0);
        }
        assertTrue(
                dispatcher.takeActions().stream()
                        .anyMatch(action -> action.matches("send \\d+ " + ejectedId)));
        dispatcher.advance(0.6);
        assertEquals(List.of(), dispatcher.takeActions());
    }

    /** A site whose classes are all NOT_IDEMPOTENT must reinstate an ejected engine too. */
    @Test
    void startsAProbationWithoutAnyIdempotentClass() {
        RecordingDispatcher dispatcher =
                new RecordingDispatcher(
                        RecordingDispatcher.settings(GUARANTEES, false, NOT_IDEMPOTENT));
        dispatcher.listReadyEngines(1);
        dispatcher.receiveRequest(1, 0, dispatcher.now + 10, 0);
        dispatcher.endAttempt(1, 0, 1, AttemptOutcome.RESET, false);
        dispatcher.takeActions();
        dispatcher.advance(5);
        dispatcher.receiveRequest(2, 0, dispatcher.now + 20, 0);
        assertEquals(List.of(), dispatcher.takeActions());
        dispatcher.advance(5);
        assertEquals(1, dispatcher.takeSentEngineId());
    }

    /**
     * Errors return fast, so without ejection the engine would look idle and attract all traffic.
     */
    @Test
    void ejectsAfterTwoErrorsAndReinstatesAfterAnAnswer() {
        RecordingDispatcher dispatcher =
                new RecordingDispatcher(
                        RecordingDispatcher.settings(GUARANTEES, false, IDEMPOTENT));
        dispatcher.listReadyEngines(1);
        dispatcher.takeActions();
        for (int i = 1; i <= 2; i++) {
            dispatcher.receiveRequest(i, 0, dispatcher.now + 10, 0);
            dispatcher.takeActions();
            dispatcher.endAttempt(i, 0, 1, AttemptOutcome.ERROR, true);
            assertEquals(
                    i < 2 ? List.of() : List.of("log ejected engine 1: failing"),
                    dispatcher.takeActions());
        }
        dispatcher.receiveRequest(3, 0, dispatcher.now + 10, 0);
        assertEquals(List.of(), dispatcher.takeActions());
        dispatcher.advance(1.1);
        assertEquals(1, dispatcher.takeSentEngineId());
        dispatcher.endAttempt(3, 0, 1, AttemptOutcome.OK, true);
        assertEquals(List.of("log readmitted engine 1"), dispatcher.takeActions());
    }

    /** Answers lost by a reset on most engines at once must leave engines to send to. */
    @Test
    void ejectsAtMostAThirdOfTheEngines() {
        RecordingDispatcher dispatcher =
                new RecordingDispatcher(
                        RecordingDispatcher.settings(GUARANTEES, false, IDEMPOTENT));
        dispatcher.listReadyEngines(12);
        int ejected = 0;
        for (int i = 1; i <= 40; i++) {
            dispatcher.receiveRequest(i, 0, dispatcher.now + 10, 0);
            dispatcher.endAttempt(i, 0, dispatcher.takeSentEngineId(), AttemptOutcome.RESET, true);
            ejected +=
                    (int)
                            dispatcher.takeActions().stream()
                                    .filter(action -> action.startsWith("log ejected"))
                                    .count();
        }
        assertEquals(4, ejected);
    }
}
