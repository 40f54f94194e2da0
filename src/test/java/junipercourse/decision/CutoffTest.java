package junipercourse.decision;

import static junipercourse.decision.DispatcherScenarios.IDEMPOTENT;
import static junipercourse.decision.DispatcherScenarios.trainCutoff;
import static junipercourse.decision.DispatcherScenarios.withFourEngines;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import junipercourse.decision.api.AttemptOutcome;
import junipercourse.decision.api.AttemptResult;
import junipercourse.decision.api.EngineId;
import junipercourse.decision.api.Idempotency;
import junipercourse.decision.api.ProgressKind;
import junipercourse.decision.api.RequestId;
import org.junit.jupiter.api.Test;

/** When attempts are cancelled at their cutoff and restarted. */
class CutoffTest {
    @Test
    void cancelsAttemptAtItsCutoffAndRestartsItOnTheBackTier() {
        RecordingDispatcher dispatcher = withFourEngines(IDEMPOTENT);
        trainCutoff(dispatcher, 0);
        dispatcher.receiveRequest(1, 0, dispatcher.now + 10, 0);
        long engine = dispatcher.takeSentEngineId();
        dispatcher.advance(0.95);
        assertEquals(List.of(), dispatcher.takeActions());
        dispatcher.advance(0.1);
        assertEquals(List.of("cancel 1 0"), dispatcher.takeActions());
        dispatcher.endAttempt(1, 0, engine, AttemptOutcome.CANCELLED, false);
        assertEquals(List.of("send 1 4"), dispatcher.takeActions());
        dispatcher.advance(3);
        assertEquals(List.of(), dispatcher.takeActions());
    }

    /** A restart would delay all later requests of the same key. */
    @Test
    void doesNotCancelClassesOrderedByKey() {
        RecordingDispatcher dispatcher =
                withFourEngines(
                        new QueryClassBuilder("s", Idempotency.IDEMPOTENT_WITH_KEY)
                                .orderedByKey()
                                .deadline(20)
                                .build());
        trainCutoff(dispatcher, 0);
        dispatcher.receiveRequest(1, 0, dispatcher.now + 20, 5);
        dispatcher.takeSentEngineId();
        dispatcher.advance(3);
        assertEquals(List.of(), dispatcher.takeActions());
    }

    @Test
    void cancelsEarlyByProjectionAndSparesNearlyCompleteAttempts() {
        RecordingDispatcher dispatcher = withFourEngines(IDEMPOTENT);
        trainCutoff(dispatcher, 0);
        dispatcher.receiveRequest(1, 0, dispatcher.now + 10, 0);
        dispatcher.takeSentEngineId();
        dispatcher.advance(0.5);
        dispatcher.module.attemptProgressed(
                dispatcher.now, new RequestId(1), 0, ProgressKind.PROGRESS, 0.05);
        dispatcher.advance(0.025);
        assertEquals(List.of("cancel 1 0"), dispatcher.takeActions());
        dispatcher.receiveRequest(2, 0, dispatcher.now + 10, 0);
        dispatcher.takeActions();
        dispatcher.advance(0.95);
        dispatcher.module.attemptProgressed(
                dispatcher.now, new RequestId(2), 0, ProgressKind.PROGRESS, 0.95);
        dispatcher.advance(0.1);
        assertEquals(List.of(), dispatcher.takeActions());
    }

    /**
     * The cost of a cutoff is estimated from how long restarted attempts take, not from the tail
     * that a bad plan leaves, so the cutoff stays at its minimum.
     */
    @Test
    void keepsTheLowestCutoffWhenRestartsAreFast() {
        RecordingDispatcher dispatcher = withFourEngines(IDEMPOTENT);
        trainCutoff(dispatcher, 0);
        for (int i = 0; i < 12; i++) {
            dispatcher.receiveRequest(i, 0, dispatcher.now + 10, 0);
            long engine = dispatcher.takeSentEngineId();
            dispatcher.advance(1.05);
            boolean isFrontTier = engine != 4;
            assertEquals(
                    isFrontTier ? List.of("cancel " + i + " 0") : List.of(),
                    dispatcher.takeActions());
            dispatcher.endAttempt(
                    i,
                    0,
                    engine,
                    isFrontTier ? AttemptOutcome.CANCELLED : AttemptOutcome.OK,
                    !isFrontTier);
            if (isFrontTier) {
                assertEquals(4, dispatcher.takeSentEngineId());
                dispatcher.advance(0.1);
                dispatcher.endAttempt(i, 1, 4, AttemptOutcome.OK, true);
            }
        }
    }

    @Test
    void usesTheDeadlineAsCutoffBeforeAnySample() {
        RecordingDispatcher dispatcher = withFourEngines(IDEMPOTENT);
        dispatcher.receiveRequest(1, 0, dispatcher.now + 10, 0);
        dispatcher.takeSentEngineId();
        dispatcher.advance(4);
        assertEquals(List.of(), dispatcher.takeActions());
    }

    /**
     * After a stall of 2 s the module receives the timer and the answers at once. It must neither
     * cancel the attempts nor eject their engines.
     */
    @Test
    void takesNoActionForAnswersThatAStallDelayed() {
        RecordingDispatcher dispatcher = withFourEngines(IDEMPOTENT);
        trainCutoff(dispatcher, 0);
        dispatcher.receiveRequest(1, 0, dispatcher.now + 10, 0);
        dispatcher.receiveRequest(2, 0, dispatcher.now + 10, 0);
        List<Long> engines =
                dispatcher.takeActions().stream()
                        .map(action -> Long.parseLong(action.split(" ")[2]))
                        .toList();
        dispatcher.now += 2;
        dispatcher.module.timerFired(dispatcher.now, 0);
        for (int i = 0; i < 2; i++) {
            dispatcher.module.attemptEnded(
                    dispatcher.now,
                    new AttemptResult(
                            new RequestId(1 + i),
                            0,
                            new EngineId(engines.get(i)),
                            AttemptOutcome.OK,
                            0.1,
                            true,
                            0,
                            0,
                            new float[0]));
        }
        dispatcher.module.decide(dispatcher.now);
        assertEquals(List.of(), dispatcher.takeActions());
    }

    @Test
    void takesNoActionOnceTheResponseHasStarted() {
        RecordingDispatcher dispatcher = withFourEngines(IDEMPOTENT);
        trainCutoff(dispatcher, 0);
        dispatcher.receiveRequest(1, 0, dispatcher.now + 3, 0);
        long engine = dispatcher.takeSentEngineId();
        dispatcher.module.responseStarted(
                dispatcher.now, new RequestId(1), 0, new EngineId(engine));
        dispatcher.advance(5);
        dispatcher.module.requestAbandoned(dispatcher.now, new RequestId(1));
        assertEquals(List.of(), dispatcher.takeActions());
    }
}
